package retry

// ShardedRequest is how a request to several shards stands when one of its parts failed. Each
// shard has a budget of its own. If each part were repeated while its own shard's
// budget lasts, short budgets would be spent on parts of requests that other shards
// then leave without an answer; so a request is repeated where all of it can be, and
// not at all where that is not to be hoped for.
type ShardedRequest struct {
	// Total is the number of shards, Needed how many parts an answer must have.
	Total  int
	Needed int
	// Lost counts the parts that get no answer any more.
	Lost int
	// WithoutBudget counts the other parts without an answer whose shards' budgets are spent:
	// those that have failed, and those that could still fail.
	WithoutBudget int
}

// WorthRetrying reports whether a repeat is worth its price: the answer would come about
// even if none of the exposed parts did.
func (s ShardedRequest) WorthRetrying() bool { return s.Total-s.Lost-s.WithoutBudget >= s.Needed }
