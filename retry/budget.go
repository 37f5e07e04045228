// Package retry limits the extra load that retries put on a service, and the load on
// cold searchers. The limits apply to all instances together: each instance keeps to
// its share of them without asking the others. The package does no I/O. Times are
// those of the boot clock. The types are not safe for concurrent use.
package retry

// Budget is a token bucket: one instance's share of the retries of one service. Each
// first attempt adds a fraction of a token, and each retry costs one token. The zero
// value is ready for use; it has no tokens until the first call of Earn.
type Budget struct {
	tokens float64
	// initialized says that the initial tokens were added.
	initialized bool
}

// Allowance is the number of retries that all instances together may make.
type Allowance struct {
	// Ratio is the number of retries per request. Extra is the number of retries that
	// are allowed in any window of time in addition, whatever its length.
	Ratio float64
	Extra float64
	// Instances is the number of instances that share the allowance.
	Instances int
}

const (
	// ratioUsed and extraUsed are the shares of Ratio and Extra that are used. The rest
	// covers requests that are counted in another window than their retries, and
	// instances that restart.
	ratioUsed = 0.9
	extraUsed = 0.65
	// initialFill is the share of its burst that an instance starts with. An instance
	// doesn't start with a full budget, as many instances may restart at once after they
	// have spent their budgets.
	initialFill = 0.5
)

// burst returns the capacity of one instance's budget, in tokens.
func (a Allowance) burst() float64 {
	return max(a.Extra*extraUsed/float64(max(a.Instances, 1)), 1)
}

// Earn adds the tokens for the given number of first attempts. Tokens above the capacity
// of the budget are lost. The first call also adds the tokens that an instance starts with.
func (b *Budget) Earn(a Allowance, requests int) {
	if !b.initialized {
		b.tokens, b.initialized = a.burst()*initialFill, true
	}
	b.tokens = min(b.tokens+a.Ratio*ratioUsed*float64(requests), a.burst())
}

// HasToken reports whether there is a token for one retry. It takes none.
func (b *Budget) HasToken() bool { return b.tokens >= 1 }

// Take takes the token for one retry and reports whether the retry may be sent. If the
// budget is spent, it returns false and takes nothing.
func (b *Budget) Take() bool { return b.takeAbove(0) }

// TakeOptional is like Take for an attempt that isn't strictly needed, such as a second
// one for a request that is only slow. It leaves a share of the budget for requests
// that failed.
func (b *Budget) TakeOptional(a Allowance) bool { return b.takeAbove((a.burst() - 1) * reservedShare) }

// reservedShare is the share of a full budget, less one token, that is left for retries
// of requests that failed.
const reservedShare = 0.3

// takeAbove takes one token if at least reserve tokens are left afterwards. It reports
// whether it took the token.
func (b *Budget) takeAbove(reserve float64) bool {
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Refund puts back the token of a retry that never reached a searcher.
func (b *Budget) Refund() { b.tokens++ }
