package main

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/publish"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// directory is the argument of commands that read service settings files.
type directory struct {
	Pattern string `long:"pattern" default:"*.yaml" value-name:"GLOB" description:"names of the service settings files below DIR"`
	Args    struct {
		Dir flags.Filename `positional-arg-name:"DIR" description:"directory with the service settings files"`
	} `positional-args:"yes" required:"yes"`
}

func (d directory) collect() ([]settings.File, error) {
	return publish.Collect(string(d.Args.Dir), d.Pattern)
}

type checkCommand struct {
	app *app
	directory
}

// Execute validates the files and prints what they declare.
func (c *checkCommand) Execute([]string) error {
	files, err := c.collect()
	if err != nil {
		return err
	}
	set, err := settings.ParseFiles(files)
	if err != nil {
		return err
	}
	summary := struct {
		Files          int      `json:"files"`
		Services       int      `json:"services"`
		Searchers      int      `json:"searchers"`
		FailureDomains []string `json:"failure_domains"`
	}{len(files), len(set.Services), len(set.Searchers), set.FailureDomains()}
	return c.app.show(summary, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "Valid: %d files, %d services, %d searchers, failure domains %v.\n",
			summary.Files, summary.Services, summary.Searchers, summary.FailureDomains)
	})
}

// change is what every command takes that writes a revision.
type change struct {
	Reason   string `long:"reason" required:"yes" value-name:"TEXT" description:"why; kept in the audit trail"`
	ChangeID string `long:"change-id" value-name:"UUIDV7" description:"identifier of an earlier attempt whose outcome is unknown"`
	Base     uint64 `long:"base" value-name:"REV" description:"refuse if the newest revision is not the one that was reviewed"`
}

func (c change) request(author string) (publish.Request, error) {
	q := publish.Request{Author: author, Reason: c.Reason, ChangeID: c.ChangeID, Base: c.Base}
	if q.ChangeID != "" {
		return q, nil
	}
	var err error
	q.ChangeID, err = publish.NewChangeID()
	return q, err
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
	_, author, err := c.app.operatorIdentity()
	if err != nil {
		return err
	}
	q, err := c.request(author)
	if err != nil {
		return err
	}
	q.Files = files
	store, err := c.app.store()
	if err != nil {
		return err
	}
	ctx, cancel, err := c.app.context()
	if err != nil {
		return err
	}
	defer cancel()
	outcome, err := publish.New(store, clock.System{}).Publish(ctx, q)
	if err != nil {
		return c.app.unsettled(err, q.ChangeID)
	}
	return c.app.showOutcome(outcome)
}

// unsettled names the change identifier with which to repeat a publish of
// unknown outcome.
func (a *app) unsettled(err error, changeID string) error {
	if exitCode(err) == exitUnknown {
		return coded{fmt.Errorf("%w; repeat with --change-id %s", err, changeID), exitUnknown}
	}
	return err
}

func (a *app) showOutcome(o publish.Outcome) error {
	return a.show(o, func(w io.Writer) {
		verb := "Published"
		if o.Repeated {
			verb = "Already published"
		}
		_, _ = fmt.Fprintf(w, "%s revision %d by %s, change %s:\n", verb, o.Revision.Number, o.Revision.Author, o.Revision.ChangeID)
		a.printChanges(w, o.Changes)
	})
}
