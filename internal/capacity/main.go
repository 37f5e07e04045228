// Command capacity measures what state, messages and platform calls cost at
// several sizes, and prints the slopes from which docs/CAPACITY.md is worked
// out. The cost of queries is measured by the command cost of internal/measure.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/internal/slope"
)

// options are the flags of the command.
type options struct {
	Binaries string   `long:"binaries" default:"bin" description:"directory of the built programs"`
	Out      string   `long:"out" default:"out/capacity" description:"directory for settings, certificates and logs"`
	Only     []string `long:"only" description:"job to run (repeatable); all if not given"`
}

// repeats is the number of runs at each size in one process.
const repeats = 3

// bench is what the jobs share.
type bench struct {
	options
	network *network
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(o options) error {
	out, err := filepath.Abs(o.Out)
	if err != nil {
		return errors.Trace(err)
	}
	o.Out = out
	if err := os.RemoveAll(o.Out); err != nil {
		return errors.Trace(err)
	}
	n, err := newNetwork(filepath.Join(o.Out, "certificates"))
	if err != nil {
		return err
	}
	b := &bench{options: o, network: n}
	for _, job := range []struct {
		name string
		run  func() error
	}{
		{"heartbeat", b.heartbeats},
		{"digest", b.digests},
		{"items", b.items},
		{"revision", b.revisions},
		{"owner", b.owners},
		{"status", b.status},
		{"searcher", b.searchers},
		{"connection", b.connections},
		{"platform", b.platform},
	} {
		if len(o.Only) > 0 && !slices.Contains(o.Only, job.name) {
			continue
		}
		began := time.Now()
		if err := job.run(); err != nil {
			return errors.Annotate(err, job.name)
		}
		fmt.Printf("(job %s took %.0f s)\n", job.name, time.Since(began).Seconds())
	}
	return nil
}

func show(tables ...*slope.Table) {
	for _, t := range tables {
		t.Write(os.Stdout)
	}
}

// processorTime returns the processor time that this process has used, of all
// threads, in user and kernel mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// microsOf returns the processor time of one of n calls, in microseconds.
func microsOf(n int, call func(i int) error) (float64, error) {
	before := processorTime()
	for i := range n {
		if err := call(i); err != nil {
			return 0, err
		}
	}
	return float64((processorTime() - before).Nanoseconds()) / 1000 / float64(n), nil
}

// heldBytes returns the heap and stacks in use after a collection.
func heldBytes() float64 {
	// The second collection frees what finalizers and pools held at the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
