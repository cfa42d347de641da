package quota_test

import (
	"fmt"

	"garnethitch/quota"
)

// memory is a store in memory that holds the record of one group.
type memory struct {
	record      quota.Record
	modRevision uint64
}

func (m *memory) Read(string) (quota.Record, uint64, error) { return m.record, m.modRevision, nil }

func (m *memory) Write(w quota.Write) (uint64, bool, error) {
	if w.ModRevision != m.modRevision {
		return 0, false, nil
	}
	m.record = w.Record
	m.modRevision++
	return m.modRevision, true, nil
}

// Two controllers share a limit of 10 CPUs. Each grants from the allowance of its own shard.
func Example() {
	store := &memory{}
	timing := quota.DefaultTiming()
	var now quota.Instant
	var ledgers [2]*quota.Ledger
	for shard := range ledgers {
		ledgers[shard] = quota.NewLedger(quota.Config{Shards: len(ledgers), Timing: timing})
	}
	// The leader, here the first controller, announces the limit.
	build := quota.Definition{Name: "build", Teams: []string{"tools"}, Limit: quota.CPULimit(10)}
	if _, err := ledgers[0].Sync(now, quota.Announce{Definitions: []quota.Definition{build}}, store); err != nil {
		fmt.Println(err)
	}

	// Each controller reports what it uses and wants: a few times here, at intervals in a
	// program.
	demand := quota.TeamDemand{
		Groups:  []string{"build"},
		Waiting: []quota.WaitingTasks{{Size: quota.Amount{CPUs: 1}, Count: 20, SinceMS: 1}},
	}
	for range 4 {
		for shard, ledger := range ledgers {
			now.Steady += timing.WriteInterval
			for _, in := range []quota.Input{
				quota.ShardAcquired{Shard: shard},
				quota.Learned{Group: "build", Record: store.record, ModRevision: store.modRevision},
				quota.RecordsRead{Shard: shard},
				quota.UsageReport{Shard: shard, Groups: ledger.Claims(shard, true, []quota.TeamDemand{demand})},
			} {
				if _, err := ledger.Sync(now, in, store); err != nil {
					fmt.Println(err)
				}
			}
		}
	}
	for shard, ledger := range ledgers {
		fmt.Printf("shard %d may use %g CPUs\n", shard, ledger.Allowed(shard, "build").CPUs)
	}
	// Output:
	// shard 0 may use 5 CPUs
	// shard 1 may use 5 CPUs
}
