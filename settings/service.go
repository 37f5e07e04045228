// Package settings holds the settings of processes and of services: their
// YAML form, validation and published revisions.
package settings

import (
	"time"
)

// Kind says what a service does with a request.
type Kind string

// A search is scattered to one searcher of each shard. A booking runs on one
// searcher at most once.
const (
	KindSearch  Kind = "search"
	KindBooking Kind = "booking"
)

// MaxDeadline bounds the deadline of any service. A new owner of a searcher
// has to wait for it after the old owner is lost, so it stays short.
const MaxDeadline = 5 * time.Second

// Service is the settings file of one service.
type Service struct {
	Name string `yaml:"service"`
	Kind Kind   `yaml:"kind"`
	// Deadline applies to requests that state none, and bounds those that do.
	Deadline time.Duration `yaml:"deadline"`
	// SoftDeadline is when an answer with MinCoverage may be given although
	// shards are missing. Zero waits until Deadline.
	SoftDeadline time.Duration `yaml:"soft_deadline"`
	// MinCoverage is the share of shards, from 0 to 1, below which an answer is
	// refused.
	MinCoverage float64 `yaml:"min_coverage"`
	// HedgeBudget is the extra load that hedges may cause, as a share of parts.
	HedgeBudget float64 `yaml:"hedge_budget"`
	// QueueLimit is the number of parts that may wait for one searcher.
	QueueLimit int        `yaml:"queue_limit"`
	Limits     Limits     `yaml:"limits"`
	Indexes    []Index    `yaml:"indexes"`
	Searchers  []Searcher `yaml:"searchers"`
}

// Limits are what one searcher can bear.
type Limits struct {
	Slots       int  `yaml:"slots"`
	Connections int  `yaml:"connections"`
	Cold        Cold `yaml:"cold"`
}

// Cold is what a searcher can bear in cold start.
type Cold struct {
	// Allowance is the number of requests at once with which a cold searcher
	// starts.
	Allowance int `yaml:"allowance"`
	// StepSuccesses is the number of successes after which the allowance grows
	// by one.
	StepSuccesses int `yaml:"step_successes"`
}

// Index is one index of a search service with the searchers that replicate it.
type Index struct {
	Name      string     `yaml:"name"`
	Shard     uint32     `yaml:"shard"`
	Searchers []Searcher `yaml:"searchers"`
}

// Searcher is one upstream.
type Searcher struct {
	ID            string `yaml:"id"`
	Address       string `yaml:"address"`
	FailureDomain string `yaml:"failure_domain"`
}

// AllSearchers returns the searchers of the service, of all its indexes.
func (s *Service) AllSearchers() []Searcher {
	all := append([]Searcher(nil), s.Searchers...)
	for _, index := range s.Indexes {
		all = append(all, index.Searchers...)
	}
	return all
}
