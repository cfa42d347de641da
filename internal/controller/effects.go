package controller

// takeEffects returns the effects of the current step and resets them.
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

// finishCall passes a Result to the callback of its Call. The Result of an unknown Call is ignored.
func (sc *stepContext) finishCall(r Result) {
	done, ok := sc.calls[r.ID]
	if !ok {
		return
	}
	delete(sc.calls, r.ID)
	done(r)
}

// answer answers a request. retryAfter is in seconds; 0 means none.
func (sc *stepContext) answer(r ReplyID, status int, body any, retryAfter int) {
	sc.effects = append(sc.effects, Answer{Reply: r, Status: status, Body: body, RetryAfterS: retryAfter})
}

// log adds a log line to the effects. args are alternating keys and values.
func (sc *stepContext) log(l Level, text string, args ...any) {
	sc.effects = append(sc.effects, Log{Level: l, Text: text, Args: args})
}

// deferToStepEnd runs f at the end of the step. Callbacks go through it so that none runs before
// the function that registered it has returned.
func (sc *stepContext) deferToStepEnd(f func()) { sc.deferred = append(sc.deferred, f) }

// runDeferred runs the functions passed to deferToStepEnd, including those that they defer in turn.
func (sc *stepContext) runDeferred() {
	for len(sc.deferred) > 0 {
		deferred := sc.deferred
		sc.deferred = nil
		for _, f := range deferred {
			f()
		}
	}
}
