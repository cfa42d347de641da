package controller

import (
	"math"

	"garnethitch/internal/micros"
	"garnethitch/internal/wire"
)

// estimates correct the owners' run times by what the class has shown.
type estimates struct{ byClass map[string]*classRuns }

// classRuns is the mean of log(run time / estimate), with how much it is worth.
type classRuns struct{ logRatio, weight, factor float64 }

func (e *estimates) init() { e.byClass = map[string]*classRuns{} }

// expect gives the run time that a task probably takes.
func (e *estimates) expect(s *wire.Submission) micros.Micros {
	base := max(s.EstimateS, 0.1)
	if cr := e.byClass[s.Class]; cr != nil {
		base *= cr.factor
	}
	return micros.FromSeconds(base)
}

// learn takes a completed task's run time.
func (e *estimates) learn(s *wire.Submission, took micros.Micros) {
	if s.EstimateS <= 0 || took <= 0 {
		return
	}
	cr := e.byClass[s.Class]
	if cr == nil {
		if len(e.byClass) >= 1000 {
			return
		}
		cr = &classRuns{}
		e.byClass[s.Class] = cr
	}
	ratio := math.Log(max(took.Seconds(), 0.05) / s.EstimateS)
	ratio = max(-2, min(2, ratio))
	cr.weight = min(cr.weight+0.2, 40)
	cr.logRatio += (ratio - cr.logRatio) / max(cr.weight*5, 1)
	cr.factor = math.Exp(cr.logRatio * cr.weight / (cr.weight + 4))
}

// rateMeter measures work that arrives, decaying over about a minute.
type rateMeter struct {
	level float64
	at    micros.Micros
}

const meterSpan = 90 * micros.Second

func (r *rateMeter) decay(now micros.Micros) {
	if now > r.at {
		r.level *= math.Exp(-(now - r.at).Seconds() / meterSpan.Seconds())
		r.at = now
	}
}

func (r *rateMeter) add(now micros.Micros, amount float64) {
	r.decay(now)
	r.level += amount
}

// rate is the amount per second.
func (r *rateMeter) rate(now micros.Micros) float64 {
	r.decay(now)
	return r.level / meterSpan.Seconds()
}
