package settings

import (
	"fmt"
	"slices"
	"sort"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	Path   string `json:"path"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Key is the path of keys to the value, with positions in lists counted
	// from zero. It is empty for a fault of the file as a whole.
	Key string `json:"key,omitempty"`
	// Text says what is wrong.
	Text string `json:"text"`
	// Allowed says what may stand there instead.
	Allowed string `json:"allowed"`
}

// String returns the problem in one line, in the form that editors can jump to.
func (p Problem) String() string {
	key := ""
	if p.Key != "" {
		key = p.Key + ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s; allowed: %s", p.Path, p.Line, p.Column, key, p.Text, p.Allowed)
}

// InvalidError holds every problem that was found in the files.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// invalid returns nil if there are no problems, otherwise an InvalidError with
// the problems in the order of files, lines and columns.
func invalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	sort.SliceStable(problems, func(i, j int) bool {
		a, b := problems[i], problems[j]
		if a.Path != b.Path {
			return a.Path < b.Path
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
	return &InvalidError{Problems: slices.Compact(problems)}
}
