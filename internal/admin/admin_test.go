package admin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"garnethitch/internal/admin"
	"garnethitch/internal/config"
	"garnethitch/internal/faulttest"
	"garnethitch/internal/peer"
	"garnethitch/quota"
)

// TestShowAndSet checks that a limit set through one running controller is shown by another one,
// and that setting the limit of an unknown group is refused.
func TestShowAndSet(t *testing.T) {
	c, err := faulttest.NewCluster(faulttest.ClusterPlan{Seed: 1, Nodes: 2, Machines: 4, Teams: []string{"kigali", "rubavu", "karongi"}, Groups: faulttest.GrantGroups()})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	addrs := c.Addresses()
	ctx := context.Background()
	var resp *peer.QuotaResponse
	wait := func(what string, reached func(quota.GroupStatus) bool) {
		t.Helper()
		for range 100 {
			resp, err = admin.RequestQuota(ctx, addrs[1], peer.QuotaRequest{})
			if err == nil && len(resp.Groups) == 2 && reached(resp.Groups[1]) {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
		t.Fatalf("%s: not reached within 10 s: response %+v, error %v", what, resp, err)
	}
	wait("the options' limit in force", func(g quota.GroupStatus) bool { return g.State == quota.StateInForce && *g.Limit.CPUs == 40 })
	set, err := admin.RequestQuota(ctx, addrs[0], peer.QuotaRequest{Set: &peer.SetLimit{Group: "lake", Limit: quota.CPULimit(7)}})
	if err != nil || set.Epoch < 2 {
		t.Fatalf("setting a limit: response %+v, error %v, want epoch 2 or higher", set, err)
	}
	wait("the operator's limit in force", func(g quota.GroupStatus) bool {
		return g.Source == quota.FromOperator && g.LastInForce != nil && *g.LastInForce.CPUs == 7
	})
	var table, text bytes.Buffer
	if err := errors.Join(admin.WriteTable(&table, resp), admin.WriteJSON(&text, resp)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"GROUP", "lake", "7 CPUs", "in force", "operator", "node-0"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table does not contain %q:\n%s", want, &table)
		}
	}
	var decoded struct {
		Groups []quota.GroupStatus `json:"groups"`
	}
	if err := json.Unmarshal(text.Bytes(), &decoded); err != nil || len(decoded.Groups) != 2 || *decoded.Groups[1].Limit.CPUs != 7 {
		t.Errorf("JSON: error %v, want 2 groups, the second with a limit of 7 CPUs, in\n%s", err, &text)
	}
	if _, err := admin.RequestQuota(ctx, addrs[0], peer.QuotaRequest{Set: &peer.SetLimit{Group: "none", Limit: quota.CPULimit(7)}}); !errors.Is(err, admin.ErrRefused) {
		t.Errorf("an unknown group: error %v, want ErrRefused", err)
	}
}

// TestCheckSetLimit checks that a request that no controller would accept is refused, with the
// reason in the error.
func TestCheckSetLimit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "options.yaml")
	if err := os.WriteFile(path, []byte("quota:\n  groups:\n    - {name: lake, teams: [rubavu], limit: {cpus: 5}}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	negative := -2.0
	for _, tc := range []struct {
		name    string
		set     peer.SetLimit
		options string
		want    string // text contained in the error; empty: no error
	}{
		{"good", peer.SetLimit{Group: "lake", Limit: quota.CPULimit(3)}, path, ""},
		{"without options", peer.SetLimit{Group: "any", Clear: true}, "", ""},
		{"neither a limit nor cleared", peer.SetLimit{Group: "lake"}, path, "--cpus"},
		{"negative", peer.SetLimit{Group: "lake", Limit: quota.Limit{CPUs: &negative}}, path, "limit.cpus = -2"},
		{"an unknown group", peer.SetLimit{Group: "hill", Limit: quota.CPULimit(3)}, path, `group "hill"`},
		{"no options file", peer.SetLimit{Group: "lake", Limit: quota.CPULimit(3)}, path + "x", "no such file"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := admin.CheckSetLimit(tc.set, tc.options, config.Settings{})
			if tc.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %v, want one line with %q", err, tc.want)
			}
		})
	}
}
