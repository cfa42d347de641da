package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// stateLimits are the limits of the state service, as in the settings.
type stateLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

type storedKey struct {
	value cbor.RawMessage
	mark  uint64
	lease uint64
}

type event struct {
	Put  string          `cbor:"put,omitempty"`
	V    cbor.RawMessage `cbor:"v,omitempty"`
	Drop string          `cbor:"drop,omitempty"`
	Mark uint64          `cbor:"mark"`
}

type lease struct {
	life    time.Duration
	expires time.Time
}

type condition struct {
	Path string `cbor:"path"`
	Mark uint64 `cbor:"mark"`
}

type change struct {
	Put    string          `cbor:"put"`
	V      cbor.RawMessage `cbor:"v"`
	Halter uint64          `cbor:"halter"`
	Drop   string          `cbor:"drop"`
}

type transaction struct {
	When []condition `cbor:"when"`
	Then []change    `cbor:"then"`
}

// keptChanges is how many changes the service keeps for watches.
const keptChanges = 10_000

// stateService is the stand-in of the state service. Each controller has an address of its own,
// so that one of them can be refused or cut off.
type stateService struct {
	mu        sync.Mutex
	limits    stateLimits
	revision  uint64
	keys      map[string]*storedKey
	leases    map[uint64]*lease
	nextLease uint64
	events    []event
	changed   chan struct{} // closed and replaced at each change
	requests  bucket
	writes    bucket
	outage    bool
	delay     time.Duration // of each answer
	faults    []*stateFault // by controller
}

// stateFault is what one controller meets at the state service.
type stateFault struct {
	refused     bool          // 503
	cut         bool          // no answer, nothing is carried out
	loseAnswers bool          // carried out, not answered
	late        time.Duration // transactions are carried out that much later, and not answered
}

// bucket limits a rate, with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(limits stateLimits, nodes int) *stateService {
	s := &stateService{
		limits: limits, keys: map[string]*storedKey{}, leases: map[uint64]*lease{}, changed: make(chan struct{}),
		requests: bucket{rate: limits.rps, tokens: limits.rps, at: time.Now()},
		writes:   bucket{rate: limits.writeRPS, tokens: limits.writeRPS, at: time.Now()},
	}
	for range nodes {
		s.faults = append(s.faults, &stateFault{})
	}
	go s.expire()
	return s
}

// expire ends leases that were not renewed in time. During an outage they keep their full time.
func (s *stateService) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if s.outage {
				l.expires = now.Add(l.life)
			}
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, stored := range s.keys {
		if stored.lease == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	slices.Sort(gone)
	s.revision++
	for _, key := range gone {
		delete(s.keys, key)
		s.addEvent(event{Drop: key, Mark: s.revision})
	}
	s.announce()
}

func (s *stateService) addEvent(e event) {
	s.events = append(s.events, e)
	if len(s.events) > keptChanges {
		s.events = s.events[len(s.events)-keptChanges:]
	}
}

func (s *stateService) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setOutage begins or ends an outage.
func (s *stateService) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.life)
	}
	s.announce()
}

func (s *stateService) setFault(node int, f stateFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.faults[node] = f
	s.announce()
}

func (s *stateService) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// handler serves one controller.
func (s *stateService) handler(node int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		fault, delay, outage := *s.faults[node], s.delay, s.outage
		s.mu.Unlock()
		if fault.cut {
			hang(r.Context(), time.Minute)
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if fault.refused || outage {
			reply(rw, http.StatusServiceUnavailable, nil)
			return
		}
		if fault.late > 0 && r.URL.Path == "/multi" {
			time.AfterFunc(fault.late, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				_, _ = s.commit(body)
			})
			hang(r.Context(), time.Minute)
		}
		status, answer := s.execute(r, body, node)
		s.mu.Lock()
		fault = *s.faults[node]
		s.mu.Unlock()
		if fault.loseAnswers || fault.cut {
			hang(r.Context(), time.Minute)
		}
		reply(rw, status, answer)
	})
}

func (s *stateService) execute(r *http.Request, body []byte, node int) (int, any) {
	s.mu.Lock()
	if !s.requests.take(1) {
		s.mu.Unlock()
		return http.StatusTooManyRequests, nil
	}
	path := r.URL.Path
	if path == "/watch" {
		s.mu.Unlock()
		return s.watch(r, node)
	}
	defer s.mu.Unlock()
	switch {
	case path == "/keys":
		return s.list(r)
	case strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		stored := s.keys[key]
		if stored == nil {
			return http.StatusNotFound, object{"ledger": s.revision}
		}
		return http.StatusOK, object{"path": key, "v": stored.value, "mark": stored.mark, "halter": stored.lease}
	case path == "/multi":
		return s.commit(body)
	case path == "/grants":
		var grant struct {
			LifeMs int64 `cbor:"lifeMs"`
		}
		if decode(body, &grant) != nil || grant.LifeMs < 100 || grant.LifeMs > 600_000 {
			return http.StatusBadRequest, nil
		}
		s.nextLease++
		life := time.Duration(grant.LifeMs) * time.Millisecond
		s.leases[s.nextLease] = &lease{life: life, expires: time.Now().Add(life)}
		return http.StatusOK, object{"halter": s.nextLease}
	case strings.HasPrefix(path, "/grants/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/grants/"), "/extend"), 10, 64)
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, nil
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.expires = time.Now().Add(l.life)
		}
		return http.StatusOK, nil
	}
	return http.StatusBadRequest, nil
}

func (s *stateService) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, q.Get("starts")) && key > q.Get("since") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, bytes, truncated := []object{}, 0, false
	for _, key := range keys {
		stored := s.keys[key]
		bytes += textSize(stored.value) + len(key) + 40
		if len(rows) >= most || bytes > 512<<10 {
			truncated = true
			break
		}
		rows = append(rows, object{"path": key, "v": stored.value, "mark": stored.mark})
	}
	return http.StatusOK, object{"rows": rows, "truncated": truncated, "ledger": s.revision}
}

// textSize returns the length of a value's text.
func textSize(value cbor.RawMessage) int {
	var v any
	if decode(value, &v) != nil {
		return len(value)
	}
	text, err := json.Marshal(plain(v))
	if err != nil {
		return len(value)
	}
	return len(text)
}

func (s *stateService) commit(body []byte) (int, any) {
	var txn transaction
	if decode(body, &txn) != nil || len(txn.Then) > s.limits.txnOps || len(txn.When) > 4*s.limits.txnOps {
		return http.StatusBadRequest, nil
	}
	total := 0
	for _, c := range txn.Then {
		size := 0
		if c.Put != "" {
			size = textSize(c.V)
		}
		total += size + len(c.Put) + len(c.Drop)
		if size > s.limits.valueBytes {
			return http.StatusBadRequest, nil
		}
	}
	if total > 64<<10 {
		return http.StatusBadRequest, nil
	}
	if len(txn.Then) > 0 && !s.writes.take(float64(len(txn.Then))) {
		return http.StatusTooManyRequests, nil
	}
	for _, c := range txn.Then {
		if c.Halter != 0 && s.leases[c.Halter] == nil {
			return http.StatusBadRequest, object{"error": "no such lease"}
		}
	}
	failed := []string{}
	for _, c := range txn.When {
		mark := uint64(0)
		if stored := s.keys[c.Path]; stored != nil {
			mark = stored.mark
		}
		if mark != c.Mark {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, object{"failed": failed, "ledger": s.revision}
	}
	if len(txn.Then) == 0 {
		return http.StatusOK, object{"ledger": s.revision}
	}
	s.revision++
	for _, c := range txn.Then {
		if c.Put != "" {
			s.keys[c.Put] = &storedKey{value: c.V, mark: s.revision, lease: c.Halter}
			s.addEvent(event{Put: c.Put, V: c.V, Mark: s.revision})
		} else if s.keys[c.Drop] != nil {
			delete(s.keys, c.Drop)
			s.addEvent(event{Drop: c.Drop, Mark: s.revision})
		}
	}
	s.announce()
	return http.StatusOK, object{"ledger": s.revision}
}

// watch waits for changes. It stays open through an outage and while its controller is refused.
func (s *stateService) watch(r *http.Request, node int) (int, any) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.Now().Add(time.Duration(min(block, 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		blocked := s.outage || s.faults[node].refused || s.faults[node].cut
		changed := s.changed
		if !blocked {
			if len(s.events) == keptChanges && s.events[0].Mark > since+1 {
				s.mu.Unlock()
				return http.StatusGone, nil
			}
			found := []event{}
			for _, e := range s.events {
				if e.Mark > since && strings.HasPrefix(e.Put+e.Drop, q.Get("starts")) {
					found = append(found, e)
				}
			}
			if len(found) > 0 || !time.Now().Before(end) {
				revision := s.revision
				s.mu.Unlock()
				return http.StatusOK, object{"ledger": revision, "events": found}
			}
		}
		s.mu.Unlock()
		wait := time.Until(end)
		if blocked || wait <= 0 {
			wait = 200 * time.Millisecond
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
