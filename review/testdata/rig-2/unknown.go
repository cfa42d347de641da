package main

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

func init() {
	makers["unknown"] = func(dir, run, record string, seed uint64) *world {
		w := newWorld(magnolia(), clerkTypes(), dir, run, record, seed)
		w.bootTime = func(*machineType) time.Duration { return 3 * time.Second }
		for _, zone := range w.settings.zones {
			w.cloud.capacity[kindKey("clerk-box", zone, false)] = 4
		}
		return w
	}
	scenarios["unknown"] = playUnknown
}

// playUnknown submits jobs that allow one zone each, with a field that the page does not know beside
// (without trouble: without it). A machine is free in each of the two
// zones, and the cloud has more.
func playUnknown(w *world, trouble bool) []string {
	for _, zone := range w.settings.zones {
		w.cloud.mu.Lock()
		w.cloud.add("clerk-box", zone, false, 0)
		w.cloud.mu.Unlock()
	}
	w.start()
	w.awaitReady(20 * time.Second)
	w.awaitOwners(10 * time.Second)
	for i, zone := range w.settings.zones {
		j := w.newJob(spec{herd: "close-rush", crew: "controllers", rank: "high", loads: 2, cpus: 1, mem: 1.2, runS: 4, sizeGb: 0.5, paddock: zone})
		if trouble {
			j.body = withField(j.body, "Paddock", w.settings.zones[1-i])
		}
		w.submit(j, 20*time.Second)
		if !w.pollUntil(j, 2*time.Second, 40*time.Second) {
			cannotRunIn(w, "%s is not over", j.id)
		}
	}
	return []string{"wrong_place"}
}

// withField adds a field to a map. The fields are in the order of RFC 8949's deterministic encoding.
func withField(body []byte, name string, value any) []byte {
	fields := map[string]any{}
	if err := decode(body, &fields); err != nil {
		panic(err)
	}
	fields[name] = value
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	out, err := mode.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return out
}
