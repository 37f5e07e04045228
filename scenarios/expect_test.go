package scenarios

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/load"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

const examples = "../examples"

func decode(text string, into any) error { return errors.Trace(json.Unmarshal([]byte(text), into)) }

// read keeps a report of the stand-ins.
func read(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: read SOURCE REPORT")
	}
	report, err := s.source(args[0])
	s.reports[args[1]] = report
	return err
}

// source reads the facts of the searchers, the calls or faults of the
// platform, the status of all processes or one object of the platform.
func (s *scenario) source(name string) (any, error) {
	switch name {
	case "facts":
		return s.deployment.Facts()
	case "platform":
		return s.deployment.PlatformStats()
	case "faults":
		return s.deployment.CurrentPlatformFaults()
	case "status":
		return s.status()
	case "distance":
		return map[string]int64{"flows_apart": s.deployment.FlowsApart()}, nil
	}
	if object, ok := strings.CutPrefix(name, "object:"); ok {
		return s.deployment.Object(object)
	}
	return nil, errors.Errorf("source %q is not known", name)
}

// summary adds up what the processes report of themselves.
type summary struct {
	Reached int `json:"reached"`
	// Entries and Brokers that are live, and those suspected or leaving.
	Live    int `json:"live"`
	NotLive int `json:"not_live"`
	// Held and Warm count searchers over all brokers.
	Held int `json:"held"`
	Warm int `json:"warm"`
	// HeldBy counts searchers by the failure domain of the broker.
	HeldBy map[string]int `json:"held_by"`
	// Platform counts processes that reach the platform, Away those that do not,
	// Unrecorded those that hold orders which the platform does not.
	Platform   int `json:"platform"`
	Away       int `json:"away"`
	Unrecorded int `json:"unrecorded"`
	// Revisions and Out count processes by revision and by name of what is out.
	Revisions map[string]int `json:"revisions"`
	Out       map[string]int `json:"out"`
}

func (s *scenario) status() (*summary, error) {
	text, err := s.deployment.Wharfctl("status", "--output=json")
	if err != nil {
		return nil, err
	}
	var reports []operator.Report
	if err := decode(text, &reports); err != nil {
		return nil, err
	}
	sum := &summary{HeldBy: make(map[string]int), Revisions: make(map[string]int), Out: make(map[string]int)}
	for _, r := range reports {
		if r.Status != nil {
			sum.add(r.Status)
		}
	}
	return sum, nil
}

func (s *summary) add(p *operator.Status) {
	s.Reached++
	if p.State == control.Live {
		s.Live++
	} else {
		s.NotLive++
	}
	s.Held += len(p.Searchers)
	s.Warm += p.Warm()
	s.HeldBy[p.FailureDomain] += len(p.Searchers)
	switch {
	case p.PlatformReachable == nil:
	case *p.PlatformReachable:
		s.Platform++
	default:
		s.Away++
	}
	if len(p.DirectOrders) > 0 {
		s.Unrecorded++
	}
	s.Revisions[fmt.Sprint(p.Revision)]++
	for _, name := range append(append([]string{}, p.OutDomains...), p.OutUpstreams...) {
		s.Out[name]++
	}
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
	report, err := s.loadReport(args, 1, "sound LOAD")
	if err != nil {
		return err
	}
	facts, err := s.deployment.Facts()
	if err != nil {
		return err
	}
	broken := violations(report, facts)
	if len(broken) == 0 {
		return nil
	}
	return errors.Errorf("broken invariants: %s\n%s", strings.Join(broken, ", "), text(report))
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
	report, err := s.loadReport(args, 5, "each-second LOAD RATIO from MARK DURATION")
	if err != nil {
		return err
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
			return errors.Errorf("second %d, %s after the mark: %d of %d answers are good\n%s", second.Second,
				begins.Sub(s.marks[args[3]]), second.Good, second.Offered, text(report))
		}
	}
	if checked < 3 {
		return errors.Errorf("only %d seconds were measured", checked)
	}
	return nil
}

// change returns the command that compares a count in two reports.
func change(usage string, holds func(before, after float64) bool) command {
	return func(s *scenario, _ *testscript.TestScript, args []string) error {
		if len(args) != 3 {
			return errors.Errorf("usage: %s REPORT REPORT PATH", usage)
		}
		before, err := value(s.reports[args[0]], args[2])
		if err != nil {
			return err
		}
		after, err := value(s.reports[args[1]], args[2])
		if err != nil {
			return err
		}
		was, ok := before.(float64)
		is, also := after.(float64)
		if !ok || !also || !holds(was, is) {
			return errors.Errorf("%s was %v and is %v", args[2], before, after)
		}
		return nil
	}
}

// loadReport returns the report of a finished load.
func (s *scenario) loadReport(args []string, n int, usage string) (*load.Report, error) {
	if len(args) != n {
		return nil, errors.New("usage: " + usage)
	}
	report, ok := s.reports[args[0]].(*load.Report)
	if !ok {
		return nil, errors.Errorf("report of load %q is not known", args[0])
	}
	return report, nil
}

func text(report any) string {
	out, _ := json.Marshal(report)
	return string(out)
}

// clean checks that no request failed and every answer is complete.
func clean(s *scenario, _ *testscript.TestScript, args []string) error {
	r, err := s.loadReport(args, 1, "clean LOAD")
	if err != nil {
		return err
	}
	if r.Requests == 0 || r.Good != r.Requests || r.RequestsCut > 0 {
		return errors.Errorf("%d of %d answers are good, %d requests were cut\n%s", r.Good, r.Requests, r.RequestsCut, text(r))
	}
	return nil
}

// refused checks that every request was refused with one code.
func refused(s *scenario, _ *testscript.TestScript, args []string) error {
	r, err := s.loadReport(args, 2, "refused LOAD CODE")
	if err != nil {
		return err
	}
	if r.Requests == 0 || r.Refused[args[1]] != r.Requests {
		return errors.Errorf("%d of %d requests were refused with %s\n%s", r.Refused[args[1]], r.Requests, args[1], text(r))
	}
	return nil
}

// quiet checks that no work started in a failure domain after a moment.
func quiet(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 4 || args[1] != "from" {
		return errors.New("usage: quiet DOMAIN from MARK DURATION")
	}
	from, err := s.after(args[2], args[3])
	if err != nil {
		return err
	}
	facts, err := s.deployment.Facts()
	if err != nil {
		return err
	}
	domain, ok := facts.Domains[args[0]]
	if !ok {
		return errors.Errorf("no work ever started in %q", args[0])
	}
	if late := time.UnixMilli(domain.LastStartUnixMs).Sub(from); late > 0 {
		return errors.Errorf("work started %s after the bound", late)
	}
	return nil
}
