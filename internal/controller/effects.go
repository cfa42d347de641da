package controller

// takeEffects returns the effects of the step.
func (c *Controller) takeEffects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// call sends a request; done is called with its Result.
func (c *Controller) call(call Call, done func(Result)) {
	c.nextCall++
	call.ID = c.nextCall
	c.calls[call.ID] = done
	c.effects = append(c.effects, call)
}

// finishCall passes the Result of a Call on. One for an unknown call is ignored.
func (c *Controller) finishCall(r Result) {
	done, ok := c.calls[r.ID]
	if !ok {
		return
	}
	delete(c.calls, r.ID)
	done(r)
}

// answer answers a request; retryAfter is in seconds, 0 for none.
func (c *Controller) answer(r ReplyID, status int, body any, retryAfter int) {
	c.effects = append(c.effects, Answer{Reply: r, Status: status, Body: body, RetryAfterS: retryAfter})
}

func (c *Controller) log(l Level, text string, args ...any) {
	c.effects = append(c.effects, Log{Level: l, Text: text, Args: args})
}

// later runs f at the end of the step, so that whoever queues a request is not called back
// before it has returned.
func (c *Controller) later(f func()) { c.deferred = append(c.deferred, f) }

// runDeferred runs what later has put off, and what that puts off in turn.
func (c *Controller) runDeferred() {
	for len(c.deferred) > 0 {
		deferred := c.deferred
		c.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}
