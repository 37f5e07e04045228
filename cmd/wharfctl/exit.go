package main

import (
	"fmt"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/publish"
	"github.com/wisteriawharf/wisteriawharf/result"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Exit codes, which scripts rely on. docs/operators.md and helpText list them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitRace        = 4
	exitNothing     = 5
	exitNotFound    = 6
	exitNotOperator = 7
	exitPlatform    = 8
	exitNotRecorded = 9
	exitLagging     = 10
	exitHistory     = 11
	exitUnknown     = 12
)

const helpText = `Checks, publishes and compares service settings, gives orders and shows the state of instances.

Exit codes:
  0  done
  1  failed for another reason
  2  wrong usage
  3  settings are not valid (4001)
  4  another operator was first (4002)
  5  nothing to do
  6  not found (4003)
  7  certificate is not an operator's (4004)
  8  platform is not reachable, nothing was done
  9  order is held by instances, but not recorded yet
 10  published, but some instances lag
 11  history does not verify
 12  outcome is unknown, repeat with the same change identifier`

// coded is an error with the exit code of its own.
type coded struct {
	error
	exit int
}

func (c coded) Unwrap() error { return c.error }

// fail reports err and returns the exit code for it.
func (a *app) fail(err error) int {
	if f, ok := errors.AsType[*flags.Error](err); ok {
		if f.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(a.env.stdout, f.Message)
			return exitOK
		}
		_, _ = fmt.Fprintln(a.env.stderr, "wharfctl:", f.Message)
		return exitUsage
	}
	_, _ = fmt.Fprintln(a.env.stderr, "wharfctl:", err)
	if !a.started {
		return exitUsage
	}
	if race, ok := errors.AsType[*publish.RaceError](err); ok {
		a.printChanges(a.env.stderr, race.Changes)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	if c, ok := errors.AsType[coded](err); ok {
		return c.exit
	}
	if _, ok := errors.AsType[*settings.InvalidError](err); ok {
		return exitInvalid
	}
	if _, ok := errors.AsType[*publish.RaceError](err); ok {
		return exitRace
	}
	if _, ok := errors.AsType[*operator.RaceError](err); ok {
		return exitRace
	}
	switch {
	case errors.Is(err, publish.ErrNothingToDo):
		return exitNothing
	case errors.Is(err, operator.ErrNotKnown):
		return exitNotFound
	case errors.Is(err, publish.ErrUnknown), errors.Is(err, operator.ErrUnknown):
		return exitUnknown
	case errors.Is(err, objectstore.ErrUnavailable):
		return exitPlatform
	}
	if e, ok := errors.AsType[*result.Error](err); ok {
		return resultExit(e.Code)
	}
	return exitFailed
}

func resultExit(c result.Code) int {
	switch c {
	case result.SettingsInvalid:
		return exitInvalid
	case result.RevisionRace:
		return exitRace
	case result.NoRevision:
		return exitNotFound
	case result.NotOperator:
		return exitNotOperator
	case result.PlatformAway:
		return exitPlatform
	default:
		return exitFailed
	}
}
