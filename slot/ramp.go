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

func (r *ramp) chill(l settings.Limits) {
	r.cold = true
	r.set(min(l.Cold.Allowance, l.Slots))
}

func (r *ramp) set(allowance int) {
	r.allowance = allowance
	r.successes = 0
	r.step++
}

// succeeded counts one success of work dispatched in the given step.
func (r *ramp) succeeded(step uint64, l settings.Limits) {
	if step != r.step || !r.cold && r.allowance >= l.Slots {
		return
	}
	r.successes++
	if r.successes < l.Cold.StepSuccesses {
		return
	}
	r.set(min(r.allowance+1, l.Slots))
	if r.allowance >= l.Slots {
		r.cold = false
	}
}

// lower takes one from the allowance, down to that of a cold searcher.
func (r *ramp) lower(l settings.Limits) {
	if floor := min(l.Cold.Allowance, l.Slots); r.allowance > floor {
		r.set(r.allowance - 1)
	}
}

// fit applies changed limits. A warm searcher whose slots grow stays at its
// proven allowance and is cold until the rest is proven.
func (r *ramp) fit(l settings.Limits) {
	switch {
	case r.allowance > l.Slots:
		r.set(l.Slots)
	case !r.cold && r.allowance < l.Slots:
		r.cold = true
	}
}
