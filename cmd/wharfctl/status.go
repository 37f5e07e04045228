package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/requestlog"
)

// fleet returns the instances of the operator settings, and a function that
// closes the connections to them.
func (a *app) fleet() (operator.Fleet, func(), error) {
	s, err := a.options.resolve()
	if err != nil {
		return operator.Fleet{}, nil, err
	}
	id, _, err := a.operatorIdentity()
	if err != nil {
		return operator.Fleet{}, nil, err
	}
	client := operator.NewClient(id, s.Timeout)
	return operator.Fleet{Port: client, Addresses: s.OperatorAddresses}, client.Close, nil
}

// withFleet calls use with the instances of the operator settings and a context
// that bounds the command.
func (a *app) withFleet(use func(context.Context, operator.Fleet) error) error {
	fleet, done, err := a.fleet()
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel, err := a.context()
	if err != nil {
		return err
	}
	defer cancel()
	return use(ctx, fleet)
}

// withInstances is like withFleet, for commands that do nothing without
// instances.
func (a *app) withInstances(use func(context.Context, operator.Fleet) error) error {
	return a.withFleet(func(ctx context.Context, fleet operator.Fleet) error {
		if len(fleet.Addresses) == 0 {
			return errors.New("operator addresses are missing: give --operator-address or operator_addresses in the settings file")
		}
		return use(ctx, fleet)
	})
}

type statusCommand struct {
	app *app
}

// Execute shows all instances. It fails if none answers.
func (c *statusCommand) Execute([]string) error {
	reports, err := c.app.reports()
	if len(reports) == 0 {
		return err
	}
	if shown := c.app.show(reports, func(w io.Writer) { printReports(w, reports) }); shown != nil {
		return shown
	}
	return err
}

// reports returns the status of all known instances, with an error if none
// answered.
func (a *app) reports() (reports []operator.Report, err error) {
	err = a.withInstances(func(ctx context.Context, fleet operator.Fleet) error {
		reports = fleet.Reports(ctx)
		if !slices.ContainsFunc(reports, func(r operator.Report) bool { return r.Status != nil }) {
			return errors.New("no instance was reached")
		}
		return nil
	})
	return reports, err
}

func printReports(w io.Writer, reports []operator.Report) {
	rows := make([][]string, 0, len(reports))
	var notes []string
	seen := make(map[string]bool)
	for _, r := range reports {
		if r.Status == nil {
			rows = append(rows, []string{r.Address, "-", "-", "-", "not reached", "-", "-", "-", "-"})
			notes = append(notes, r.Error)
			continue
		}
		s := r.Status
		if s.Reason != "" {
			notes = append(notes, fmt.Sprintf("%s does not serve yet: %s", s.ID, s.Reason))
		}
		rows = append(rows, []string{
			r.Address, s.ID, string(s.Role), s.FailureDomain, string(s.State), fmt.Sprint(s.Revision),
			known(s.PlatformReachable), fmt.Sprintf("%d/%d", s.Warm(), len(s.Searchers)),
			strings.Join(append(append([]string{}, s.OutDomains...), s.OutUpstreams...), ","),
		})
		for _, o := range s.DirectOrders {
			if !seen[o.ChangeID] {
				seen[o.ChangeID] = true
				notes = append(notes, fmt.Sprintf("not recorded yet: %s %s out=%t by %s, reason %q, change %s", o.Kind, o.Name, o.Out, o.Author, o.Reason, o.ChangeID))
			}
		}
	}
	writeTable(w, []string{"ADDRESS", "ID", "ROLE", "DOMAIN", "STATE", "REVISION", "PLATFORM", "WARM/HELD", "OUT"}, rows)
	for _, n := range notes {
		_, _ = fmt.Fprintln(w, n)
	}
}

// known shows what a process may not know.
func known(b *bool) string {
	if b == nil {
		return "-"
	}
	return yesNo(*b)
}

type awaitedCommand struct {
	app *app
}

// Execute shows what takeovers wait for, as any reached instance knows it.
func (c *awaitedCommand) Execute([]string) error {
	reports, err := c.app.reports()
	if err != nil {
		return err
	}
	var awaited []operator.AwaitedProcess
	for _, r := range reports {
		if r.Status != nil {
			awaited = append(awaited, r.Status.Awaited...)
		}
	}
	slices.SortFunc(awaited, func(a, b operator.AwaitedProcess) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.ID, b.ID))
	})
	awaited = slices.Compact(awaited)
	return c.app.show(awaited, func(w io.Writer) {
		rows := make([][]string, 0, len(awaited))
		for _, p := range awaited {
			rows = append(rows, []string{p.FailureDomain, p.ID, p.Address})
		}
		writeTable(w, []string{"DOMAIN", "PROCESS", "ADDRESS"}, rows)
	})
}

type explainCommand struct {
	app  *app
	Logs []string `long:"log" value-name:"FILE" description:"log of a gateway to read in place of asking instances, - for standard input; may be repeated"`
	Args struct {
		RequestID string `positional-arg-name:"REQUEST-ID" description:"identifier from the answer to the caller"`
	} `positional-args:"yes" required:"yes"`
}

// Execute asks all instances about the request, or reads the logs that are given.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.read()
	}
	return c.app.withInstances(func(ctx context.Context, fleet operator.Fleet) error {
		all, err := fleet.Explain(ctx, c.Args.RequestID)
		if err != nil {
			return err
		}
		return c.app.show(all, func(w io.Writer) {
			for _, e := range all {
				_, _ = fmt.Fprintf(w, "%s:\n%s\n", e.Address, e.Explanation)
			}
		})
	})
}

// read explains the request from logs.
func (c *explainCommand) read() error {
	var logs []io.Reader
	for _, name := range c.Logs {
		if name == "-" {
			logs = append(logs, c.app.env.stdin)
			continue
		}
		file, err := os.Open(name)
		if err != nil {
			return errors.Annotate(err, "log")
		}
		defer func() { _ = file.Close() }() // nothing was written
		logs = append(logs, file)
	}
	err := requestlog.Explain(c.app.env.stdout, c.Args.RequestID, logs...)
	if errors.Is(err, requestlog.ErrUnknownRequest) {
		return coded{err, exitNotFound}
	}
	return err
}

type completionCommand struct {
	app *app
}

// completionScript asks the program itself for completions, as go-flags
// provides them.
const completionScript = `_wharfctl() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -F _wharfctl wharfctl
`

// Execute prints the script.
func (c *completionCommand) Execute([]string) error {
	_, err := io.WriteString(c.app.env.stdout, completionScript)
	return errors.Trace(err)
}
