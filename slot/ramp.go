package slot

import "github.com/wisteriawharf/wisteriawharf/settings"

// ramp holds the cold-start allowance of a searcher: how many pieces of work may run at
// once. Apart from RestoreColdStart, only successes raise it, by one for every
// Cold.StepSuccesses of them.
type ramp struct {
	cold      bool
	allowance int
	successes int // since the last change of the allowance
	// step counts changes of the allowance, so that successes of work dispatched under an
	// earlier allowance are not counted for the current one.
	step uint64
}

// turnCold lowers the allowance to that of a cold searcher.
func (r *ramp) turnCold(l settings.Limits) {
	r.cold = true
	r.setAllowance(min(l.Cold.Allowance, l.Slots))
}

// setAllowance sets the allowance and starts a new step.
func (r *ramp) setAllowance(allowance int) {
	r.allowance = allowance
	r.successes = 0
	r.step++
}

// countSuccess counts one success of work that was dispatched in the given step. It
// ignores earlier steps. The searcher is warm once the allowance reaches all slots.
func (r *ramp) countSuccess(step uint64, l settings.Limits) {
	if step != r.step || !r.cold && r.allowance >= l.Slots {
		return
	}
	r.successes++
	if r.successes < l.Cold.StepSuccesses {
		return
	}
	r.setAllowance(min(r.allowance+1, l.Slots))
	if r.allowance >= l.Slots {
		r.cold = false
	}
}

// lowerAllowance lowers the allowance by one, but not below that of a cold searcher.
func (r *ramp) lowerAllowance(l settings.Limits) {
	if floor := min(l.Cold.Allowance, l.Slots); r.allowance > floor {
		r.setAllowance(r.allowance - 1)
	}
}

// applyLimits applies changed limits. A warm searcher whose slots grow keeps its
// allowance and is cold until successes raise it to the new number of slots.
func (r *ramp) applyLimits(l settings.Limits) {
	switch {
	case r.allowance > l.Slots:
		r.setAllowance(l.Slots)
	case !r.cold && r.allowance < l.Slots:
		r.cold = true
	}
}
