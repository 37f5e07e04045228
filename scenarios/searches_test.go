package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriawharf/wisteriawharf/caller"
	"github.com/wisteriawharf/wisteriawharf/entry"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// asked is one search that a scenario sent, and what ran and is told of it.
type asked struct {
	Status  int
	Answer  caller.SearchAnswer
	Ran     []standin.SearchRun
	Explain entry.Trace
}

// ask sends one search to the first instance. It keeps the answer with what the
// searchers ran and what wharfctl explains.
func ask(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: ask SERVICE REPORT")
	}
	a, err := s.search(args[0], "asked by a scenario: "+args[1])
	s.reports[args[1]] = a
	return err
}

// search sends a query that was not sent before.
func (s *scenario) search(service, query string) (*asked, error) {
	body, _ := json.Marshal(map[string]any{"query": query, "deadline_ms": 2000})
	url := "http://" + s.deployment.Instances[0].EntryAddress() + "/v1/search/" + service
	client := http.Client{Timeout: 10 * time.Second}
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a := &asked{Status: response.StatusCode}
	if err := decode(string(answer), &a.Answer); err != nil {
		return nil, errors.Annotate(err, string(answer))
	}
	facts, err := s.deployment.Searches(query)
	if err != nil {
		return nil, err
	}
	a.Ran = facts.Runs[query]
	out, err := s.deployment.Wharfctl("explain", a.Answer.RequestID)
	if err != nil {
		return nil, err
	}
	_, explanation, _ := strings.Cut(out, "\n")
	return a, decode(explanation, &a.Explain)
}

// explained checks the status of an asked search and the shards that it lacks,
// each with its code if one is given, and that its explanation tells the same and agrees with
// what the searchers ran.
func explained(s *scenario, _ *testscript.TestScript, args []string) error {
	a, ok := s.reports[args[0]].(*asked)
	if !ok || len(args) < 3 {
		return errors.New("usage: explained REPORT STATUS SHARD[=CODE]...")
	}
	told := a.Explain
	coverage := a.Answer.Coverage
	same := func(want string, missing caller.MissingShard) bool {
		shard, code, stated := strings.Cut(want, "=")
		return shard == fmt.Sprint(missing.Shard) && (!stated || code == fmt.Sprint(int(missing.Code)))
	}
	switch {
	case strconv.Itoa(a.Status) != args[1] || !slices.EqualFunc(args[2:], coverage.Missing, same):
	case told.RequestID != a.Answer.RequestID || !slices.Equal(told.Snapshots, []string{a.Answer.Snapshot}):
	case told.Asked != coverage.Asked || told.Answered != coverage.Answered || !slices.Equal(told.Missing, coverage.Missing):
	case told.PartialReason == "" || !stepsRan(told, a.Ran):
	default:
		return nil
	}
	return errors.New(text(a))
}

// stepsRan reports whether searchers started no more work for a shard than the
// explanation says was sent, and answered exactly the shards not missing.
func stepsRan(told entry.Trace, ran []standin.SearchRun) bool {
	sent, answered := make(map[uint32]int), 0
	for _, step := range told.Steps {
		if step.Code == result.OK {
			sent[step.Shard]++
		}
	}
	for _, run := range ran {
		lost := slices.ContainsFunc(told.Missing, func(m caller.MissingShard) bool { return m.Shard == run.Shard })
		if run.Snapshot != told.Snapshots[0] || run.Started > sent[run.Shard] || lost && run.Answered > 0 {
			return false
		}
		answered += min(run.Answered, 1)
	}
	return answered == told.Answered
}

// hedged checks that the explanation tells of a first part and at least one
// hedge of a shard, in different failure domains, all of which were started.
func hedged(s *scenario, _ *testscript.TestScript, args []string) error {
	a, ok := s.reports[args[0]].(*asked)
	if !ok || len(args) != 2 {
		return errors.New("usage: hedged REPORT SHARD")
	}
	domains, hedges, started := make(map[string]bool), 0, 0
	for _, step := range a.Explain.Steps {
		if fmt.Sprint(step.Shard) != args[1] || step.Code != result.OK {
			continue
		}
		domains[step.Domain] = true
		if step.Hedge {
			hedges++
		}
	}
	for _, run := range a.Ran {
		if fmt.Sprint(run.Shard) == args[1] {
			started += run.Started
		}
	}
	if hedges < 1 || len(domains) != hedges+1 || started != hedges+1 {
		return errors.New(text(a))
	}
	return nil
}

// lacks checks that every answer and refusal of a service lists exactly the
// given shards as missing.
func lacks(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: lacks LOAD SERVICE SHARD...")
	}
	report, err := s.loadReport(args[:1], 1, "lacks LOAD SERVICE SHARD...")
	if err != nil {
		return err
	}
	service := report.Services[args[1]]
	wrong := service.Requests == 0 || len(service.Missing) != len(args)-2 || !report.FactsChecked
	for shard, count := range service.Missing {
		wrong = wrong || !slices.Contains(args[2:], fmt.Sprint(shard)) || count != service.Requests
	}
	if wrong {
		return errors.New(text(report))
	}
	return nil
}

// deployApart delays traffic in each direction: between failure domains, and
// between callers and entries.
func deployApart(s *scenario, ts *testscript.TestScript, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: deploy-apart DOMAINS CALLERS EXAMPLE [FLAG...]")
	}
	var err error
	if s.distance.Domains, err = time.ParseDuration(args[0]); err != nil {
		return errors.Trace(err)
	}
	if s.distance.Callers, err = time.ParseDuration(args[1]); err != nil {
		return errors.Trace(err)
	}
	return start(s, ts, args[2:], true)
}

// latency notes latencies in the output of the test. They depend on the machine
// and are not checked.
func latency(s *scenario, ts *testscript.TestScript, args []string) error {
	report, err := s.loadReport(args, 1, "latency LOAD")
	if err != nil {
		return err
	}
	ts.Logf("%d requests: p50 %.1f ms, p99 %.1f ms", report.Requests, report.P50Ms, report.P99Ms)
	return nil
}
