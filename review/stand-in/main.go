// Command stand-in plays one case of the review: it starts gateways, and stand-ins of the
// store, the searchers and the clients, and judges what these see.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	maxLength = 115 * time.Second
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// result writes a line that is also printed.
func (r *record) result(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func main() {
	cases := map[string]func(*record, bool) (int, error){
		"late-refusal": lateRefusal,
		"stop":         stop,
		"evacuation":   evacuation,
		"recovery":     recovery,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-in CASE FOLDER")
		os.Exit(couldNot)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	r := &record{file: file, started: time.Now()}
	time.AfterFunc(maxLength, func() {
		r.note("the case took too long")
		os.Exit(couldNot)
	})
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = couldNot
	}
	r.note("verdict: %d (0 the rule held, 1 it was broken, 2 the case could not run)", code)
	_ = file.Close()
	os.Exit(code)
}
