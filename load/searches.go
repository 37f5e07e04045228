package load

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// queriesPerQuestion keeps a question within the size that the stand-in reads.
const queriesPerQuestion = 10000

// claim is what a partial answer or a refusal says about the shards. Coverage is
// nil if it says nothing.
type claim struct {
	Snapshot string    `json:"snapshot"`
	Coverage *coverage `json:"coverage"`
}

// claimOf reads the claim of an answer whose form was checked.
func claimOf(got answer) claim {
	var c claim
	_ = json.Unmarshal(got.body, &c)
	return c
}

// searchLedger keeps the partial and refused searches until the run has ended.
type searchLedger struct {
	mu       sync.Mutex
	searches map[string]searched
}

type searched struct {
	sample
	claim claim
}

func newSearchLedger() *searchLedger { return &searchLedger{searches: make(map[string]searched)} }

func (l *searchLedger) add(query string, s sample, c claim) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.searches[query] = searched{s, c}
}

func (l *searchLedger) queries() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	queries := make([]string, 0, len(l.searches))
	for query := range l.searches {
		queries = append(queries, query)
	}
	return queries
}

// check compares the searches with what the searchers ran. Answers that the
// facts refute no longer count as partial.
func (l *searchLedger) check(ran map[string][]standin.SearchRun, r *recorder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for query, s := range l.searches {
		r.found.add(findings{searchesChecked: 1, falseRefusals: count(falseRefusal(s, ran[query]))})
		if s.claim.Coverage == nil {
			continue
		}
		for _, missing := range s.claim.Coverage.Missing {
			r.lacks(s.service, missing.Shard, missing.Code)
		}
		if coverageRan(s.claim, ran[query]) {
			continue
		}
		r.coverageBad++
		if s.verdict.class == classPartial {
			r.demote(s.sample)
		}
	}
}

// falseRefusal reports whether a refusal says that nothing ran although work was
// started, or that the search ran although no searcher answered.
func falseRefusal(s searched, ran []standin.SearchRun) bool {
	started, answered := 0, 0
	for _, run := range ran {
		started += run.Started
		answered += run.Answered
	}
	no, yes := s.verdict.run == "no", s.verdict.run == "yes"
	return s.verdict.class == classRefused && (no && started > 0 || yes && answered == 0)
}

// coverageRan reports whether every shard of a claim is counted once, searchers
// answered each one that is not missing, and none started work on a shard that
// is said to have had no usable replica.
func coverageRan(c claim, ran []standin.SearchRun) bool {
	if c.Coverage.Answered+len(c.Coverage.Missing) != c.Coverage.Asked {
		return false
	}
	runs := make(map[uint32]standin.SearchRun)
	for _, run := range ran {
		if run.Snapshot == c.Snapshot {
			runs[run.Shard] = run
		}
	}
	lost := make(map[uint32]result.Code)
	for _, missing := range c.Coverage.Missing {
		if _, twice := lost[missing.Shard]; twice || int64(missing.Shard) >= int64(c.Coverage.Asked) {
			return false
		}
		lost[missing.Shard] = missing.Code
	}
	for shard := range uint32(c.Coverage.Asked) {
		code, missing := lost[shard]
		if !missing && runs[shard].Answered == 0 || code == result.NoReplica && runs[shard].Started > 0 {
			return false
		}
	}
	return true
}

// fetchSearches asks the stand-ins what ran for the queries of a run that began
// at start. It fails if they may have forgotten some.
func fetchSearches(addresses, queries []string, start time.Time) (map[string][]standin.SearchRun, error) {
	ran := make(map[string][]standin.SearchRun)
	client := http.Client{Timeout: factsTimeout}
	for _, address := range addresses {
		for from := 0; from < len(queries); from += queriesPerQuestion {
			asked := queries[from:min(from+queriesPerQuestion, len(queries))]
			facts, err := askSearches(&client, address, asked)
			if err != nil {
				return nil, errors.Annotatef(err, "searches at %s", address)
			}
			if facts.ForgottenUnixMs >= start.UnixMilli() {
				return nil, errors.Errorf("searches at %s: queries of this run were forgotten", address)
			}
			for query, runs := range facts.Runs {
				ran[query] = append(ran[query], runs...)
			}
		}
	}
	return ran, nil
}

func askSearches(client *http.Client, address string, queries []string) (*standin.SearchFacts, error) {
	body, err := json.Marshal(standin.SearchQuestion{Queries: queries})
	if err != nil {
		return nil, errors.Trace(err)
	}
	response, err := client.Post("http://"+address+"/facts/searches", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.New(response.Status)
	}
	var facts standin.SearchFacts
	return &facts, errors.Trace(json.NewDecoder(response.Body).Decode(&facts))
}
