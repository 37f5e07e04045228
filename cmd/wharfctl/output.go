package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/publish"
)

// show writes value as JSON if that was asked for, otherwise what table writes.
func (a *app) show(value any, table func(w io.Writer)) error {
	if a.options.Output == "json" {
		encoder := json.NewEncoder(a.env.stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(value))
	}
	table(a.env.stdout)
	return nil
}

// columnGap is the space between two columns of a table.
const columnGap = 2

func writeTable(w io.Writer, header []string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

func (a *app) printChanges(w io.Writer, changes []publish.Change) {
	for _, c := range changes {
		_, _ = fmt.Fprintln(w, "  -", c.Text)
	}
}
