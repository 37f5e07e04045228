package slot

import "github.com/wisteriawharf/wisteriawharf/settings"

// ramp is the cold-start allowance of a searcher. It grows on successes only.
type ramp struct {
	cold      bool
	allowance int
	successes int
	// step counts changes of the allowance, so that work dispatched under an
	// earlier allowance is not taken as evidence for the present one.
	step uint64
}

func (r *ramp) turnCold(l settings.Limits) {
	r.cold = true
	r.setAllowance(min(l.Cold.Allowance, l.Slots))
}

func (r *ramp) setAllowance(allowance int) {
	r.allowance = allowance
	r.successes = 0
	r.step++
}

// countSuccess counts one success of work dispatched in the given step.
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

// lowerAllowance takes one from the allowance, down to that of a cold searcher.
func (r *ramp) lowerAllowance(l settings.Limits) {
	if floor := min(l.Cold.Allowance, l.Slots); r.allowance > floor {
		r.setAllowance(r.allowance - 1)
	}
}

// applyLimits applies changed limits. A warm searcher whose slots grow stays at its
// proven allowance and is cold until the rest is proven.
func (r *ramp) applyLimits(l settings.Limits) {
	switch {
	case r.allowance > l.Slots:
		r.setAllowance(l.Slots)
	case !r.cold && r.allowance < l.Slots:
		r.cold = true
	}
}
