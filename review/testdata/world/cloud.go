package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// cloud is the cloud of PROTOCOL, "Controller nodes -> cloud". It offers one machine type.
type cloud struct {
	w        *world
	bootTime time.Duration
	listLag  time.Duration

	mu        sync.Mutex
	capacity  map[string]int // by place: the most machines at a time
	machines  []*machine
	hires     map[string][]string
	snapshots []snapshot
}

type snapshot struct {
	at   time.Time
	rows []object
}

const (
	typeName  = "quad-small"
	typeCPUs  = 4.0
	typeMemGB = 16.0
)

// place is a zone with "spot" or "ordinary".
func place(zone string, spot bool) string {
	if spot {
		return zone + " spot"
	}
	return zone + " ordinary"
}

func newCloud(w *world) *cloud {
	c := &cloud{w: w, bootTime: 35 * time.Second, listLag: 3 * time.Second, capacity: map[string]int{}, hires: map[string][]string{}}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			c.takeSnapshot()
		}
	}()
	return c
}

func (c *cloud) takeSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var rows []object
	for _, m := range c.machines {
		if m.gone() {
			continue
		}
		stance := "running"
		if now.Before(m.upAt) {
			stance = "starting"
		}
		rows = append(rows, object{
			"nameId": m.name, "address": m.address, "breed": typeName, "paddock": m.zone, "strays": m.spot,
			"stance": stance, "ageS": now.Sub(m.rentedAt).Seconds(),
		})
	}
	c.snapshots = append(c.snapshots, snapshot{now, rows})
	for len(c.snapshots) > 1 && now.Sub(c.snapshots[1].at) > c.listLag {
		c.snapshots = c.snapshots[1:]
	}
}

// add rents a machine that is up after boot.
func (c *cloud) add(zone string, spot bool, boot time.Duration) *machine {
	m := newMachine(c.w, fmt.Sprintf("vm-%06d", len(c.machines)+1), zone, spot, boot)
	c.machines = append(c.machines, m)
	return m
}

func (c *cloud) inUse(zone string, spot bool) int {
	n := 0
	for _, m := range c.machines {
		if !m.gone() && m.zone == zone && m.spot == spot {
			n++
		}
	}
	return n
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	status, response := c.serve(r, body)
	c.mu.Unlock()
	answer(rw, status, response)
}

func (c *cloud) serve(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/flavors":
		return http.StatusOK, object{"breeds": []object{{
			"sku": typeName, "cpus": typeCPUs, "gpus": 0.0, "memGb": typeMemGB, "cacheGb": 60.0, "fetchGbPerS": 0.4,
			"hourly": 0.19, "marketPrice": 0.05, "readyS": c.bootTime.Seconds(), "paddocks": c.w.zones,
		}}}
	case r.URL.Path == "/rentals/return":
		var request struct {
			Posts []string `cbor:"posts"`
		}
		if !decode(body, &request) || len(request.Posts) > 100 {
			return http.StatusBadRequest, nil
		}
		for _, name := range request.Posts {
			if m := c.byName(name); m != nil && !m.gone() {
				c.w.record("cloud: %s returned by a controller", name)
				m.end()
			}
		}
		return http.StatusOK, object{}
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		return c.rent(body)
	case r.URL.Path == "/rentals":
		return http.StatusOK, c.list(r.URL.Query().Get("since"), int(number(r.URL.Query().Get("most"))))
	}
	return http.StatusBadRequest, nil
}

func (c *cloud) byName(name string) *machine {
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return nil
	}
	return c.machines[i]
}

func (c *cloud) rent(body []byte) (int, any) {
	var request struct {
		Hire    string `cbor:"hire"`
		Breed   string `cbor:"breed"`
		Paddock string `cbor:"paddock"`
		Strays  bool   `cbor:"strays"`
		Count   int    `cbor:"count"`
	}
	if !decode(body, &request) || request.Hire == "" || request.Breed != typeName || request.Count < 1 || request.Count > 50 {
		return http.StatusBadRequest, nil
	}
	if posts, repeated := c.hires[request.Hire]; repeated {
		return http.StatusOK, object{"posts": posts}
	}
	var posts []string
	for len(posts) < request.Count && c.inUse(request.Paddock, request.Strays) < c.capacity[place(request.Paddock, request.Strays)] {
		posts = append(posts, c.add(request.Paddock, request.Strays, c.bootTime).name)
	}
	c.w.record("cloud: asked for %d of %s, rented %s", request.Count, place(request.Paddock, request.Strays), strings.Join(posts, " "))
	if len(posts) == 0 {
		return http.StatusServiceUnavailable, object{"error": "no capacity"}
	}
	c.hires[request.Hire] = posts
	return http.StatusOK, object{"posts": posts}
}

func (c *cloud) list(since string, most int) object {
	rows := []object{}
	truncated := false
	if len(c.snapshots) > 0 {
		for _, row := range c.snapshots[0].rows {
			switch {
			case row["nameId"].(string) <= since:
			case most > 0 && len(rows) == most:
				truncated = true
			default:
				rows = append(rows, row)
			}
		}
	}
	return object{"posts": rows, "truncated": truncated}
}
