// Command soak runs gateways as separate processes before stand-ins of the
// platform, under random faults that overlap, and checks the promises from what
// callers and searchers see.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Binary    string        `long:"binary" default:"bin/wharf-gateway" description:"the program under test"`
	Seed      uint64        `long:"seed" description:"plays one seed; without it fresh seeds are drawn"`
	Runs      int           `long:"runs" default:"5" description:"how many fresh seeds are played"`
	Duration  time.Duration `long:"duration" default:"30s" description:"length of the load of a run"`
	Stops     bool          `long:"stops" description:"planned stops of one process after the other, and no other faults"`
	Instances int           `long:"instances" description:"with --stops: that many instances, with overlapping stops"`
	Out       string        `long:"out" default:"out/soak" description:"directory for the logs of the processes"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	seeds := []uint64{o.Seed}
	if o.Seed == 0 {
		seeds = nil
		for range o.Runs {
			seeds = append(seeds, rand.Uint64N(1<<32)+1)
		}
	}
	fmt.Println("seed requests good partial refused failed cut faults violations in_stops unauthorized flood rollouts")
	failed := false
	for _, seed := range seeds {
		r, err := run(plan{binary: o.Binary, out: o.Out, seed: seed, duration: o.Duration, stopsOnly: o.Stops, instances: o.Instances})
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		fmt.Println(r)
		for _, v := range r.violations {
			fmt.Println("  ", v)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}
