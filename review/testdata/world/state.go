package main

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// stateService is the state service of PROTOCOL, "Controller nodes -> state service".
type stateService struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
	latency       time.Duration

	mu        sync.Mutex
	ledger    uint64
	keys      map[string]*stored
	grants    map[uint64]*grant
	nextGrant uint64
	events    []event
	changed   chan struct{} // closed and replaced at each change
	requests  bucket
	writes    bucket
}

type stored struct {
	value  cbor.RawMessage
	mark   uint64
	halter uint64
}

type grant struct {
	life time.Duration
	ends time.Time
}

type event struct {
	Put  string          `cbor:"put,omitempty"`
	V    cbor.RawMessage `cbor:"v,omitempty"`
	Drop string          `cbor:"drop,omitempty"`
	Mark uint64          `cbor:"mark"`
}

func (e event) key() string { return e.Put + e.Drop }

const keptEvents = 10_000

// bucket is a rate limit with a burst worth one second.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService() *stateService {
	s := &stateService{
		rps: 150, writeRPS: 25, valueBytes: 8 << 10, txnOps: 8, latency: 3 * time.Millisecond,
		keys: map[string]*stored{}, grants: map[uint64]*grant{}, changed: make(chan struct{}),
	}
	now := time.Now()
	s.requests = bucket{s.rps, s.rps, now}
	s.writes = bucket{s.writeRPS, s.writeRPS, now}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.endGrants()
		}
	}()
	return s
}

func (s *stateService) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) endGrants() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.grants {
		if time.Now().After(g.ends) {
			s.endGrant(id)
		}
	}
}

func (s *stateService) endGrant(id uint64) {
	delete(s.grants, id)
	for key, k := range s.keys {
		if k.halter == id {
			s.ledger++
			s.drop(key)
		}
	}
	s.notify()
}

func (s *stateService) drop(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	s.addEvent(event{Drop: key, Mark: s.ledger})
}

func (s *stateService) addEvent(e event) {
	s.events = append(s.events, e)
	if len(s.events) > 2*keptEvents {
		s.events = slices.Clone(s.events[len(s.events)-keptEvents:])
	}
}

func (s *stateService) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body := readBody(r)
	time.Sleep(s.latency)
	s.mu.Lock()
	if !s.requests.take(1) {
		s.mu.Unlock()
		answer(rw, http.StatusTooManyRequests, nil)
		return
	}
	if r.URL.Path == "/watch" {
		s.watch(rw, r) // unlocks
		return
	}
	status, response := s.serve(r, body)
	s.mu.Unlock()
	answer(rw, status, response)
}

func (s *stateService) serve(r *http.Request, body []byte) (int, any) {
	path := strings.TrimPrefix(r.URL.Path, "/")
	service, rest, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case service == "keys" && rest != "":
		k := s.keys[rest]
		if k == nil {
			return http.StatusNotFound, object{"ledger": s.ledger}
		}
		return http.StatusOK, object{"path": rest, "v": k.value, "mark": k.mark, "halter": k.halter}
	case service == "keys":
		return http.StatusOK, s.list(query.Get("starts"), query.Get("since"), int(number(query.Get("most"))))
	case service == "multi":
		return s.multi(body)
	case service == "grants" && rest == "":
		var request struct {
			LifeMS int64 `cbor:"lifeMs"`
		}
		if !decode(body, &request) || request.LifeMS < 100 || request.LifeMS > 600_000 {
			return http.StatusBadRequest, nil
		}
		s.nextGrant++
		life := time.Duration(request.LifeMS) * time.Millisecond
		s.grants[s.nextGrant] = &grant{life, time.Now().Add(life)}
		return http.StatusOK, object{"halter": s.nextGrant}
	case service == "grants" && strings.HasSuffix(rest, "/extend"):
		g := s.grants[number(strings.TrimSuffix(rest, "/extend"))]
		if g == nil {
			return http.StatusNotFound, nil
		}
		g.ends = time.Now().Add(g.life)
		return http.StatusOK, object{}
	case service == "grants" && r.Method == http.MethodDelete:
		s.endGrant(number(rest))
		return http.StatusOK, object{}
	}
	return http.StatusBadRequest, nil
}

func (s *stateService) list(prefix, since string, most int) object {
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > since {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	truncated := false
	if most <= 0 || most > 1000 {
		most = 1000
	}
	if len(keys) > most {
		keys, truncated = keys[:most], true
	}
	rows := []any{}
	for _, key := range keys {
		rows = append(rows, object{"path": key, "v": s.keys[key].value, "mark": s.keys[key].mark})
	}
	return object{"rows": rows, "truncated": truncated, "ledger": s.ledger}
}

func (s *stateService) multi(body []byte) (int, any) {
	var txn struct {
		When []struct {
			Path string `cbor:"path"`
			Mark uint64 `cbor:"mark"`
		} `cbor:"when"`
		Then []struct {
			Put    string          `cbor:"put"`
			V      cbor.RawMessage `cbor:"v"`
			Halter uint64          `cbor:"halter"`
			Drop   string          `cbor:"drop"`
		} `cbor:"then"`
	}
	if !decode(body, &txn) || len(body) > 64<<10 || len(txn.Then) > s.txnOps || len(txn.When) > 4*s.txnOps {
		return http.StatusBadRequest, nil
	}
	for _, change := range txn.Then {
		if len(change.V) > s.valueBytes {
			return http.StatusBadRequest, nil
		}
		if change.Halter != 0 && s.grants[change.Halter] == nil {
			return http.StatusBadRequest, object{"error": "no such lease"}
		}
	}
	if !s.writes.take(float64(len(txn.Then))) {
		return http.StatusTooManyRequests, nil
	}
	failed := []string{}
	for _, condition := range txn.When {
		mark := uint64(0)
		if k := s.keys[condition.Path]; k != nil {
			mark = k.mark
		}
		if mark != condition.Mark {
			failed = append(failed, condition.Path)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, object{"failed": failed, "ledger": s.ledger}
	}
	if len(txn.Then) > 0 {
		s.ledger++
	}
	for _, change := range txn.Then {
		if change.Drop != "" {
			s.drop(change.Drop)
			continue
		}
		value := slices.Clone(change.V)
		s.keys[change.Put] = &stored{value: value, mark: s.ledger, halter: change.Halter}
		s.addEvent(event{Put: change.Put, V: value, Mark: s.ledger})
	}
	s.notify()
	return http.StatusOK, object{"ledger": s.ledger}
}

// watch is called with s.mu held, and releases it.
func (s *stateService) watch(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, since := query.Get("starts"), number(query.Get("since"))
	wait := min(time.Duration(number(query.Get("blockMs")))*time.Millisecond, time.Minute)
	deadline := time.After(wait)
	for {
		if len(s.events) > keptEvents && since < s.events[len(s.events)-keptEvents].Mark {
			s.mu.Unlock()
			answer(rw, http.StatusGone, nil)
			return
		}
		events := []event{}
		for _, e := range s.events {
			if e.Mark > since && strings.HasPrefix(e.key(), prefix) {
				events = append(events, e)
			}
		}
		ledger, changed := s.ledger, s.changed
		s.mu.Unlock()
		expired := wait == 0
		if len(events) == 0 && !expired {
			select {
			case <-changed:
				s.mu.Lock()
				continue
			case <-deadline:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		answer(rw, http.StatusOK, object{"ledger": ledger, "events": events})
		return
	}
}
