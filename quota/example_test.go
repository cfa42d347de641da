package quota_test

import (
	"fmt"

	"garnethitch/quota"
)

// memory is a store of a program's own: one record, in memory.
type memory struct {
	rec         quota.Record
	modRevision uint64
}

func (m *memory) Read(string) (quota.Record, uint64, error) { return m.rec, m.modRevision, nil }

func (m *memory) Write(w quota.Write) (uint64, bool, error) {
	if w.ModRevision != m.modRevision {
		return 0, false, nil
	}
	m.rec, m.modRevision = w.Record, m.modRevision+1
	return m.modRevision, true, nil
}

// Two parts of a program keep one limit of 10 CPUs together: each grants from an allowance
// of its own.
func Example() {
	store := &memory{}
	var now quota.Instant
	var parts [2]*quota.Ledger
	for shard := range parts {
		parts[shard] = quota.NewLedger(quota.Config{Shards: len(parts), Timing: quota.DefaultTiming()})
	}
	// The first announces the limit; in earnest, whoever leads.
	build := quota.Definition{Name: "build", Teams: []string{"tools"}, Limit: quota.CPULimit(10)}
	_, _ = parts[0].Sync(now, quota.Announce{Definitions: []quota.Definition{build}}, store)

	// Each says what it uses and wants, several times, as it would all the time.
	for range 4 {
		for shard, ledger := range parts {
			now.Steady += quota.DefaultTiming().WriteInterval
			demand := quota.TeamDemand{Groups: []string{"build"}, Waiting: []quota.WaitingTasks{{Size: quota.Amount{CPUs: 1}, Count: 20, SinceMS: 1}}}
			for _, in := range []quota.Input{
				quota.Held{Shard: shard},
				quota.Learned{Group: "build", Record: store.rec, ModRevision: store.modRevision},
				quota.Refreshed{Shard: shard},
				quota.Used{Shard: shard, Groups: ledger.Claims(shard, true, []quota.TeamDemand{demand})},
			} {
				if _, err := ledger.Sync(now, in, store); err != nil {
					fmt.Println(err)
				}
			}
		}
	}
	for shard, ledger := range parts {
		fmt.Printf("part %d may use %g CPUs\n", shard, ledger.Allowed(shard, "build").CPUs)
	}
	// Output:
	// part 0 may use 5 CPUs
	// part 1 may use 5 CPUs
}
