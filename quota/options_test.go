package quota

import (
	"strings"
	"testing"
	"time"
)

func cpus(v float64) Limit { return CPULimit(v) }

// TestOptions: what can't be used is named by its key.
func TestOptions(t *testing.T) {
	teams := []string{"rubavu", "karongi", "rusizi"}
	monthly := ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali", Limit: cpus(5)}
	changed := func(change func(*ScheduleOptions)) []ScheduleOptions {
		s := monthly
		change(&s)
		return []ScheduleOptions{s}
	}
	for _, tc := range []struct {
		name   string
		groups []GroupOptions
		key    string // empty: good
	}{
		{"a tree", []GroupOptions{{Name: "all", Limit: cpus(100)}, {Name: "lake", Parent: "all", Teams: teams[:2], Limit: cpus(50), Guarantee: GuaranteeOptions{CPUs: 40}, Schedule: []ScheduleOptions{{Rule: "FREQ=DAILY", From: "22:00", To: "05:00", Zone: "Europe/Paris", Limit: cpus(60)}}}}, ""},
		{"no name", []GroupOptions{{}}, "quota.groups[0].name"},
		{"a name with a slash", []GroupOptions{{Name: "a/b"}}, "quota.groups[0].name"},
		{"a name used twice", []GroupOptions{{Name: "a"}, {Name: "a"}}, "quota.groups[1].name"},
		{"an unknown team", []GroupOptions{{Name: "a", Teams: []string{"gisenyi"}}}, "quota.groups[0].teams[0]"},
		{"a team in two groups", []GroupOptions{{Name: "a", Teams: teams}, {Name: "b", Teams: teams[2:]}}, "quota.groups[1].teams[0]"},
		{"a team twice in one", []GroupOptions{{Name: "a", Teams: []string{"rubavu", "rubavu"}}}, "quota.groups[0].teams[1]"},
		{"an unknown parent", []GroupOptions{{Name: "a", Parent: "b"}}, "quota.groups[0].parent"},
		{"its own parent", []GroupOptions{{Name: "a", Parent: "a"}}, "quota.groups[0].parent"},
		{"a cycle", []GroupOptions{{Name: "a", Parent: "b"}, {Name: "b", Parent: "c"}, {Name: "c", Parent: "a"}}, "quota.groups[0].parent"},
		{"a negative limit", []GroupOptions{{Name: "a", Limit: cpus(-1)}}, "quota.groups[0].limit.cpus"},
		{"an infinite limit", []GroupOptions{{Name: "a", Limit: NewLimit(1, Unlimited.GPUs)}}, "quota.groups[0].limit.gpus"},
		{"a negative guarantee", []GroupOptions{{Name: "a", Guarantee: GuaranteeOptions{GPUs: -1}}}, "quota.groups[0].guarantee.gpus"},
		{"a guarantee above its limit", []GroupOptions{{Name: "all"}, {Name: "a", Parent: "all", Limit: cpus(5), Guarantee: GuaranteeOptions{CPUs: 6}}}, "quota.groups[1].guarantee"},
		{"guarantees above the parent's limit", []GroupOptions{{Name: "all", Limit: cpus(10)}, {Name: "a", Parent: "all", Guarantee: GuaranteeOptions{CPUs: 6}}, {Name: "b", Parent: "all", Guarantee: GuaranteeOptions{CPUs: 6}}}, "quota.groups[0].limit"},
		{"guarantees above a scheduled limit", []GroupOptions{{Name: "all", Limit: cpus(20), Schedule: []ScheduleOptions{monthly}}, {Name: "a", Parent: "all", Guarantee: GuaranteeOptions{CPUs: 6}}}, "quota.groups[0].limit"},
		{"a guarantee of nothing", []GroupOptions{{Name: "a", Guarantee: GuaranteeOptions{CPUs: 6}}}, "quota.groups[0].guarantee"},
		{"a zone that does not exist", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.Zone = "Africa/Rubavu" })}}, "quota.groups[0].schedule[0].zone"},
		{"the zone of the machine", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.Zone = "Local" })}}, "quota.groups[0].schedule[0].zone"},
		{"a rule that does not exist", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.Rule = "FREQ=OFTEN" })}}, "quota.groups[0].schedule[0].rule"},
		{"no rule", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.Rule = "" })}}, "quota.groups[0].schedule[0].rule"},
		{"a rule of hours", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.Rule = "FREQ=HOURLY" })}}, "quota.groups[0].schedule[0].rule"},
		{"no time of the day", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.To = "25:00" })}}, "quota.groups[0].schedule[0].to"},
		{"a negative scheduled limit", []GroupOptions{{Name: "a", Schedule: changed(func(s *ScheduleOptions) { s.Limit = cpus(-2) })}}, "quota.groups[0].schedule[0].limit.cpus"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := NewTree(Options{Groups: tc.groups}, teams)
			switch {
			case tc.key == "" && err != nil:
				t.Errorf("refused: %v", err)
			case tc.key != "" && (err == nil || !strings.HasPrefix(err.Error(), tc.key+" = ") || strings.Contains(err.Error(), "\n")):
				t.Errorf("%v, want one line that names %s", err, tc.key)
			}
		})
	}
}

// TestSchedule: a limit holds at the times that its rule and zone say, on the days on which
// clocks change too. In New York in 2027 they are put forward on 14 March, from 2:00 to 3:00,
// and back on 7 November, from 2:00 to 1:00.
func TestSchedule(t *testing.T) {
	daily := func(from, to string) ScheduleOptions {
		return ScheduleOptions{Rule: "FREQ=DAILY", From: from, To: to, Zone: "America/New_York", Limit: cpus(1)}
	}
	for _, tc := range []struct {
		name     string
		schedule ScheduleOptions
		at       string // UTC
		holds    bool
	}{
		{"the first of the month", ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali"}, "2027-02-01T04:00:00Z", true},
		{"just before", ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali"}, "2027-02-01T03:59:59Z", false},
		{"its end", ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali"}, "2027-02-01T10:00:00Z", false},
		{"another day", ScheduleOptions{Rule: "FREQ=MONTHLY;BYMONTHDAY=1", From: "06:00", To: "12:00", Zone: "Africa/Kigali"}, "2027-02-02T05:00:00Z", false},
		{"the last workday", ScheduleOptions{Rule: "FREQ=MONTHLY;BYDAY=MO,TU,WE,TH,FR;BYSETPOS=-1", From: "18:00", To: "02:00", Zone: "America/Chicago"}, "2027-01-30T07:59:00Z", true},
		{"past midnight", ScheduleOptions{Rule: "FREQ=WEEKLY;BYDAY=SU", From: "22:00", To: "05:00", Zone: "UTC"}, "2027-01-04T04:59:00Z", true},
		{"past midnight, over", ScheduleOptions{Rule: "FREQ=WEEKLY;BYDAY=SU", From: "22:00", To: "05:00", Zone: "UTC"}, "2027-01-04T05:00:00Z", false},
		{"all day", daily("00:00", "00:00"), "2027-06-01T12:00:00Z", true},
		// 02:30 is skipped: it counts as 03:30 summer time, 07:30 UTC.
		{"begins in the skipped hour, before", daily("02:30", "06:00"), "2027-03-14T07:29:00Z", false},
		{"begins in the skipped hour", daily("02:30", "06:00"), "2027-03-14T07:30:00Z", true},
		{"ends in the skipped hour", daily("00:30", "02:30"), "2027-03-14T07:29:00Z", true},
		{"ends in the skipped hour, after", daily("00:30", "02:30"), "2027-03-14T07:30:00Z", false},
		// 01:30 comes twice, 05:30 and 06:30 UTC.
		{"begins in the hour that comes twice", daily("01:30", "06:00"), "2027-11-07T05:30:00Z", true},
		{"begins in it, before", daily("01:30", "06:00"), "2027-11-07T05:29:00Z", false},
		{"ends in the hour that comes twice", daily("00:30", "01:30"), "2027-11-07T06:29:00Z", true},
		{"ends in it, after", daily("00:30", "01:30"), "2027-11-07T06:30:00Z", false},
		{"until", ScheduleOptions{Rule: "FREQ=DAILY;UNTIL=20270110T000000Z", From: "01:00", To: "02:00", Zone: "UTC"}, "2027-01-11T01:30:00Z", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tree, err := NewTree(Options{Groups: []GroupOptions{{Name: "a", Limit: cpus(9), Schedule: []ScheduleOptions{tc.schedule}}}}, nil)
			if err != nil {
				t.Fatal(err)
			}
			at, err := time.Parse(time.RFC3339, tc.at)
			if err != nil {
				t.Fatal(err)
			}
			if d := tree.Definitions(at)[0]; d.Scheduled != tc.holds {
				t.Errorf("at %s it holds: %v", tc.at, d.Scheduled)
			}
		})
	}
}

// TestDivide: guarantees first, then evenly, in whole pieces, and nobody is left out for ever.
func TestDivide(t *testing.T) {
	claim := func(used, want, guaranteed, piece float64, since int64) Claim {
		return Claim{Used: Amount{CPUs: used}, Want: Amount{CPUs: want}, Guaranteed: Amount{CPUs: guaranteed}, SmallestTask: Amount{CPUs: piece}, SinceMS: since}
	}
	for _, tc := range []struct {
		name   string
		limit  float64
		claims []Claim
		want   []float64
	}{
		{"enough for all", 10, []Claim{claim(0, 3, 0, 1, 1), claim(0, 4, 0, 1, 1)}, []float64{3, 4}},
		{"evenly", 10, []Claim{claim(0, 20, 0, 1, 1), claim(0, 20, 0, 1, 1)}, []float64{5, 5}},
		{"little wants first", 12, []Claim{claim(0, 2, 0, 1, 1), claim(0, 20, 0, 1, 1), claim(0, 20, 0, 1, 1)}, []float64{2, 5, 5}},
		{"the guarantee first", 10, []Claim{claim(0, 8, 8, 1, 1), claim(10, 20, 0, 1, 1)}, []float64{8, 2}},
		{"guarantees above the limit", 6, []Claim{claim(0, 8, 8, 1, 1), claim(0, 8, 8, 1, 1)}, []float64{3, 3}},
		{"whole pieces, the oldest first", 10, []Claim{claim(0, 20, 0, 4, 2), claim(0, 20, 0, 4, 1), claim(0, 20, 0, 4, 3)}, []float64{4, 4, 0}},
		{"a large piece beside small ones", 10, []Claim{claim(9, 30, 0, 1, 5), claim(0, 8, 0, 8, 1)}, []float64{2, 8}},
		{"nothing", 0, []Claim{claim(0, 5, 5, 1, 1)}, []float64{0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for i, got := range Divide(Amount{CPUs: tc.limit}, tc.claims) {
				if d := got.CPUs - tc.want[i]; d > epsilon || d < -epsilon {
					t.Errorf("claim %d gets %g, want %g", i, got.CPUs, tc.want[i])
				}
			}
		})
	}
}

// TestRenamed: a group that is renamed is one that is removed and one that is new: its
// limit is in force once every shard has told what it uses, and the old name binds nobody.
func TestRenamed(t *testing.T) {
	l := NewLedger(Config{Shards: 1, Timing: DefaultTiming()})
	store := map[string]storedRecord{}
	var now Instant
	step := func(in Input) {
		now.Steady += sec
		queue := l.Step(now, in)
		for len(queue) > 0 {
			w, ok := queue[0].(Write)
			queue = queue[1:]
			if ok {
				store[w.Group] = storedRecord{w.Record, store[w.Group].modRevision + 1}
				queue = append(queue, l.Step(now, Wrote{ID: w.ID, Outcome: Applied, ModRevision: store[w.Group].modRevision})...)
			}
		}
	}
	use := func(cpus float64) {
		step(Used{Shard: 0, Groups: l.Claims(0, true, []TeamDemand{{Groups: l.Path("t"), Used: Amount{CPUs: cpus}}})})
	}
	step(Held{Shard: 0})
	step(Refreshed{Shard: 0})
	if got := l.Allowed(0, "old"); got != Unlimited {
		t.Errorf("a group that nobody knows allows %v", got)
	}
	step(Announce{Definitions: []Definition{{Name: "old", Teams: []string{"t"}, Limit: cpus(5)}}})
	use(4)
	step(Announce{Definitions: []Definition{{Name: "new", Teams: []string{"t"}, Limit: cpus(3)}}})
	step(Announce{Definitions: []Definition{{Name: "new", Teams: []string{"t"}, Limit: cpus(3)}}})
	if path := l.Path("t"); len(path) != 1 || path[0] != "new" {
		t.Errorf("the team is in %v", path)
	}
	if got := l.Allowed(0, "old"); got != Unlimited {
		t.Errorf("the old name allows %v", got)
	}
	use(4)
	if st := l.Status(); len(st) != 2 || st[0].State != StateAnnounced || st[0].Applied != nil || st[1].State != StateRemoved {
		t.Errorf("while more is used: %+v", st)
	}
	if got := l.Allowed(0, "new"); got.CPUs > 3 {
		t.Errorf("more than the limit is allowed: %v", got)
	}
	use(2)
	if st := l.Status(); st[0].State != StateInForce {
		t.Errorf("once less is used: %+v", st[0])
	}
}
