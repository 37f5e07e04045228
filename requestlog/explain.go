package requestlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/juju/errors"
)

// ErrUnknownRequest reports that no line names the request. Lines about single requests
// are limited, and requests that were served whole and in time have none.
const ErrUnknownRequest = errors.ConstError("no line names the request")

// maxLineBytes bounds one line of a log.
const maxLineBytes = 4 << 20

// Explain reads logs of instances and writes what they tell of a request, and what else
// they tell of the searchers that it was sent to. It fails with ErrUnknownRequest, or
// with the error of a reader. Lines that are no JSON are passed over.
func Explain(w io.Writer, request string, logs ...io.Reader) error {
	var found, about []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			var l Line
			if json.Unmarshal(trimPrefix(scanner.Bytes()), &l) != nil {
				continue
			}
			switch {
			case l.Request == request:
				found = append(found, l)
			case l.Searcher != "":
				about = append(about, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return errors.Trace(err)
		}
	}
	if len(found) == 0 {
		return errors.Annotatef(ErrUnknownRequest, "request %q", request)
	}
	var searchers []string
	for i := range found {
		if _, err := io.WriteString(w, found[i].String()); err != nil {
			return errors.Trace(err)
		}
		searchers = append(searchers, found[i].searchers()...)
	}
	for _, l := range about {
		if slices.Contains(searchers, l.Searcher) {
			if _, err := fmt.Fprintf(w, "%s %s: %s: %s\n", l.Time, l.Instance, l.Searcher, l.Message); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// trimPrefix removes what stands before the JSON of a line, as programs that collect
// logs put it there.
func trimPrefix(line []byte) []byte {
	if i := slices.Index(line, '{'); i > 0 {
		return line[i:]
	}
	return line
}

func (l *Line) searchers() []string {
	var all []string
	add := func(tries []Attempt) {
		for _, t := range tries {
			if t.Searcher != "" {
				all = append(all, t.Searcher)
			}
		}
	}
	add(l.Attempts)
	for _, tries := range l.AttemptsByShard {
		add(tries)
	}
	return all
}

// String returns the line as text of one line or several, each with its end.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time, l.Instance, l.Message)
	switch l.Message {
	case Refused:
		fmt.Fprintf(&b, " with status %d: %s\n", l.Status, l.Reason)
	case PartialOrLate:
		fmt.Fprintf(&b, ": %d of %d shards after %d ms, %d needed (route %s)\n", l.Answered, l.Shards, l.AfterMs, l.Needed, l.Route)
	case UnansweredOrLate:
		fmt.Fprintf(&b, ": after %d ms (route %s)\n", l.AfterMs, l.Route)
	default:
		b.WriteString("\n")
	}
	writeTries(&b, l.Service, l.Attempts)
	services := make([]string, 0, len(l.AttemptsByShard))
	for service := range l.AttemptsByShard {
		services = append(services, service)
	}
	sort.Strings(services)
	for _, service := range services {
		writeTries(&b, service, l.AttemptsByShard[service])
	}
	return b.String()
}

func writeTries(b *strings.Builder, service string, tries []Attempt) {
	for _, t := range tries {
		switch {
		case t.Searcher == "":
			fmt.Fprintf(b, "  %s: at %d ms no attempt: %s\n", service, t.StartedMs, t.Outcome)
		case t.EndedMs == 0:
			fmt.Fprintf(b, "  %s: from %d ms on at %s: %s\n", service, t.StartedMs, t.Searcher, t.Outcome)
		default:
			fmt.Fprintf(b, "  %s: from %d to %d ms at %s: %s\n", service, t.StartedMs, t.EndedMs, t.Searcher, t.Outcome)
		}
	}
}
