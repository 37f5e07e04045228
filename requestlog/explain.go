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

// ErrUnknownRequest reports that no log line names the request. The rate of such lines is
// limited. A request has none if it was answered completely and in time, was refused with a
// status below 500, or was canceled by its caller.
const ErrUnknownRequest = errors.ConstError("no line names the request")

// maxLineBytes limits the length of a log line that Explain can read.
const maxLineBytes = 4 << 20

// Explain reads the logs of instances. It writes the lines about a request as text, followed
// by the other lines about the searchers that the request was sent to. Both groups keep the
// order of the logs. Lines that can't be decoded as JSON are skipped. Explain fails
// with ErrUnknownRequest if no line names the request. It also fails if a log can't be read or
// has a line longer than maxLineBytes, or if w fails.
func Explain(w io.Writer, request string, logs ...io.Reader) error {
	var requestLines, searcherLines []Line
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
				requestLines = append(requestLines, l)
			case l.Searcher != "":
				searcherLines = append(searcherLines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return errors.Trace(err)
		}
	}
	if len(requestLines) == 0 {
		return errors.Annotatef(ErrUnknownRequest, "request %q", request)
	}
	var searchers []string
	for i := range requestLines {
		if _, err := io.WriteString(w, requestLines[i].String()); err != nil {
			return errors.Trace(err)
		}
		searchers = append(searchers, requestLines[i].searchers()...)
	}
	for _, l := range searcherLines {
		if slices.Contains(searchers, l.Searcher) {
			if _, err := fmt.Fprintf(w, "%s %s: %s: %s\n", l.Time, l.Instance, l.Searcher, l.Message); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// trimPrefix removes what precedes the JSON object in a line. Log collectors add such
// prefixes.
func trimPrefix(line []byte) []byte {
	if i := slices.Index(line, '{'); i > 0 {
		return line[i:]
	}
	return line
}

// searchers returns the searchers of all attempts in the line. It may name one repeatedly.
func (l *Line) searchers() []string {
	var all []string
	add := func(attempts []AttemptRecord) {
		for _, a := range attempts {
			if a.Searcher != "" {
				all = append(all, a.Searcher)
			}
		}
	}
	all = append(all, l.Searchers...)
	add(l.Attempts)
	for _, attempts := range l.AttemptsByShard {
		add(attempts)
	}
	return all
}

// String returns the log line as text: a summary, and one line for each attempt. Each line
// ends with a newline.
func (l *Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s: %s", l.Time, l.Instance, l.Message)
	switch l.Message {
	case Refused:
		fmt.Fprintf(&b, " with status %d: %s\n", l.Status, l.Reason)
	case PartialOrLate:
		fmt.Fprintf(&b, ": %d of %d shards after %d ms, %d needed (route %s)\n", l.Answered, l.Shards, l.AfterMs, l.Needed, l.Route)
	case OpenAtEnd:
		fmt.Fprintf(&b, ": %s after %d ms (route %s)", l.Stage, l.AfterMs, l.Route)
		if len(l.Searchers) > 0 {
			fmt.Fprintf(&b, ", with %s", strings.Join(l.Searchers, ", "))
		}
		b.WriteString("\n")
	case ReadLate:
		fmt.Fprintf(&b, ": up to %d ms after it arrived\n", l.AfterMs)
	case UnansweredOrLate:
		fmt.Fprintf(&b, ": after %d ms (route %s)\n", l.AfterMs, l.Route)
	default:
		b.WriteString("\n")
	}
	writeAttempts(&b, l.Service, l.Attempts)
	services := make([]string, 0, len(l.AttemptsByShard))
	for service := range l.AttemptsByShard {
		services = append(services, service)
	}
	sort.Strings(services)
	for _, service := range services {
		writeAttempts(&b, service, l.AttemptsByShard[service])
	}
	return b.String()
}

// writeAttempts writes one line of text for each attempt at a service.
func writeAttempts(b *strings.Builder, service string, attempts []AttemptRecord) {
	for _, a := range attempts {
		switch {
		case a.Searcher == "":
			fmt.Fprintf(b, "  %s: at %d ms no attempt: %s\n", service, a.StartedMs, a.Outcome)
		case a.EndedMs == 0:
			fmt.Fprintf(b, "  %s: from %d ms on at %s: %s\n", service, a.StartedMs, a.Searcher, a.Outcome)
		default:
			fmt.Fprintf(b, "  %s: from %d to %d ms at %s: %s\n", service, a.StartedMs, a.EndedMs, a.Searcher, a.Outcome)
		}
	}
}
