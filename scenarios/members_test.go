package scenarios

import (
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
)

// memberCommands returns the commands of scenarios about membership, operators
// and the connections between instances.
//
//	grows DURATION since MARK SOURCE REPORT PATH   wait until a count exceeds that of a report
func memberCommands() map[string]command {
	return map[string]command{"grows": grows}
}

// grows waits until a count of a source is greater than in an earlier report.
// The bound runs from a mark.
func grows(s *scenario, _ *testscript.TestScript, args []string) error {
	if len(args) != 6 || args[1] != "since" {
		return errors.New("usage: grows DURATION since MARK SOURCE REPORT PATH")
	}
	until, err := s.after(args[2], args[0])
	if err != nil {
		return err
	}
	before, err := value(s.reports[args[4]], args[5])
	if err != nil {
		return err
	}
	was, ok := before.(float64)
	if !ok {
		return errors.Errorf("%s is %v, not a number", args[5], before)
	}
	return deployment.Until(time.Until(until), func() error {
		report, err := s.source(args[3])
		if err != nil {
			return err
		}
		now, err := value(report, args[5])
		if is, ok := now.(float64); err == nil && (!ok || is <= was) {
			err = errors.Errorf("%s was %v and is %v", args[5], before, now)
		}
		return err
	})
}
