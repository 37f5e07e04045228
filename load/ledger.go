package load

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// factsTimeout bounds one reading of facts.
const factsTimeout = 10 * time.Second

// ledger keeps the attempts of each booking key until the run has ended.
type ledger struct {
	mu       sync.Mutex
	attempts map[string][]sample
}

func newLedger() *ledger { return &ledger{attempts: make(map[string][]sample)} }

func (l *ledger) add(key string, s sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[key] = append(l.attempts[key], s)
}

// check compares the attempts with the number of runs of each key. Answers of
// keys for which the facts say otherwise no longer count as good.
func (l *ledger) check(runs map[string]int, r *recorder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, attempts := range l.attempts {
		found := compare(attempts, runs[key])
		r.found.add(found)
		if found == (findings{}) {
			continue
		}
		for _, s := range attempts {
			if s.verdict.class == classGood {
				r.demote(s)
			}
		}
	}
}

// findings are what the facts reveal about bookings and searches.
type findings struct {
	falseRefusals   int
	doubledBookings int
	unrunBookings   int
	otherOutcomes   int
	searchesChecked int
}

func (f *findings) add(o findings) {
	f.falseRefusals += o.falseRefusals
	f.doubledBookings += o.doubledBookings
	f.unrunBookings += o.unrunBookings
	f.otherOutcomes += o.otherOutcomes
	f.searchesChecked += o.searchesChecked
}

// compare judges the attempts with one key. A run is explained by an attempt
// that does not claim that the booking was not run; if every attempt does, one
// of the refusals is false.
func compare(attempts []sample, runs int) findings {
	var found findings
	explained, answered := false, false
	work := ""
	for _, s := range attempts {
		v := s.verdict
		unsent := v.class == classError && v.kind == kindConnect
		refused := v.class == classRefused && v.run == "no"
		if !unsent && !refused {
			explained = true
		}
		if v.class != classGood {
			continue
		}
		if answered && v.work != work {
			found.otherOutcomes = 1
		}
		answered, work = true, v.work
	}
	if runs > 0 && !explained {
		found.falseRefusals = 1
	}
	if runs > 1 {
		found.doubledBookings = 1
	}
	if runs == 0 && answered {
		found.unrunBookings = 1
	}
	return found
}

// fetchRuns sums the runs of each key over the stand-ins.
func fetchRuns(addresses []string) (map[string]int, error) {
	runs := make(map[string]int)
	client := http.Client{Timeout: factsTimeout}
	for _, address := range addresses {
		response, err := client.Get("http://" + address + "/facts?keys=1")
		if err != nil {
			return nil, errors.Trace(err)
		}
		var facts struct {
			Bookings struct {
				KeyRuns map[string]int `json:"key_runs"`
			} `json:"bookings"`
		}
		err = json.NewDecoder(response.Body).Decode(&facts)
		_ = response.Body.Close()
		if err != nil {
			return nil, errors.Annotatef(err, "facts at %s", address)
		}
		for key, n := range facts.Bookings.KeyRuns {
			runs[key] += n
		}
	}
	return runs, nil
}
