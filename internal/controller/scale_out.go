package controller

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/peer"
	"garnethitch/internal/wire"
)

// fleetDemand sums up what the shards want and have, in CPUs and CPU seconds.
type fleetDemand struct{ work, arrival, parallel, have float64 }

// rental is a rental under way. It is sent again, under the same name, until the
// cloud has answered: it may have been carried out.
type scaleOutRequest struct {
	req  wire.Rental
	next micros.Micros
	busy bool
}

type refusal struct {
	until, pause micros.Micros
}

// maxScaleOuts bounds the rentals under way, maxScaleOutMachines the machines of each.
const (
	maxScaleOuts        = 4
	maxScaleOutMachines = 50
)

// need is how many CPUs are worth having at a price that is ratio times the
// lowest: the dearer a machine, the longer the work would have to wait without it.
func (c *Controller) need(w fleetDemand, ratio float64) float64 {
	return min(max(w.work/(c.cfg.DrainHorizon.Seconds()*ratio), w.arrival/ratio), w.parallel)
}

// lowestPrice of a CPU over all types and kinds.
func (c *Controller) lowestPrice() float64 {
	lowest := math.Inf(1)
	for _, mt := range c.types {
		for _, spot := range []bool{true, false} {
			if p := cpuPrice(mt, spot); p > 0 {
				lowest = min(lowest, p)
			}
		}
	}
	return lowest
}

// constrained tells whether a group's tasks can't run on every kind of machine.
func (c *Controller) constrained(g peer.Group) bool {
	for _, name := range c.typeIndex.names {
		for _, zone := range c.types[name].Zones {
			if !c.hosts(g, name, zone, true) || !c.hosts(g, name, zone, false) {
				return true
			}
		}
	}
	return false
}

// shortfallOf is how many CPUs are wanted for a choosy group alone: the fleet may be
// large enough and yet have none that its tasks can use.
func (c *Controller) shortfallOf(g peer.Group, free map[kind]float64) float64 {
	waiting := float64(g.Waiting) * g.CPUs
	lack := min(waiting, max(micros.Micros(g.WorkUS).Seconds()*g.CPUs/c.cfg.DrainHorizon.Seconds(), g.CPUs))
	for k, cpus := range free {
		if c.hosts(g, k.typ, k.zone, k.spot) {
			lack -= cpus
		}
	}
	return lack
}

// freeKinds sums up the CPUs of machines that idle or are on their way, by kind.
func (c *Controller) freeKinds(demand map[int]*peer.Demand) map[kind]float64 {
	f := &c.fleet
	free := map[kind]float64{}
	for _, d := range demand {
		for _, m := range d.Machines {
			if rec := c.machines[m.ID]; rec != nil && m.State == peer.MachineIdle {
				free[rec.kind()] += c.types[rec.rec.Type].CPUs
			}
		}
	}
	for id, r := range f.rented {
		if c.machines[id] == nil {
			free[r.kind] += c.types[r.typ].CPUs
		}
	}
	for id, l := range f.listed {
		if c.machines[id] == nil && f.rented[id] == nil && f.returned[id] == 0 && l.State != wire.MachineFailed {
			free[kind{l.Type, l.Zone, l.Spot}] += c.types[l.Type].CPUs
		}
	}
	for _, h := range f.scaleOuts {
		free[kind{h.req.Type, h.req.Zone, h.req.Spot}] += float64(h.req.Count) * c.types[h.req.Type].CPUs
	}
	return free
}

func (m *machine) kind() kind { return kind{m.rec.Type, m.rec.Zone, m.rec.Spot} }

// scaleOut orders the cheapest machines that the waiting work can use, as long as
// there are fewer than are worth their price.
func (c *Controller) scaleOut(demand map[int]*peer.Demand, groups []peer.Group, w fleetDemand, most int) {
	f := &c.fleet
	free, partitioned := c.freeKinds(demand), c.partitionedZones(demand)
	inZone := map[string]int{}
	for _, m := range c.machines {
		inZone[m.rec.Zone]++
	}
	for len(f.scaleOuts) < maxScaleOuts && most > 0 {
		req, ok := c.nextScaleOut(groups, w, most, inZone, free, partitioned)
		if !ok {
			return
		}
		f.scaleOutSequence++
		req.Request = fmt.Sprintf("r-%d-%d", c.ownership.leader.ownerEpoch, f.scaleOutSequence)
		h := &scaleOutRequest{req: req}
		f.scaleOuts = append(f.scaleOuts, h)
		w.have += float64(req.Count) * c.types[req.Type].CPUs
		free[kind{req.Type, req.Zone, req.Spot}] += float64(req.Count) * c.types[req.Type].CPUs
		most -= req.Count
		inZone[req.Zone] += req.Count
		c.sendScaleOut(h)
	}
}

// nextScaleOut chooses one rental.
func (c *Controller) nextScaleOut(groups []peer.Group, w fleetDemand, most int, inZone map[string]int, free map[kind]float64, partitioned map[string]bool) (wire.Rental, bool) {
	f := &c.fleet
	// The largest waiting work decides what is rented.
	slices.SortStableFunc(groups, func(a, b peer.Group) int {
		return cmp.Compare(float64(b.WorkUS)*b.CPUs, float64(a.WorkUS)*a.CPUs)
	})
	type option struct {
		kind
		price, unit, cpus float64
	}
	lowest := c.lowestPrice()
	for _, g := range groups {
		if g.Waiting == 0 {
			continue
		}
		lack, own := w.parallel-w.have, 0.0
		if c.constrained(g) || w.have+eps < g.CPUs { // or there is hardly anything at all
			own = c.shortfallOf(g, free)
			lack = max(lack, own)
		}
		if lack <= 0 {
			continue
		}
		var options []option
		for _, name := range c.typeIndex.names {
			mt := c.types[name]
			for _, zone := range mt.Zones {
				for _, spot := range []bool{true, false} {
					k := kind{typ: name, zone: zone, spot: spot}
					if mt.CPUs <= 0 || partitioned[zone] || !c.hosts(g, name, zone, spot) || f.refused[k] != nil && c.now < f.refused[k].until {
						continue
					}
					unit := cpuPrice(mt, spot)
					// What would stand unused is paid as well.
					options = append(options, option{kind: k, unit: unit, price: unit * mt.CPUs / min(mt.CPUs, max(lack, g.CPUs)), cpus: mt.CPUs})
				}
			}
		}
		slices.SortStableFunc(options, func(a, b option) int {
			return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(inZone[a.zone], inZone[b.zone]))
		})
		for _, o := range options {
			deficit := max(c.need(w, max(o.unit/lowest, 1))-w.have, own)
			if deficit < 0.5 {
				continue
			}
			n := max(1, min(int(math.Ceil(deficit/o.cpus-0.25)), maxScaleOutMachines, most))
			return wire.Rental{Type: o.typ, Zone: o.zone, Spot: o.spot, Count: n}, true
		}
	}
	return wire.Rental{}, false
}

func (c *Controller) sendScaleOut(h *scaleOutRequest) {
	f := &c.fleet
	if h.busy || c.now < h.next {
		return
	}
	ownerEpoch := c.ownership.leader.ownerEpoch
	h.busy = c.askCloud(h.req, cloudTimeout, func(r Result) {
		if c.ownership.leader.ownerEpoch != ownerEpoch {
			return
		}
		h.busy = false
		over := func() {
			f.scaleOuts = slices.DeleteFunc(f.scaleOuts, func(o *scaleOutRequest) bool { return o == h })
			f.planNext = c.now
		}
		k := kind{typ: h.req.Type, zone: h.req.Zone, spot: h.req.Spot}
		body, ok := r.Body.(*wire.MachineNames)
		switch {
		case ok && r.Status == http.StatusOK:
			over()
			c.log(Info, "scaled out", "type", k.typ, "zone", k.zone, "spot", k.spot, "wanted", h.req.Count, "got", len(body.Machines))
			if len(body.Machines) < h.req.Count {
				c.refuse(k)
			} else {
				delete(f.refused, k)
			}
			for _, id := range body.Machines {
				f.rented[id] = &rented{kind: k, at: c.now}
			}
		case r.Status == http.StatusServiceUnavailable && r.Body == noCapacity:
			over()
			c.refuse(k)
		case r.Status == http.StatusBadRequest:
			over()
			c.refuse(k)
			c.log(Error, "rental request called malformed", "request", h.req.Request)
		default:
			h.next = c.now + c.jitter(2*micros.Second)
		}
	})
}

// noCapacity is the body by which a runtime tells the cloud's "no capacity"
// from an outage.
const noCapacity = NoCapacity("no capacity")

// NoCapacity is the Result body of a refused rental.
type NoCapacity string

// RefusedRental is the Body to give with a 503 that says "no capacity".
const RefusedRental = noCapacity

func (c *Controller) refuse(k kind) {
	r := c.fleet.refused[k]
	if r == nil {
		r = &refusal{}
		c.fleet.refused[k] = r
	}
	r.pause = min(max(2*r.pause, 8*micros.Second), 40*micros.Second)
	r.until = c.now + c.jitter(r.pause)
	c.log(Debug, "no more machines of a kind for now", "type", k.typ, "zone", k.zone, "spot", k.spot)
}
