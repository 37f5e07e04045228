package scenarios

import (
	"fmt"
	"regexp"
	"strings"
)

// words replaces what differs between runs by fixed words: addresses, times,
// incarnations, digests and change identifiers. A change identifier gets a
// number, so that a session shows whether it is the same one.
type words struct {
	network, dir string
	changes      map[string]string
}

var (
	timePattern        = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`)
	changePattern      = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	digestPattern      = regexp.MustCompile(`\b[0-9a-f]{64}\b`)
	incarnationPattern = regexp.MustCompile(`\b((?:broker|entry)-[a-z]+-\d+)[~#/@.-][0-9a-z]+\b`)
	// Which searchers a broker holds follows from its incarnation.
	heldPattern = regexp.MustCompile(`\b\d+/\d+\b`)
	// A lost reply shows as the end or the reset of the connection.
	lostReplyPattern = regexp.MustCompile(`(read tcp \S+: )?(unexpected EOF|EOF|connection reset by peer)`)
	gapPattern       = regexp.MustCompile(`  +`)
)

func newWords(network, dir string) *words {
	return &words{network: network, dir: dir, changes: make(map[string]string)}
}

func (w *words) replace(text string) string {
	text = strings.ReplaceAll(text, w.dir, "DIR")
	text = strings.ReplaceAll(text, w.network, "NET.")
	text = timePattern.ReplaceAllString(text, "TIME")
	text = digestPattern.ReplaceAllString(text, "DIGEST")
	text = incarnationPattern.ReplaceAllString(text, "$1")
	text = heldPattern.ReplaceAllString(text, "WARM/HELD")
	text = lostReplyPattern.ReplaceAllString(text, "REPLY LOST")
	text = changePattern.ReplaceAllStringFunc(text, func(id string) string {
		if w.changes[id] == "" {
			w.changes[id] = fmt.Sprintf("CHANGE-%d", len(w.changes)+1)
		}
		return w.changes[id]
	})
	// The width of columns depends on the addresses.
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		indent := len(line) - len(strings.TrimLeft(line, " "))
		lines[i] = line[:indent] + gapPattern.ReplaceAllString(strings.TrimRight(line[indent:], " "), "  ")
	}
	return strings.Join(lines, "\n")
}
