package fakes

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"garnethitch/internal/controller"
	"garnethitch/internal/controller/statestore"
	"garnethitch/internal/wire"
)

// FixedMachine is a machine of a fixed fleet.
type FixedMachine struct {
	ID, Address string
}

// Heartbeat returns a heartbeat with the machine's name, address, type and zone, and nothing
// else.
func (m FixedMachine) Heartbeat() wire.Heartbeat {
	offered := machineTypes[0]
	return wire.Heartbeat{Machine: m.ID, Addr: m.Address, Type: offered.Name, Zone: offered.Zones[0]}
}

// Server serves the state service and a cloud with a fixed fleet over HTTP, in real time.
type Server struct {
	Clock *WallClock
	// State may only be used within Clock.Run.
	State *State
	fleet []FixedMachine
}

// NewServer returns a server with an empty state service and no machines.
func NewServer(limits StateLimits) *Server {
	clock := NewWallClock()
	return &Server{Clock: clock, State: NewState(clock, limits)}
}

// AddMachine adds a machine to the fleet. It must not be called once the server is in use.
func (s *Server) AddMachine(m FixedMachine) {
	s.fleet = append(s.fleet, m)
}

// RunDueEvents runs due events at every interval until pause returns false. pause has to wait for
// the given duration.
func (s *Server) RunDueEvents(interval time.Duration, pause func(time.Duration) bool) {
	for pause(interval) {
		s.Clock.Run(func() {})
	}
}

// ServeHTTP answers a request to the state service or the cloud.
func (s *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/")
	service, rest, _ := strings.Cut(path, "/")
	query := r.URL.Query()
	switch service {
	case "flavors":
		WriteAnswer(rw, http.StatusOK, wire.MachineTypes{Types: MachineTypes()})
	case "rentals":
		status, answer := s.serveRentals(rest, query)
		WriteAnswer(rw, status, answer)
	default:
		request, ok := stateRequest(service, rest, query, body)
		if !ok {
			WriteAnswer(rw, http.StatusNotFound, nil)
			return
		}
		result := s.serveState(request)
		WriteAnswer(rw, result.Status, result.Body)
	}
}

// serveState passes a request to the state service and waits for the answer.
func (s *Server) serveState(request any) controller.Result {
	answered := make(chan controller.Result, 1)
	s.Clock.Run(func() {
		s.State.Serve(request, func(result controller.Result) { answered <- result })
	})
	return <-answered
}

// stateRequest decodes a request to the state service; ok is false if it is not a valid one.
func stateRequest(service, rest string, query url.Values, body []byte) (request any, ok bool) {
	switch service {
	case "keys":
		if rest != "" {
			return statestore.GetKey{Key: rest}, true
		}
		return statestore.ListKeys{Prefix: query.Get("starts"), After: query.Get("since"), Limit: int(parseNumber(query.Get("most")))}, true
	case "watch":
		return statestore.WatchKeys{Prefix: query.Get("starts"), Since: parseNumber(query.Get("since")), WaitMS: int64(parseNumber(query.Get("blockMs")))}, true
	case "multi":
		var txn wire.Txn
		err := wire.Decode(body, &txn)
		return txn, err == nil
	case "grants":
		if id, renewal := strings.CutSuffix(rest, "/extend"); renewal {
			return statestore.RenewLease{Lease: parseNumber(id)}, true
		}
		var lease wire.NewLease
		err := wire.Decode(body, &lease)
		return lease, err == nil
	}
	return nil, false
}

// parseNumber parses a decimal number. It returns 0 for any other text.
func parseNumber(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// serveRentals lists the fleet. It refuses to rent out machines or to take them back.
func (s *Server) serveRentals(path string, query url.Values) (status int, answer any) {
	if path == "return" {
		return http.StatusServiceUnavailable, nil
	}
	limit := int(parseNumber(query.Get("most")))
	if limit == 0 {
		return http.StatusServiceUnavailable, map[string]string{"error": string(controller.RefusedRental)}
	}
	return http.StatusOK, s.listFleet(query.Get("since"), limit)
}

// listFleet returns at most limit machines whose names come after the given one.
func (s *Server) listFleet(after string, limit int) wire.MachineList {
	list := wire.MachineList{}
	age := time.Since(s.Clock.Began()).Seconds()
	for _, m := range s.fleet {
		if m.ID <= after {
			continue
		}
		if len(list.Machines) == limit {
			list.More = true
			break
		}
		heartbeat := m.Heartbeat()
		list.Machines = append(list.Machines, wire.ListedMachine{ID: m.ID, Addr: m.Address, Type: heartbeat.Type, Zone: heartbeat.Zone, State: wire.MachineRunning, AgeS: age})
	}
	return list
}

// WriteAnswer writes a response with the encoded answer. If the answer is nil, the body is empty.
func WriteAnswer(rw http.ResponseWriter, status int, answer any) {
	var body []byte
	if answer != nil {
		encoded, err := Encode(answer)
		if err != nil {
			status = http.StatusInternalServerError
		}
		body = encoded
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = io.Copy(rw, bytes.NewReader(body))
}
