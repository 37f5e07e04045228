package scenarios

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriawharf/wisteriawharf/load"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// hedgesWon asks a service until so many hedges have answered first: the
// searcher that a result names is one that the explanation calls a hedge.
func hedgesWon(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) != 3 {
		return errors.New("usage: hedges-won SERVICE WINS SEARCHES")
	}
	wins, err := strconv.Atoi(args[1])
	if err != nil {
		return errors.Trace(err)
	}
	bound, err := strconv.Atoi(args[2])
	if err != nil {
		return errors.Trace(err)
	}
	won := 0
	for i := range bound {
		a, err := s.search(args[0], fmt.Sprintf("asked by a scenario: hedge %d", i))
		if err != nil {
			return err
		}
		n, err := a.hedgesWon()
		if err != nil {
			return err
		}
		if won += n; won >= wins {
			ts.Logf("%d hedges won in %d searches", won, i+1)
			return nil
		}
	}
	return errors.Errorf("%d hedges won in %d searches", won, bound)
}

func (a *asked) hedgesWon() (int, error) {
	won := 0
	for _, part := range a.Answer.Results {
		var body standin.SearchBody
		if err := decode(string(part.Body), &body); err != nil {
			return 0, err
		}
		for _, step := range a.Explain.Steps {
			if step.Hedge && step.Shard == part.Shard && step.Searcher == body.Searcher {
				won++
			}
		}
	}
	return won, nil
}

// initialHedges is what the hedge budget of each entry and service holds when
// the entry starts: half of the burst of 100 hedges.
const initialHedges = 50

// withinBudget checks for each search service that all work started since the
// deployment began is at most one part for each shard of each request, and the
// hedges that the declared budget allows for these.
func withinBudget(s *scenario, ts *testscript.TestScript, args []string) error {
	services, err := standin.ReadServices(s.deployment.ServicesDir())
	if err != nil {
		return err
	}
	facts, err := s.deployment.Facts()
	if err != nil {
		return err
	}
	checked := 0
	for _, service := range services {
		parts := 0
		for _, name := range args {
			report, ok := s.reports[name].(*load.Report)
			if !ok {
				return errors.Errorf("report of load %q is not known", name)
			}
			parts += report.Services[service.Name].Requests * len(service.Indexes)
		}
		if parts == 0 || len(service.Indexes) == 0 {
			continue
		}
		started := 0
		for _, searcher := range facts.Searchers {
			if slices.Contains(searcher.Services, service.Name) {
				started += searcher.Started
			}
		}
		allowed := service.HedgeBudget*float64(parts) + initialHedges*float64(len(s.deployment.Instances))
		ts.Logf("%s: %d parts, %d more started, %.0f allowed", service.Name, parts, started-parts, allowed)
		if float64(started-parts) > allowed {
			return errors.Errorf("%s: %d parts, %d more started, %.0f allowed", service.Name, parts, started-parts, allowed)
		}
		checked++
	}
	if checked == 0 {
		return errors.New("usage: within-budget LOAD..., with all loads of the deployment")
	}
	return nil
}
