package scenarios

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/load"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

const examples = "../examples"

func decode(text string, into any) error { return errors.Trace(json.Unmarshal([]byte(text), into)) }

// read keeps a report of the stand-ins.
func read(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: read facts|platform|status:INSTANCE NAME")
	}
	report, err := s.source(args[0])
	s.reports[args[1]] = report
	return err
}

// source reads a report: facts of the upstream stand-ins, statistics of the
// platform stand-in, or the status of one process.
func (s *scenario) source(name string) (any, error) {
	switch name {
	case "facts":
		return s.deployment.Facts()
	case "platform":
		return s.deployment.PlatformStats()
	}
	return nil, errors.Errorf("source %q is not known", name)
}

// value returns the field of a report at a path of JSON names.
func value(report any, path string) (any, error) {
	text, err := json.Marshal(report)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var at any
	if err := decode(string(text), &at); err != nil {
		return nil, err
	}
	for _, name := range strings.Split(path, "/") {
		fields, ok := at.(map[string]any)
		if !ok {
			return nil, errors.Errorf("%s: %q is not inside an object", path, name)
		}
		// A count that is left out is zero.
		if at, ok = fields[name]; !ok {
			at = 0.0
		}
	}
	return at, nil
}

func expect(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 4 {
		return errors.New("usage: expect REPORT PATH OP VALUE")
	}
	report, ok := s.reports[args[0]]
	if !ok {
		return errors.Errorf("report %q is not known", args[0])
	}
	return compare(report, args[1], args[2], args[3])
}

func compare(report any, path, op, want string) error {
	got, err := value(report, path)
	if err != nil {
		return err
	}
	holds := false
	if number, ok := got.(float64); ok {
		bound, err := strconv.ParseFloat(want, 64)
		if err != nil {
			return errors.Trace(err)
		}
		holds = map[string]bool{
			"==": number == bound, "!=": number != bound, "<": number < bound, "<=": number <= bound,
			">": number > bound, ">=": number >= bound,
		}[op]
	} else {
		holds = op == "==" && fmt.Sprint(got) == want || op == "!=" && fmt.Sprint(got) != want
	}
	if !holds {
		return errors.Errorf("%s is %v", path, got)
	}
	return nil
}

// waitFor reads a source until a comparison holds.
func waitFor(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 5 {
		return errors.New("usage: wait-for DURATION SOURCE PATH OP VALUE")
	}
	bound, err := time.ParseDuration(args[0])
	if err != nil {
		return errors.Trace(err)
	}
	return deployment.Until(bound, func() error {
		report, err := s.source(args[1])
		if err != nil {
			return err
		}
		return compare(report, args[2], args[3], args[4])
	})
}

// sound checks that nothing broke an invariant: no answer of a load, and none
// of the facts of the searchers.
func sound(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: sound LOAD")
	}
	report, ok := s.reports[args[0]].(*load.Report)
	if !ok {
		return errors.Errorf("report of load %q is not known", args[0])
	}
	facts, err := s.deployment.Facts()
	if err != nil {
		return err
	}
	broken := violations(report, facts)
	if len(broken) == 0 {
		return nil
	}
	text, _ := json.MarshalIndent(report, "", " ")
	return errors.Errorf("broken invariants: %s\n%s", strings.Join(broken, ", "), text)
}

func violations(r *load.Report, f *standin.Facts) []string {
	var broken []string
	for _, c := range []struct {
		name  string
		count int
	}{
		{"mixed_snapshots", r.MixedSnapshots}, {"false_coverage", r.FalseCoverage},
		{"foreign_answers", r.ForeignAnswers}, {"false_refusals", r.FalseRefusals},
		{"doubled_bookings", max(r.DoubledBookings, f.Bookings.DoubledBookings)},
		{"unrun_bookings", r.UnrunBookings}, {"other_outcomes", r.OtherOutcomes},
		{"slot_limit_exceeded", f.Totals.SlotLimitExceeded},
		{"cold_limit_exceeded", f.Totals.ColdLimitExceeded},
		{"connection_limit_exceeded", f.Totals.ConnectionLimitExceeded},
		{"bad_requests", f.Totals.BadRequests},
	} {
		if c.count > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", c.name, c.count))
		}
	}
	if !r.FactsChecked {
		broken = append(broken, "facts were not checked")
	}
	if r.Requests == 0 {
		broken = append(broken, "no request was sent")
	}
	return broken
}

// eachSecond checks the share of good answers in every whole second that began
// later than a moment.
func eachSecond(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 5 || args[2] != "from" {
		return errors.New("usage: each-second LOAD RATIO from MARK DURATION")
	}
	report, ok := s.reports[args[0]].(*load.Report)
	if !ok {
		return errors.Errorf("report of load %q is not known", args[0])
	}
	ratio, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return errors.Trace(err)
	}
	from, err := s.after(args[3], args[4])
	if err != nil {
		return err
	}
	checked := 0
	for _, second := range report.Series {
		begins := time.UnixMilli(report.StartUnixMs).Add(time.Duration(second.Second) * time.Second)
		if begins.Before(from) || second.Offered == 0 {
			continue
		}
		checked++
		if float64(second.Good) < ratio*float64(second.Offered) {
			text, _ := json.Marshal(report)
			return errors.Errorf("second %d, %s after the mark: %d of %d answers are good\n%s", second.Second,
				begins.Sub(s.marks[args[3]]), second.Good, second.Offered, text)
		}
	}
	if checked < 3 {
		return errors.Errorf("only %d seconds were measured", checked)
	}
	return nil
}
