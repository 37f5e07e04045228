package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

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

type diffCommand struct {
	app     *app
	Against uint64 `long:"against" value-name:"REV" description:"revision to compare with (default: the newest)"`
	directory
}

// difference is the output of diff.
type difference struct {
	Against uint64           `json:"against"`
	Changes []publish.Change `json:"changes"`
}

// Execute compares the directory with a revision.
func (c *diffCommand) Execute([]string) error {
	files, err := c.collect()
	if err != nil {
		return err
	}
	if _, err := settings.ParseFiles(files); err != nil {
		return err
	}
	return c.app.withHistory(func(ctx context.Context, h publish.History) error {
		old, err := c.old(ctx, h)
		if err != nil {
			return err
		}
		d := difference{Changes: publish.Compare(old, &settings.Revision{Files: files})}
		if old != nil {
			d.Against = old.Number
		}
		return c.app.show(d, func(w io.Writer) {
			if len(d.Changes) == 0 {
				_, _ = fmt.Fprintf(w, "Nothing changes against revision %d.\n", d.Against)
				return
			}
			_, _ = fmt.Fprintf(w, "Against revision %d:\n", d.Against)
			c.app.printChanges(w, d.Changes)
		})
	})
}

func (c *diffCommand) old(ctx context.Context, h publish.History) (*settings.Revision, error) {
	if c.Against != 0 {
		return h.Get(ctx, c.Against)
	}
	return h.Head(ctx)
}

// withHistory calls f with the revisions of the platform.
func (a *app) withHistory(f func(ctx context.Context, h publish.History) error) error {
	store, err := a.store()
	if err != nil {
		return err
	}
	ctx, cancel, err := a.context()
	if err != nil {
		return err
	}
	defer cancel()
	return f(ctx, publish.History{Store: store})
}

type logCommand struct {
	app   *app
	Limit int `long:"limit" default:"20" value-name:"N" description:"number of revisions to list"`
}

// logEntry is a revision without its files.
type logEntry struct {
	Number   uint64    `json:"number"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	Reason   string    `json:"reason"`
	ChangeID string    `json:"change_id"`
}

// Execute lists revisions.
func (c *logCommand) Execute([]string) error {
	return c.app.withHistory(func(ctx context.Context, h publish.History) error {
		revisions, err := h.Last(ctx, c.Limit)
		if err != nil {
			return err
		}
		entries := make([]logEntry, 0, len(revisions))
		rows := make([][]string, 0, len(revisions))
		for _, r := range revisions {
			entries = append(entries, logEntry{r.Number, r.Author, r.Time, r.Reason, r.ChangeID})
			rows = append(rows, []string{fmt.Sprint(r.Number), r.Time.Format(time.RFC3339), r.Author, r.Reason})
		}
		return c.app.show(entries, func(w io.Writer) {
			writeTable(w, []string{"REVISION", "TIME", "AUTHOR", "REASON"}, rows)
		})
	})
}

// revisionArg is the argument of commands about one revision.
type revisionArg struct {
	Args struct {
		Revision uint64 `positional-arg-name:"REV" description:"number of a revision"`
	} `positional-args:"yes" required:"yes"`
}

type showCommand struct {
	app *app
	revisionArg
}

// Execute prints one revision.
func (c *showCommand) Execute([]string) error {
	return c.app.withHistory(func(ctx context.Context, h publish.History) error {
		r, err := h.Get(ctx, c.Args.Revision)
		if err != nil {
			return err
		}
		return c.app.show(r, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, "Revision %d by %s at %s\nReason: %s\nChange: %s\nParent digest: %s\n",
				r.Number, r.Author, r.Time.Format(time.RFC3339), r.Reason, r.ChangeID, r.ParentDigest)
			for _, f := range r.Files {
				_, _ = fmt.Fprintf(w, "\n# %s\n%s", f.Path, f.Text)
			}
		})
	})
}

type verifyCommand struct {
	app *app
}

// Execute checks the history and fails if it has faults. Only its single calls
// are bounded in time, because it reads every revision.
func (c *verifyCommand) Execute([]string) error {
	store, err := c.app.store()
	if err != nil {
		return err
	}
	v, err := publish.History{Store: store}.Verify(context.Background())
	if err != nil {
		return err
	}
	err = c.app.show(v, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%d revisions, digest of the newest: %s\n", v.Revisions, v.Digest)
		for _, f := range v.Faults {
			_, _ = fmt.Fprintln(w, "  -", f)
		}
	})
	if err == nil && len(v.Faults) > 0 {
		return coded{fmt.Errorf("history has %d faults", len(v.Faults)), exitHistory}
	}
	return err
}
