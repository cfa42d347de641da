package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// machineType is a type that the cloud offers.
type machineType struct {
	name      string
	cpus, mem float64
	fetch     float64
	bootS     float64
	zones     []string
	prices    [2]float64 // ordinary, spot
}

// cloud is the stand-in of the cloud.
type cloud struct {
	mu       sync.Mutex
	w        *world
	types    []machineType
	capacity map[string]int // machines by type, zone and kind; absent: none
	machines []*machine
	hires    map[string][]string
	outage   bool
	late     time.Duration // rentals and returns are carried out that much later, and not answered
}

func (c *cloud) typeOf(name string) *machineType {
	for i := range c.types {
		if c.types[i].name == name {
			return &c.types[i]
		}
	}
	return nil
}

func kindKey(breed, zone string, spot bool) string { return fmt.Sprint(breed, " ", zone, " ", spot) }

func (c *cloud) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late > 0 && r.Method == http.MethodPost {
		path := r.URL.Path
		time.AfterFunc(c.late, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if path == "/rentals/return" {
				c.giveBack(httptest.NewRecorder(), body)
			} else {
				c.rent(httptest.NewRecorder(), body)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if c.outage {
		reply(rw, http.StatusServiceUnavailable, object{"error": "trouble"})
		return
	}
	switch r.URL.Path {
	case "/flavors":
		c.flavors(rw)
	case "/rentals/return":
		c.giveBack(rw, body)
	case "/rentals":
		if r.Method == http.MethodPost {
			c.rent(rw, body)
		} else {
			c.list(rw, r)
		}
	default:
		reply(rw, http.StatusBadRequest, nil)
	}
}

func (c *cloud) flavors(rw http.ResponseWriter) {
	breeds := []object{}
	for _, t := range c.types {
		breeds = append(breeds, object{"sku": t.name, "cpus": t.cpus, "gpus": 0.0, "memGb": t.mem, "cacheGb": 60.0, "fetchGbPerS": t.fetch,
			"hourly": t.prices[0], "marketPrice": t.prices[1], "readyS": t.bootS, "paddocks": t.zones})
	}
	reply(rw, http.StatusOK, object{"breeds": breeds})
}

func (c *cloud) rent(rw http.ResponseWriter, body []byte) {
	var rental struct {
		Hire    string `cbor:"hire"`
		Breed   string `cbor:"breed"`
		Paddock string `cbor:"paddock"`
		Strays  bool   `cbor:"strays"`
		Count   int    `cbor:"count"`
	}
	if decode(body, &rental) != nil || rental.Hire == "" || rental.Count < 1 || rental.Count > 50 {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	names, known := c.hires[rental.Hire]
	if !known {
		key := kindKey(rental.Breed, rental.Paddock, rental.Strays)
		for len(names) < rental.Count && c.capacity[key] > 0 {
			c.capacity[key]--
			names = append(names, c.add(rental.Breed, rental.Paddock, rental.Strays, c.w.bootTime(c.typeOf(rental.Breed))).id)
		}
		if len(names) == 0 {
			reply(rw, http.StatusServiceUnavailable, object{"error": "no capacity"})
			return
		}
		c.hires[rental.Hire] = names
		c.w.note("cloud rents %v", names)
	}
	reply(rw, http.StatusOK, object{"posts": names})
}

// add adds a machine that is up after boot. The caller holds the lock or has not started yet.
func (c *cloud) add(breed, zone string, spot bool, boot time.Duration) *machine {
	m := newMachine(c.w, fmt.Sprintf("vm-%06d", len(c.machines)+1), c.typeOf(breed), zone, spot, boot)
	c.machines = append(c.machines, m)
	return m
}

func (c *cloud) giveBack(rw http.ResponseWriter, body []byte) {
	var names struct {
		Posts []string `cbor:"posts"`
	}
	if decode(body, &names) != nil || len(names.Posts) > 100 {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	for _, name := range names.Posts {
		for _, m := range c.machines {
			if m.id == name {
				m.remove("returned")
				if !m.freed {
					m.freed = true
					c.capacity[kindKey(m.breed.name, m.zone, m.spot)]++
				}
			}
		}
	}
	reply(rw, http.StatusOK, nil)
}

// list lists the machines as they were before the lag.
func (c *cloud) list(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	if most <= 0 || most > 500 {
		most = 500
	}
	asOf := time.Now().Add(-c.w.settings.listLag)
	posts, truncated := []object{}, false
	for _, m := range c.machines {
		stance, listed := m.listedAt(asOf)
		if !listed || m.id <= q.Get("since") {
			continue
		}
		if len(posts) >= most {
			truncated = true
			break
		}
		posts = append(posts, object{"nameId": m.id, "address": m.address, "breed": m.breed.name, "paddock": m.zone, "strays": m.spot,
			"stance": stance, "ageS": asOf.Sub(m.rentedAt).Seconds()})
	}
	reply(rw, http.StatusOK, object{"posts": posts, "truncated": truncated})
}
