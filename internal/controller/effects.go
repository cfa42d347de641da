package controller

// takeEffects returns the effects of the step.
func (sc *stepContext) takeEffects() []Effect {
	effects := sc.effects
	sc.effects = nil
	return effects
}

// sendCall sends a request; done is called with its Result.
func (sc *stepContext) sendCall(call Call, done func(Result)) {
	sc.nextCall++
	call.ID = sc.nextCall
	sc.calls[call.ID] = done
	sc.effects = append(sc.effects, call)
}

// finishCall passes the Result of a Call on. One for an unknown call is ignored.
func (sc *stepContext) finishCall(r Result) {
	done, ok := sc.calls[r.ID]
	if !ok {
		return
	}
	delete(sc.calls, r.ID)
	done(r)
}

// answer answers a request; retryAfter is in seconds, 0 for none.
func (sc *stepContext) answer(r ReplyID, status int, body any, retryAfter int) {
	sc.effects = append(sc.effects, Answer{Reply: r, Status: status, Body: body, RetryAfterS: retryAfter})
}

// log adds a log line to the effects; args are keys and values in turn.
func (sc *stepContext) log(l Level, text string, args ...any) {
	sc.effects = append(sc.effects, Log{Level: l, Text: text, Args: args})
}

// deferToStepEnd runs f at the end of the step, so that whoever queues a request is not called back
// before it has returned.
func (sc *stepContext) deferToStepEnd(f func()) { sc.deferred = append(sc.deferred, f) }

// runDeferred runs what later has put off, and what that puts off in turn.
func (sc *stepContext) runDeferred() {
	for len(sc.deferred) > 0 {
		deferred := sc.deferred
		sc.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}
