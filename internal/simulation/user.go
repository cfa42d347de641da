package simulation

import (
	"fmt"

	"garnethitch/internal/controller"
	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// user owns one job: submits it, polls it, perhaps cancels it, and holds the
// service to what it said.
type user struct {
	sim             *Simulation
	sub             wire.Submission
	runs            []micros.Micros
	progress        []micros.Micros
	done            map[int]bool
	bad             bool // its tasks fail everywhere
	cancels         bool
	submitted       bool
	accepted        bool
	asked           bool // for cancellation
	cancelConfirmed micros.Micros
	finalState      string
	gaveUp          bool
	largest         bool // one of its class's largest
	acceptedAt      micros.Micros
	answeredAt      micros.Micros // when a question about it was last answered
	startedAt       micros.Micros // when its first task began
	doneAt          micros.Micros // when a task of it was last completed
	tries           int
	needs           []*user // whose jobs this one depends on
	allNeeded       []*user // see ancestors
	// waits is when a task of it was first seen waiting beside free room, without a
	// start since; started counts starts.
	waits   micros.Micros
	started int
	seen    int
}

func newUser(s *Simulation, i int) *user {
	r := s.rng
	u := &user{sim: s, done: map[int]bool{}}
	u.sub = wire.Submission{
		ID: fmt.Sprintf("job-%06d", 100000+i*37), Class: "plain", Team: s.plan.Teams[r.IntN(len(s.plan.Teams))].Name,
		Kind: "sweep", Priority: "standard", Tasks: 1 + r.IntN(10), CPUs: float64(1 + r.IntN(2)), MemGB: 2,
		Image: fmt.Sprintf("img-%d", r.IntN(3)), ImageGB: 1, Spot: true, EstimateS: 6,
	}
	switch r.IntN(6) {
	case 0:
		u.sub.Class, u.sub.Priority, u.sub.Tasks = "rush", "high", 1+r.IntN(3)
	case 1:
		u.sub.Priority, u.sub.CheckpointS, u.sub.SaveS, u.sub.CPUs = "best_effort", 3, 1, 4
	case 2:
		u.sub.SameZone = true
	case 3:
		u.sub.Spread = true
	case 4:
		u.sub.Spot, u.sub.Types = false, []string{"small"}
	}
	if s.plan.Grown {
		u.sub.Tasks = 1 + r.IntN(40)
		if r.IntN(3) == 0 {
			u.sub.Tasks = 100 + r.IntN(300)
		}
		if u.sub.Class == "rush" {
			u.sub.Tasks = 1 + r.IntN(30)
		}
	}
	u.cancels = r.IntN(6) == 0
	if r.IntN(12) == 0 {
		u.bad, u.cancels = true, true
	}
	if s.plan.Churn {
		u.sub.Tasks, u.sub.CPUs, u.sub.SameZone, u.sub.Spread = 1, 1, false, false
		u.bad, u.cancels = false, i%4 == 0
	}
	longest := 12 * sec
	if u.cancels {
		longest = micros.Minute // or it would be over before its cancellation has to be
	}
	if (s.plan.ConcurrentFaults || s.plan.Gap || s.plan.Stale) && !s.plan.Churn && r.IntN(3) == 0 {
		longest = 50 * sec // a few tasks that end far apart, and jobs to call off
		u.sub.Tasks = min(u.sub.Tasks, 3)
	}
	if s.plan.Waves {
		longest = micros.Minute // work for the whole fleet all the time
		u.sub.EstimateS = longest.Seconds() / 2
	}
	shortest := 2 * sec
	if s.plan.Gap && r.IntN(2) == 0 {
		shortest, longest = s.cfg.Cancel+15*sec, s.cfg.Cancel+40*sec // so that a task left alone outlasts its cancellation
		u.bad, u.cancels = false, false
		u.sub.Tasks, u.sub.CPUs, u.sub.EstimateS = min(u.sub.Tasks, 2), 1, s.cfg.Cancel.Seconds()
	}
	for range u.sub.Tasks {
		u.runs = append(u.runs, s.span(shortest, longest))
	}
	u.progress = make([]micros.Micros, u.sub.Tasks)
	return u
}

// node picks the node that the balancer sends the user to.
func (u *user) node() *Node { return u.sim.Nodes[u.sim.rng.IntN(len(u.sim.Nodes))] }

func (u *user) request(make func(controller.ReplyID) controller.Input, timeout micros.Micros, done func(controller.Answer, bool)) {
	u.requestAt(u.node(), make, timeout, done)
}

func (u *user) requestAt(n *Node, make func(controller.ReplyID) controller.Input, timeout micros.Micros, done func(controller.Answer, bool)) {
	exchange(u.sim, "user-"+n.label, timeout, func(reply func(controller.Answer)) { n.ask(make, reply) }, done)
}

func (u *user) submit() {
	s := u.sim
	u.submitted = true
	u.tries++
	finalState := u.finalState
	u.request(func(id controller.ReplyID) controller.Input { return controller.SubmitRequest{Reply: id, Job: u.sub} }, 5*sec, func(a controller.Answer, ok bool) {
		switch {
		case ok && (a.Status == 201 || a.Status == 200):
			u.accepted, u.acceptedAt, u.answeredAt = true, s.now, s.now
			u.hear(a, finalState)
			u.lookClosely()
			s.after(s.span(sec, 3*sec), u.askStatus)
			if u.cancels {
				s.after(s.span(sec/10, 25*sec), u.requestCancel)
			}
			s.after(s.span(2*sec, 60*sec), u.again)
		case ok && (a.Status == 400 || a.Status == 422):
			s.broken("a good submission of %s got %d", u.sub.ID, a.Status)
		case u.tries > 60:
			u.gaveUp = true
		default:
			s.after(sec, u.submit)
		}
	})
}

// again repeats the submission of an accepted job.
func (u *user) again() {
	u.repeat(u.node())
}

// repeat sends the submission again to a node.
func (u *user) repeat(n *Node) {
	finalState := u.finalState
	u.requestAt(n, func(id controller.ReplyID) controller.Input { return controller.SubmitRequest{Reply: id, Job: u.sub} }, 5*sec, func(a controller.Answer, ok bool) {
		if ok && (a.Status == 400 || a.Status == 422 || a.Status == 404) {
			u.sim.broken("forgotten: a repeated submission of %s got %d", u.sub.ID, a.Status)
		}
		if ok {
			u.hear(a, finalState)
		}
	})
}

func (u *user) askStatus() {
	s := u.sim
	if s.chance(0.05) {
		ghost := fmt.Sprintf("job-%06d", 900000+s.rng.IntN(1000))
		u.request(func(id controller.ReplyID) controller.Input { return controller.JobStatusRequest{Reply: id, ID: ghost} }, 2*sec, func(a controller.Answer, ok bool) {
			if ok && a.Status == 200 {
				s.broken("invented: %s", ghost)
			}
		})
	}
	u.ask(u.node(), func() {
		wait := 2 * sec
		if u.finalState != "" {
			wait = 10 * sec // final answers are asked for again later
		}
		s.after(wait, u.askStatus)
	})
}

// ask puts one question to a node; then, if set, follows on the answer or on none.
func (u *user) ask(n *Node, then func()) {
	finalState := u.finalState
	u.requestAt(n, func(id controller.ReplyID) controller.Input {
		return controller.JobStatusRequest{Reply: id, ID: u.sub.ID}
	}, 2*sec, func(a controller.Answer, ok bool) {
		if ok {
			u.hear(a, finalState)
		}
		if then != nil {
			then()
		}
	})
}

func (u *user) requestCancel() {
	s := u.sim
	if u.finalState != "" {
		return
	}
	u.asked = true
	finalState := u.finalState
	u.request(func(id controller.ReplyID) controller.Input { return controller.CancelRequest{Reply: id, ID: u.sub.ID} }, 5*sec, func(a controller.Answer, ok bool) {
		if ok {
			u.hear(a, finalState)
		}
		if u.finalState == "" {
			s.after(sec, u.requestCancel)
		}
	})
}

// hear holds an answer against what was said before and what is true.
// Only what was told before a request was sent binds its answer: answers to
// requests under way at the same time may overtake each other.
func (u *user) hear(a controller.Answer, finalState string) {
	s := u.sim
	if a.Status == 404 && u.accepted {
		s.broken("forgotten: %s got 404", u.sub.ID)
		return
	}
	body, ok := a.Body.(wire.JobAnswer)
	if !ok || a.Status != 200 && a.Status != 201 {
		return
	}
	u.answeredAt = s.now
	before := u.finalState
	defer func() {
		if u.finalState != before {
			u.lookClosely()
		}
	}()
	u.checkOrphan(body.State)
	if finalState != "" && body.State != finalState {
		s.broken("went_back: %s was %s and is now %s", u.sub.ID, finalState, body.State)
	}
	switch body.State {
	case wire.StateDone:
		if len(u.done) < u.sub.Tasks {
			s.broken("not_done: %s called done, %d of %d tasks are", u.sub.ID, len(u.done), u.sub.Tasks)
		}
		u.finalState = body.State
	case wire.StateCancelled:
		if !u.wasAsked() {
			s.broken("went_back: %s is called cancelled, nobody asked for it", u.sub.ID)
		}
		if u.cancelConfirmed == 0 {
			u.cancelConfirmed = s.now
		}
		u.finalState = body.State
	}
	if body.Done != nil && *body.Done > u.sub.Tasks {
		s.broken("not_done: %s says %d of %d tasks are done", u.sub.ID, *body.Done, u.sub.Tasks)
	}
}
