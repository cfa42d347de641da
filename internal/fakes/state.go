package fakes

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

const (
	// leaseCheckInterval is how often leases are checked for expiry.
	leaseCheckInterval = 50 * millisecond
	// maxPageItems keeps pages of lists short, so that controllers have to request further pages.
	maxPageItems = 7
)

// StateLimits are the limits that a State enforces.
type StateLimits struct {
	ValueBytes      int     // size of a stored value; a larger one is refused with status 400
	TxnOps          int     // changes in a transaction; more are refused with status 400
	WritesPerSecond float64 // changes per second; more are refused with status 429; 0: no limit
}

// State is a fake of the state service: keys with revisions, leases, transactions and watches.
type State struct {
	scheduler   Scheduler
	limits      StateLimits
	writes      *writeLimit // nil: no limit
	revision    uint64
	keys        map[string]*storedKey
	leases      map[uint64]*lease
	nextLease   uint64
	events      []wire.Event
	watches     []*pendingWatch
	outageUntil micros.Micros

	// OnPut, if set, is called with every value that is stored.
	OnPut func(key string, value wire.Raw, modRevision uint64)
}

type storedKey struct {
	value       wire.Raw
	modRevision uint64
	lease       uint64
}

type lease struct {
	ttl, expiresAt micros.Micros
}

type pendingWatch struct {
	watch statestore.WatchKeys
	reply Reply
	done  bool
}

// NewState returns an empty state service.
func NewState(scheduler Scheduler, limits StateLimits) *State {
	s := &State{scheduler: scheduler, keys: map[string]*storedKey{}, leases: map[uint64]*lease{}}
	s.SetLimits(limits)
	scheduler.After(leaseCheckInterval, s.expireLeases)
	return s
}

// SetLimits changes the limits.
func (s *State) SetLimits(limits StateLimits) {
	s.limits = limits
	switch {
	case limits.WritesPerSecond == 0:
		s.writes = nil
	case s.writes == nil:
		s.writes = newWriteLimit(limits.WritesPerSecond)
	default:
		s.writes.rate = limits.WritesPerSecond
	}
}

// Limits returns the limits.
func (s *State) Limits() StateLimits { return s.limits }

// SetOutage makes the service answer every request with status 503 until the given time. After
// an outage all leases last their full TTL.
func (s *State) SetOutage(until micros.Micros) { s.outageUntil = until }

// Revision returns the revision of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Value returns the value of a key; ok is false if the key does not exist.
func (s *State) Value(key string) (value wire.Raw, ok bool) {
	stored := s.keys[key]
	if stored == nil {
		return nil, false
	}
	return stored.value, true
}

// LocksByController returns the number of locks that each controller holds, by controller label.
func (s *State) LocksByController() map[string]int {
	locks := map[string]int{}
	for key, stored := range s.keys {
		var record wire.OwnerRecord
		if IsLock(key) && wire.Decode(stored.value, &record) == nil {
			locks[record.Label]++
		}
	}
	return locks
}

// IsLock reports whether a key is the leader lock or the lock of a shard.
func IsLock(key string) bool {
	return key == wire.KeyLeader || strings.HasPrefix(key, wire.PrefixOwner)
}

// Serve answers a request from a controller.
func (s *State) Serve(request any, reply Reply) {
	if s.unavailable() {
		reply.status(http.StatusServiceUnavailable)
		return
	}
	switch r := request.(type) {
	case statestore.GetKey:
		s.getKey(r, reply)
	case statestore.ListKeys:
		s.listKeys(r, reply)
	case wire.NewLease:
		s.createLease(r, reply)
	case statestore.RenewLease:
		s.renewLease(r, reply)
	case wire.Txn:
		s.commit(r, reply)
	case statestore.WatchKeys:
		s.watch(r, reply)
	}
}

func (s *State) unavailable() bool { return s.scheduler.Now() < s.outageUntil }

func (s *State) getKey(request statestore.GetKey, reply Reply) {
	stored := s.keys[request.Key]
	if stored == nil {
		reply.status(http.StatusNotFound)
		return
	}
	reply.body(http.StatusOK, stored.keyValue(request.Key))
}

func (k *storedKey) keyValue(key string) *wire.KeyValue {
	return &wire.KeyValue{Key: key, Value: k.value, ModRevision: k.modRevision}
}

func (s *State) listKeys(request statestore.ListKeys, reply Reply) {
	page := &wire.KeyList{Revision: s.revision}
	for _, key := range s.sortedKeys() {
		if !strings.HasPrefix(key, request.Prefix) || key <= request.After {
			continue
		}
		if len(page.Items) == min(request.Limit, maxPageItems) {
			page.More = true
			break
		}
		page.Items = append(page.Items, *s.keys[key].keyValue(key))
	}
	reply.body(http.StatusOK, page)
}

func (s *State) sortedKeys() []string {
	return slices.Sorted(maps.Keys(s.keys))
}

func (s *State) createLease(request wire.NewLease, reply Reply) {
	s.nextLease++
	ttl := micros.Micros(request.TTLMS) * millisecond
	s.leases[s.nextLease] = &lease{ttl: ttl, expiresAt: s.scheduler.Now() + ttl}
	reply.body(http.StatusOK, &wire.Lease{ID: s.nextLease})
}

func (s *State) renewLease(request statestore.RenewLease, reply Reply) {
	l := s.leases[request.Lease]
	if l == nil {
		reply.status(http.StatusNotFound)
		return
	}
	l.expiresAt = s.scheduler.Now() + l.ttl
	reply.status(http.StatusOK)
}

// expireLeases deletes the keys of leases that have expired, and schedules the next check.
func (s *State) expireLeases() {
	now := s.scheduler.Now()
	if s.unavailable() {
		for _, l := range s.leases {
			l.expiresAt = s.outageUntil + l.ttl
		}
	}
	var expired []uint64
	for id, l := range s.leases {
		if now >= l.expiresAt {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		delete(s.leases, id)
		s.deleteLeaseKeys(id)
	}
	s.notifyWatches()
	s.scheduler.After(leaseCheckInterval, s.expireLeases)
}

func (s *State) deleteLeaseKeys(lease uint64) {
	for _, key := range s.sortedKeys() {
		if s.keys[key].lease == lease {
			s.revision++
			s.remove(key)
		}
	}
}

// commit applies a transaction if all its conditions hold: all its changes or none.
func (s *State) commit(txn wire.Txn, reply Reply) {
	if !s.isValid(txn) {
		reply.status(http.StatusBadRequest)
		return
	}
	if s.writes != nil && !s.writes.take(s.scheduler.Now(), txn.Writes()) {
		reply.status(http.StatusTooManyRequests)
		return
	}
	for _, condition := range txn.Conditions {
		if s.modRevision(condition.Key) != condition.ModRevision {
			reply.body(http.StatusConflict, &wire.Revision{Revision: s.revision, Failed: []string{condition.Key}})
			return
		}
	}
	s.revision++
	for _, change := range txn.Changes {
		s.apply(change)
	}
	reply.body(http.StatusOK, &wire.Revision{Revision: s.revision})
	s.notifyWatches()
}

// isValid reports whether a transaction is within the limits and names only leases that exist.
func (s *State) isValid(txn wire.Txn) bool {
	if txn.Writes() > s.limits.TxnOps {
		return false
	}
	for _, change := range txn.Changes {
		if change.Put != "" && wire.StoredSize(change.Value, s.limits.ValueBytes) > s.limits.ValueBytes {
			return false
		}
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return false
		}
	}
	return true
}

// modRevision returns the revision of a key's last change, or 0 if the key does not exist.
func (s *State) modRevision(key string) uint64 {
	if stored := s.keys[key]; stored != nil {
		return stored.modRevision
	}
	return 0
}

func (s *State) apply(change wire.Change) {
	if change.Put == "" {
		s.remove(change.Delete)
		return
	}
	s.keys[change.Put] = &storedKey{value: change.Value, modRevision: s.revision, lease: change.Lease}
	s.events = append(s.events, wire.Event{Put: change.Put, Value: change.Value, ModRevision: s.revision})
	if s.OnPut != nil {
		s.OnPut(change.Put, change.Value, s.revision)
	}
}

func (s *State) remove(key string) {
	if s.keys[key] != nil {
		delete(s.keys, key)
		s.events = append(s.events, wire.Event{Delete: key, ModRevision: s.revision})
	}
}

// watch answers with the events after a revision as soon as there are any, or with no events
// once the request's wait time has passed.
func (s *State) watch(request statestore.WatchKeys, reply Reply) {
	w := &pendingWatch{watch: request, reply: reply}
	if s.deliver(w) {
		return
	}
	s.watches = append(s.watches, w)
	s.scheduler.After(micros.Micros(request.WaitMS)*millisecond, func() {
		if !w.done && !s.unavailable() {
			w.done = true
			reply.body(http.StatusOK, &wire.Events{Revision: s.revision})
		}
	})
}

// notifyWatches answers the pending watches that have events, unless there is an outage.
func (s *State) notifyWatches() {
	if s.unavailable() {
		return
	}
	s.watches = slices.DeleteFunc(s.watches, func(w *pendingWatch) bool { return w.done || s.deliver(w) })
}

// deliver answers a watch if there are events for it, and reports whether it did.
func (s *State) deliver(w *pendingWatch) bool {
	var events []wire.Event
	for _, event := range s.events {
		if event.ModRevision > w.watch.Since && matchesPrefix(event, w.watch.Prefix) {
			events = append(events, event)
		}
	}
	if len(events) == 0 {
		return false
	}
	w.done = true
	w.reply.body(http.StatusOK, &wire.Events{Revision: s.revision, Events: events})
	return true
}

// matchesPrefix reports whether an event is about a key with the prefix.
func matchesPrefix(event wire.Event, prefix string) bool {
	put := event.Put != "" && strings.HasPrefix(event.Put, prefix)
	deleted := event.Delete != "" && strings.HasPrefix(event.Delete, prefix)
	return put || deleted
}
