package authority

import "testing"

func TestReasonsHaveNames(t *testing.T) {
	seen := map[string]Reason{}
	for reason := range ReasonCount {
		name := reason.String()
		if name == "" {
			t.Errorf("reason %d has no name", int(reason))
		}
		if other, ok := seen[name]; ok {
			t.Errorf("reasons %d and %d have the same name %q", int(other), int(reason), name)
		}
		seen[name] = reason
	}
}
