package publish

import (
	"cmp"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Change is one difference between two revisions, as a sentence that can be
// read aloud.
type Change struct {
	Service string `json:"service,omitempty"`
	Text    string `json:"text"`
}

// String returns the sentence.
func (c Change) String() string { return c.Text }

// Compare returns the changes that lead from old to next. A nil old stands for
// settings without services. A revision whose files do not parse is compared
// by its files only.
func Compare(old, next *settings.Revision) []Change {
	// One parser parses a file that is the same in both only once.
	return compare(&settings.Parser{}, old, next)
}

func compare(parser *settings.Parser, old, next *settings.Revision) []Change {
	before, beforeErr := parse(parser, old)
	after, afterErr := parse(parser, next)
	if beforeErr != nil || afterErr != nil {
		return compareFiles(old, next)
	}
	changes := CompareSets(before, after)
	if len(changes) == 0 {
		return compareFiles(old, next)
	}
	return changes
}

func parse(parser *settings.Parser, r *settings.Revision) (*settings.Set, error) {
	if r == nil {
		return settings.NewSet(nil), nil
	}
	return parser.Parse(r.Files, func(f settings.File) (string, error) { return f.Text, nil })
}

// compareFiles reports files that differ in their text.
func compareFiles(old, next *settings.Revision) []Change {
	before, after := filesOf(old), filesOf(next)
	var changes []Change
	for _, path := range sortedKeys(before, after) {
		b, inBefore := before[path]
		a, inAfter := after[path]
		switch {
		case !inBefore:
			changes = append(changes, Change{Text: fmt.Sprintf("File %s is added.", path)})
		case !inAfter:
			changes = append(changes, Change{Text: fmt.Sprintf("File %s is removed.", path)})
		case !a.Same(b):
			changes = append(changes, Change{Text: fmt.Sprintf("File %s changes in its text; no value that the services use is known to change.", path)})
		}
	}
	return changes
}

func filesOf(r *settings.Revision) map[string]settings.File {
	files := make(map[string]settings.File)
	if r != nil {
		for _, f := range r.Files {
			files[f.Path] = f
		}
	}
	return files
}

// CompareSets returns the changes of values between two sets of settings.
func CompareSets(before, after *settings.Set) []Change {
	var changes []Change
	for _, name := range sortedKeys(before.Services, after.Services) {
		d := differ{service: name}
		b, a := before.Services[name], after.Services[name]
		switch {
		case b == nil:
			d.say("Service %s is added: a %s with %s, deadline %s.", name, a.Kind, upstreams(a), a.Deadline)
		case a == nil:
			d.say("Service %s is removed with its %s; callers get code 1003.", name, upstreams(b))
		case a == b:
		default:
			d.compare(b, a)
		}
		changes = append(changes, d.changes...)
	}
	return changes
}

func upstreams(s *settings.Service) string {
	searchers := plural(len(s.AllSearchers()), "searcher")
	if s.Kind == settings.KindSearch {
		return plural(len(s.Indexes), "index") + " on " + searchers
	}
	return searchers
}

func plural(n int, noun string) string {
	switch {
	case n == 1:
		return "1 " + noun
	case strings.HasSuffix(noun, "x"):
		return fmt.Sprintf("%d %ses", n, noun)
	default:
		return fmt.Sprintf("%d %ss", n, noun)
	}
}

type differ struct {
	service string
	changes []Change
}

func (d *differ) say(format string, args ...any) {
	d.changes = append(d.changes, Change{Service: d.service, Text: fmt.Sprintf(format, args...)})
}

func (d *differ) compare(b, a *settings.Service) {
	if b.Kind != a.Kind {
		d.say("Service %s becomes a %s; it was a %s.", d.service, a.Kind, b.Kind)
	}
	number(d, "the deadline", b.Deadline, a.Deadline)
	if b.SoftDeadline != 0 || a.SoftDeadline != 0 {
		number(d, "the soft deadline", softDeadline(b), softDeadline(a))
	}
	number(d, "the minimum coverage", b.MinCoverage, a.MinCoverage)
	number(d, "the hedge budget", b.HedgeBudget, a.HedgeBudget)
	number(d, "the queue limit of each searcher", b.QueueLimit, a.QueueLimit)
	number(d, "the number of slots of each searcher", b.Limits.Slots, a.Limits.Slots)
	number(d, "the number of connections to each searcher", b.Limits.Connections, a.Limits.Connections)
	number(d, "the cold allowance of each searcher", b.Limits.Cold.Allowance, a.Limits.Cold.Allowance)
	number(d, "the number of successes for each step out of cold start", b.Limits.Cold.StepSuccesses, a.Limits.Cold.StepSuccesses)
	d.compareIndexes(b, a)
	d.compareSearchers(places(b), places(a))
}

// softDeadline returns the soft deadline in force.
func softDeadline(s *settings.Service) time.Duration {
	if s.SoftDeadline == 0 {
		return s.Deadline
	}
	return s.SoftDeadline
}

// number says in which direction a value changes.
func number[T cmp.Ordered](d *differ, what string, before, after T) {
	switch {
	case before < after:
		d.say("In %s, %s rises from %v to %v.", d.service, what, before, after)
	case before > after:
		d.say("In %s, %s falls from %v to %v.", d.service, what, before, after)
	}
}

func (d *differ) compareIndexes(b, a *settings.Service) {
	before, after := make(map[string]settings.Index), make(map[string]settings.Index)
	for _, i := range b.Indexes {
		before[i.Name] = i
	}
	for _, i := range a.Indexes {
		after[i.Name] = i
	}
	for _, name := range sortedKeys(before, after) {
		old, had := before[name]
		now, has := after[name]
		switch {
		case !had:
			d.say("In %s, index %s is added as shard %d.", d.service, name, now.Shard)
		case !has:
			d.say("In %s, index %s with shard %d is removed.", d.service, name, old.Shard)
		case old.Shard != now.Shard:
			d.say("In %s, index %s becomes shard %d; it was shard %d.", d.service, name, now.Shard, old.Shard)
		}
	}
}

// place is a searcher with its index, which is empty in a booking.
type place struct {
	settings.Searcher
	index string
}

func places(s *settings.Service) map[string]place {
	all := make(map[string]place)
	for _, u := range s.Searchers {
		all[u.ID] = place{u, ""}
	}
	for _, i := range s.Indexes {
		for _, u := range i.Searchers {
			all[u.ID] = place{u, i.Name}
		}
	}
	return all
}

func (d *differ) compareSearchers(before, after map[string]place) {
	for _, id := range sortedKeys(before, after) {
		old, had := before[id]
		now, has := after[id]
		switch {
		case !had:
			d.say("In %s, searcher %s at %s in failure domain %s is added%s.", d.service, id, now.Address, now.FailureDomain, toIndex(" to", now.index))
		case !has:
			d.say("In %s, searcher %s in failure domain %s is removed%s.", d.service, id, old.FailureDomain, toIndex(" from", old.index))
		default:
			d.compareSearcher(id, old, now)
		}
	}
}

func (d *differ) compareSearcher(id string, old, now place) {
	if old.index != now.index {
		d.say("In %s, searcher %s moves from index %s to index %s.", d.service, id, old.index, now.index)
	}
	if old.Address != now.Address {
		d.say("In %s, searcher %s moves from address %s to %s and starts cold.", d.service, id, old.Address, now.Address)
	}
	if old.FailureDomain != now.FailureDomain {
		d.say("In %s, searcher %s moves from failure domain %s to %s.", d.service, id, old.FailureDomain, now.FailureDomain)
	}
}

func toIndex(preposition, index string) string {
	if index == "" {
		return ""
	}
	return preposition + " index " + index
}

func sortedKeys[V any](maps ...map[string]V) []string {
	seen := make(map[string]bool)
	var keys []string
	for _, m := range maps {
		for k := range m {
			if !seen[k] {
				seen[k] = true
				keys = append(keys, k)
			}
		}
	}
	sort.Strings(keys)
	return keys
}
