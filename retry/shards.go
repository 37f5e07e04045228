package retry

// ShardedRequest is the state of a request to several shards when one of its parts has
// failed. Each shard has a retry budget of its own. If each part were retried for as
// long as its own shard's budget lasts, scarce tokens would go to parts of requests that
// get no answer anyway, because another shard has no budget left. So a part is retried
// only if the request can still get all the parts that it needs.
type ShardedRequest struct {
	// Total is the number of shards. Needed is the number of parts that an answer must
	// have at least.
	Total  int
	Needed int
	// Lost is the number of parts that will get no answer.
	Lost int
	// WithoutBudget is the number of unanswered parts whose shards have spent their
	// budgets: parts that have failed, and parts that could still fail. Neither the part
	// to be retried nor the parts in Lost are counted.
	WithoutBudget int
}

// WorthRetrying reports whether a retry of the failed part can be of use: whether enough
// parts remain for an answer even if all parts without budget fail.
func (s ShardedRequest) WorthRetrying() bool { return s.Total-s.Lost-s.WithoutBudget >= s.Needed }
