package controller

import (
	"slices"

	"garnethitch/internal/wire"
)

// attemptView is the set of attempts on a machine, and the capacity that they use. Each attempt is
// both in the map and in the list. usage is valid unless usageStale is set.
type attemptView struct {
	attempts      map[attemptKey]*attempt
	attemptList   []*attempt        // the attempts in the order in which they were added
	lastTaskList  []wire.TaskStatus // the task list that applyTaskList last applied completely
	lastSeenRound uint64            // the round of applyTaskList that applied lastTaskList
	usage         machineUsage
	usageStale    bool // usage must be counted again
	reservation   reservation
}

// empty reports whether each attempt on the machine has exited and its outcome has been handled.
func (v *machineView) empty() bool {
	for _, att := range v.attemptList {
		if att.state != attemptExited || !att.outcomeHandled {
			return false
		}
	}
	return true
}

// busy reports whether an attempt on the machine has not exited: it runs or may still run.
func (v *machineView) busy() bool {
	for _, att := range v.attemptList {
		if att.state != attemptExited {
			return true
		}
	}
	return false
}

// attemptsCopy returns a copy of attemptList, so that a loop over it may drop attempts.
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

// addAttempt adds an attempt to its machine's view.
func (c *Controller) addAttempt(att *attempt) {
	att.machine.view.put(att)
	c.ownership.markDirty(att.machine)
}

// dropAttempt removes an attempt from its machine's view, if the view still holds it.
func (c *Controller) dropAttempt(att *attempt) {
	v := att.machine.view
	if v == nil || v.attempts[att.key] != att {
		return
	}
	v.remove(att)
	c.ownership.markDirty(att.machine)
}

// markDirty marks a machine's usage as stale and lists the machine for the next count of its
// shard's usage.
func (o *ownershipState) markDirty(m *machine) {
	if v := m.view; v != nil && !v.usageStale {
		v.usageStale = true
		s := o.shards[m.rec.Shard]
		s.dirtyMachines = append(s.dirtyMachines, m)
	}
}
