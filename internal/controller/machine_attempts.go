package controller

import (
	"slices"

	"garnethitch/internal/wire"
)

// attemptView is what is on a machine. Each attempt stands in the map and in the list;
// usage holds unless usageStale is set.
type attemptView struct {
	attempts      map[attemptKey]*attempt
	attemptList   []*attempt        // the same, in the order in which they were added
	lastTaskList  []wire.TaskStatus // the list last applied in whole,
	lastSeenRound uint64            // in this round of applyTaskList
	usage         machineUsage
	usageStale    bool // usage is to be counted again
	reservation   reservation
}

// empty reports whether no attempt on the machine matters any more.
func (v *machineView) empty() bool {
	for _, att := range v.attemptList {
		if att.state != attemptExited || !att.outcomeHandled {
			return false
		}
	}
	return true
}

// busy reports whether something on the machine still runs or may.
func (v *machineView) busy() bool {
	for _, att := range v.attemptList {
		if att.state != attemptExited {
			return true
		}
	}
	return false
}

// attemptsCopy returns a machine's attempts; they may be dropped meanwhile.
func (v *machineView) attemptsCopy() []*attempt { return slices.Clone(v.attemptList) }

// put adds an attempt to the machine.
func (v *machineView) put(att *attempt) {
	v.attempts[att.key] = att
	v.attemptList = append(v.attemptList, att)
}

// remove removes an attempt from the machine.
func (v *machineView) remove(att *attempt) {
	delete(v.attempts, att.key)
	if i := slices.Index(v.attemptList, att); i >= 0 {
		v.attemptList = slices.Delete(v.attemptList, i, i+1)
	}
}

// addAttempt puts an attempt on a machine's list.
func (c *Controller) addAttempt(att *attempt) {
	att.machine.view.put(att)
	c.ownership.markDirty(att.machine)
}

// dropAttempt removes an attempt from its machine's list.
func (c *Controller) dropAttempt(att *attempt) {
	v := att.machine.view
	if v == nil || v.attempts[att.key] != att {
		return
	}
	v.remove(att)
	c.ownership.markDirty(att.machine)
}

// markDirty notes that something about a machine's attempts has changed.
func (o *ownershipState) markDirty(m *machine) {
	if v := m.view; v != nil && !v.usageStale {
		v.usageStale = true
		s := o.shards[m.rec.Shard]
		s.dirtyMachines = append(s.dirtyMachines, m)
	}
}
