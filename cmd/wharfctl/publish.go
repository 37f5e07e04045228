package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/publish"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// change is what every command takes that writes a revision.
type change struct {
	Reason      string        `long:"reason" required:"yes" value-name:"TEXT" description:"why; kept in the audit trail"`
	ChangeID    string        `long:"change-id" value-name:"UUIDV7" description:"identifier of an earlier attempt whose outcome is unknown"`
	Base        uint64        `long:"base" value-name:"REV" description:"refuse if the newest revision is not the one that was reviewed"`
	Wait        bool          `long:"wait" description:"wait until the revision is in force in all instances, and name those that lag"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"10s" value-name:"DURATION" description:"longest wait of --wait"`
}

// published is the output of publish and rollback.
type published struct {
	publish.Outcome
	// Lagging is left out without --wait.
	Lagging *[]operator.Report `json:"lagging,omitempty"`
}

// write runs one publish and shows its outcome.
func (a *app) write(c change, do func(ctx context.Context, p *publish.Publisher, q publish.Request) (publish.Outcome, error)) error {
	_, author, err := a.operatorIdentity()
	if err != nil {
		return err
	}
	if c.Wait {
		// Without instances to ask, a wait would succeed at once.
		if err := a.withInstances(func(context.Context, operator.Fleet) error { return nil }); err != nil {
			return err
		}
	}
	q := publish.Request{Author: author, Reason: c.Reason, ChangeID: c.ChangeID, Base: c.Base}
	if q.ChangeID == "" {
		if q.ChangeID, err = publish.NewChangeID(); err != nil {
			return err
		}
	}
	var outcome publish.Outcome
	err = a.withHistory(func(ctx context.Context, h publish.History) error {
		outcome, err = do(ctx, publish.New(h.Store, clock.System{}), q)
		return err
	})
	if err != nil {
		return unsettled(err, q.ChangeID)
	}
	return a.finish(c, outcome)
}

// unsettled names the change identifier with which to repeat a publish of
// unknown outcome.
func unsettled(err error, changeID string) error {
	if exitCode(err) == exitUnknown {
		return fmt.Errorf("%w: %w; repeat with --change-id %s", publish.ErrUnknown, err, changeID)
	}
	return err
}

// waitInterval is the pause between two questions of --wait.
const waitInterval = 250 * time.Millisecond

// finish waits for the instances if asked to, and shows the outcome.
func (a *app) finish(c change, o publish.Outcome) error {
	out := published{Outcome: o}
	if c.Wait {
		// --wait-timeout bounds the wait, in place of the bound of one command.
		err := a.withInstances(func(_ context.Context, fleet operator.Fleet) error {
			lagging := fleet.Wait(context.Background(), o.Revision.Number, waitInterval, c.WaitTimeout)
			out.Lagging = &lagging
			return nil
		})
		if err != nil {
			return err
		}
	}
	if err := a.show(out, func(w io.Writer) { a.printPublished(w, out) }); err != nil {
		return err
	}
	if out.Lagging != nil && len(*out.Lagging) > 0 {
		return coded{fmt.Errorf("revision %d is published, but %d instances lag", o.Revision.Number, len(*out.Lagging)), exitLagging}
	}
	return nil
}

func (a *app) printPublished(w io.Writer, out published) {
	verb := "Published"
	if out.Repeated {
		verb = "Already published"
	}
	r := out.Revision
	_, _ = fmt.Fprintf(w, "%s revision %d by %s, change %s:\n", verb, r.Number, r.Author, r.ChangeID)
	a.printChanges(w, out.Changes)
	if out.Lagging == nil {
		return
	}
	if len(*out.Lagging) == 0 {
		_, _ = fmt.Fprintln(w, "In force in all instances.")
	}
	for _, l := range *out.Lagging {
		if l.Status == nil {
			_, _ = fmt.Fprintf(w, "Not reached: %s: %s\n", l.Address, l.Error)
			continue
		}
		_, _ = fmt.Fprintf(w, "Lags: %s at %s has revision %d in force\n", l.Status.ID, l.Address, l.Status.Revision)
	}
}

type publishCommand struct {
	app *app
	change
	directory
}

// Execute publishes the files of the directory.
func (c *publishCommand) Execute([]string) error {
	files, err := c.collect()
	if err != nil {
		return err
	}
	if _, err := settings.ParseFiles(files); err != nil {
		return err
	}
	return c.app.write(c.change, func(ctx context.Context, p *publish.Publisher, q publish.Request) (publish.Outcome, error) {
		q.Files = files
		return p.Publish(ctx, q)
	})
}

type rollbackCommand struct {
	app *app
	change
	revisionArg
}

// Execute publishes the files of an older revision.
func (c *rollbackCommand) Execute([]string) error {
	return c.app.write(c.change, func(ctx context.Context, p *publish.Publisher, q publish.Request) (publish.Outcome, error) {
		return p.Rollback(ctx, c.Args.Revision, q)
	})
}
