package controller

import (
	"cmp"
	"slices"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// Reads of job records for users' questions. Users may ask for more than this node's part of
// the state service's limits allows, so there is one read of a job at a time, it answers all
// questions that came before it was sent, and jobs have their turns in the order in which
// they were first asked about since they last had an answer, however often that is. What
// can't be read in time is refused at once; the job keeps its place for when it is asked
// about again.

const (
	// readTimeout is how long a question may wait for its read, and the read for its
	// answer: users wait for two seconds.
	readTimeout = 900 * micros.Millisecond
	// maxReadsWaiting bounds the jobs that wait for a read, maxQuestions the questions
	// about one of them.
	maxReadsWaiting = 100
	maxQuestions    = 64
	// placeKept is how long a job keeps its place without being asked about: users ask
	// every few seconds, or come back when they are told to.
	placeKept = 20 * micros.Second
	// longestRetryAfter bounds the time after which users are told to come back: they
	// give up after a minute.
	longestRetryAfter = 10
)

// question waits for a job's record; done is called with what its read found.
type question struct {
	askedAt micros.Micros
	done    func(jobLookup)
}

// jobRead is a job that has been asked about and has had no answer since.
type jobRead struct {
	id               string
	since, lastAsked micros.Micros
	questions        []question // that came since the last read was sent
}

// jobReads are all of them.
type jobReads struct {
	byJob map[string]*jobRead
	// waiting have questions and no read under way, in the order of their turns; offered
	// is the first of them, whose read stands in the queue of the state service.
	waiting []*jobRead
	offered *jobRead
	// underWay have a read that is not answered yet, and perhaps questions for the next.
	underWay []*jobRead
	// sweepAt is when places that nobody asks for are given up next; no question expires
	// before nextExpiry.
	sweepAt, nextExpiry micros.Micros
}

func (r *jobReads) init() { r.byJob = map[string]*jobRead{} }

func earlier(a, b *jobRead) int {
	return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id, b.id))
}

// wait puts a job among those that wait, in its place. If there are too many, the last
// of them gives way, and is returned.
func (r *jobReads) wait(read *jobRead) (dropped *jobRead) {
	i, _ := slices.BinarySearchFunc(r.waiting, read, earlier)
	r.waiting = slices.Insert(r.waiting, i, read)
	if len(r.waiting) <= maxReadsWaiting {
		return nil
	}
	dropped = r.waiting[maxReadsWaiting]
	r.waiting = r.waiting[:maxReadsWaiting]
	return dropped
}

// leave takes a job off those that wait.
func (r *jobReads) leave(read *jobRead) {
	if i := slices.Index(r.waiting, read); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}

// readForUser reads a job's record for a user's question.
func (c *Controller) readForUser(id string, done func(jobLookup)) {
	r := &c.reads
	read := r.byJob[id]
	if read == nil {
		if len(r.byJob) >= c.cfg.MaxOpenJobs {
			done(lookupFailed) // no place is kept for it
			return
		}
		read = &jobRead{id: id, since: c.now}
		r.byJob[id] = read
	}
	read.lastAsked = c.now
	if len(read.questions) >= maxQuestions {
		done(lookupFailed)
		return
	}
	read.questions = append(read.questions, question{askedAt: c.now, done: done})
	r.nextExpiry = min(r.nextExpiry, c.now+readTimeout)
	if len(read.questions) == 1 && !slices.Contains(r.underWay, read) {
		c.waitForTurn(read)
	}
}

// refuseQuestions tells those who ask about a job that it can't be read now.
func (c *Controller) refuseQuestions(read *jobRead) {
	c.stateQueue.counters[classQuestion].rejected += uint64(len(read.questions))
	for _, q := range read.questions {
		c.later(func() { q.done(lookupFailed) })
	}
	read.questions = nil
}

// waitForTurn puts a job with questions among those that wait.
func (c *Controller) waitForTurn(read *jobRead) {
	if dropped := c.reads.wait(read); dropped != nil {
		c.refuseQuestions(dropped)
	}
}

// offerRead queues the read whose turn it is.
func (c *Controller) offerRead() {
	r := &c.reads
	c.expireQuestions()
	var first *jobRead
	if len(r.waiting) > 0 {
		first = r.waiting[0]
	}
	if first == r.offered {
		return
	}
	c.stateQueue.clear(classQuestion)
	r.offered = first
	if first == nil {
		return
	}
	var answered []question
	c.stateQueue.push(classQuestion, queued{
		req: GetKey{Key: wire.JobKey(first.id)}, timeout: readTimeout,
		queuedAt: first.questions[0].askedAt, expires: micros.Never,
		sent: func() {
			answered, first.questions = first.questions, nil
			r.leave(first)
			r.offered = nil
			r.underWay = append(r.underWay, first)
		},
		done: func(res Result) { c.readAnswered(first, answered, res) },
	})
}

// readAnswered passes on what a read found.
func (c *Controller) readAnswered(read *jobRead, answered []question, res Result) {
	r := &c.reads
	r.underWay = slices.DeleteFunc(r.underWay, func(other *jobRead) bool { return other == read })
	status := c.learnRead(res)
	switch {
	case len(read.questions) > 0:
		if status != lookupFailed {
			read.since = read.questions[0].askedAt
		}
		c.waitForTurn(read)
	case status != lookupFailed:
		delete(r.byJob, read.id)
	}
	for _, q := range answered {
		q.done(status)
	}
}

// expireQuestions refuses those that have waited for too long, and gives up the places of
// jobs that nobody asks about any more.
func (c *Controller) expireQuestions() {
	r := &c.reads
	if c.now > r.nextExpiry {
		r.nextExpiry = micros.Never
		for _, read := range slices.Concat(r.waiting, r.underWay) {
			c.expireQuestionsOf(read)
		}
		r.waiting = slices.DeleteFunc(r.waiting, func(read *jobRead) bool { return len(read.questions) == 0 })
	}
	if len(r.byJob) > 0 && c.now >= r.sweepAt {
		r.sweepAt = c.now + placeKept/4
		for id, read := range r.byJob {
			if len(read.questions) == 0 && c.now > read.lastAsked+placeKept && !slices.Contains(r.underWay, read) {
				delete(r.byJob, id)
			}
		}
	}
}

// expireQuestionsOf refuses the oldest questions about a job.
func (c *Controller) expireQuestionsOf(read *jobRead) {
	n := 0
	for n < len(read.questions) && c.now > read.questions[n].askedAt+readTimeout {
		done := read.questions[n].done
		c.later(func() { done(lookupFailed) })
		n++
	}
	c.stateQueue.counters[classQuestion].expired += uint64(n)
	read.questions = read.questions[n:]
	if len(read.questions) > 0 {
		c.reads.nextExpiry = min(c.reads.nextExpiry, read.questions[0].askedAt+readTimeout)
	}
}

// retryAfter is after how many seconds a user is to come back who is refused now: when all
// jobs that wait for an answer can have been read.
func (c *Controller) retryAfter() int {
	rate := minimumRates[classQuestion].requests * c.stateQueue.requests.rate
	return min(1+int(float64(len(c.reads.byJob))/rate), longestRetryAfter)
}
