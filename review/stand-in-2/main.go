// Command stand-in-2 plays the cases of the second review: it starts gateways as processes in front of
// stand-ins of the platform's store, of searchers and of callers, and checks what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRunTime bounds a run. A run that takes longer ends with exitFailed.
const maxRunTime = 110 * time.Second

// run is one run of a case.
type run struct {
	// trouble says whether the disruption is played.
	trouble bool
	started time.Time
	// dir is the temporary folder of the run.
	dir string

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	broken   int
}

// cases holds the cases by name. A case returns an error if it could not run.
var cases = map[string]func(*run) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-in-2 CASE RECORD")
		return exitFailed
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if r.record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if r.dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(r.dir) }()
	defer r.end()
	time.AfterFunc(maxRunTime, func() {
		r.end()
		os.Exit(exitFailed)
	})
	r.log("case %s, disruption %t", filepath.Base(os.Args[1]), r.trouble)
	if err := cases[os.Args[1]](r); err != nil {
		r.log("could not run: %v", err)
		return exitFailed
	}
	r.log("violations: %d", r.broken)
	if r.broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// end ends all gateways of the run.
func (r *run) end() {
	r.mu.Lock()
	all := r.gateways
	r.mu.Unlock()
	for _, g := range all {
		g.kill()
	}
}

// log writes a line to the record and to standard output.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.record, line)
}

// violation counts and records a violation of the rule.
func (r *run) violation(format string, args ...any) {
	r.log("VIOLATION "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}
