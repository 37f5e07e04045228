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
	run(o)
}

func run(o options) {
	o.Out = must(filepath.Abs(o.Out))
	check(os.RemoveAll(o.Out))
	b := &bench{options: o, network: newNetwork(filepath.Join(o.Out, "certificates"))}
	for _, job := range []struct {
		name string
		run  func()
	}{
		{"heartbeat", b.heartbeats},
		{"digest", b.digests},
		{"items", b.items},
		{"spread", b.spreads},
		{"revision", b.revisions},
		{"owner", b.owners},
		{"status", b.status},
		{"searcher", b.searchers},
		{"connection", b.connections},
		{"departure", b.departures},
		{"platform", b.platform},
	} {
		if len(o.Only) > 0 && !slices.Contains(o.Only, job.name) {
			continue
		}
		began := time.Now()
		job.run()
		fmt.Printf("(job %s took %.0f s)\n", job.name, time.Since(began).Seconds())
	}
}

// check ends the run on an error. A panic runs the deferred calls, which end
// the programs that a job has started.
func check(err error) {
	if err != nil {
		panic(err)
	}
}

func must[T any](value T, err error) T {
	check(err)
	return value
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
	check(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// microsOf returns the processor time of one of n calls, in microseconds.
func microsOf(n int, call func(i int)) float64 {
	before := processorTime()
	for i := range n {
		call(i)
	}
	return float64((processorTime() - before).Nanoseconds()) / 1000 / float64(n)
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
