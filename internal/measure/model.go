package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/internal/simulation"
)

// handling is the time by which a slot was held longer than the service time in
// deployments on one quiet machine.
const handling = time.Millisecond

// modelling prints what each simplification of package simulation is worth.
type modelling struct {
	Entries int     `long:"entries" default:"6" description:"number of entries"`
	Shards  int     `long:"fan-out" default:"10" description:"shards of a query"`
	Load    float64 `long:"load" default:"0.85" description:"load without stragglers"`
	Queries int     `long:"queries" default:"40000" description:"queries of each run"`
	Seeds   int64   `long:"seeds" default:"4" description:"runs of which the mean is printed"`
}

// Execute implements flags.Commander.
func (m *modelling) Execute([]string) error {
	base := simulation.Config{Shards: m.Shards, Entries: m.Entries, Load: m.Load, Queries: m.Queries, Handling: handling}
	m.queueing(base)
	base.Load = hedgeLoad
	m.hedging(base)
	return nil
}

// variant changes one thing of the model.
type variant struct {
	name   string
	change func(*simulation.Config)
}

var queueingVariants = []variant{
	{"as built", func(*simulation.Config) {}},
	{"no handling", func(c *simulation.Config) { c.Handling = 0 }},
	{"one entry", func(c *simulation.Config) { c.Entries = 1 }},
	{"nine entries", func(c *simulation.Config) { c.Entries = 9 }},
	{"forty entries", func(c *simulation.Config) { c.Entries = 40 }},
	{"two choices", func(c *simulation.Config) { c.Choice = simulation.ChooseTwo }},
	{"two choices, present states", func(c *simulation.Config) { c.Exact, c.Choice = true, simulation.ChooseTwo }},
	{"present states", func(c *simulation.Config) { c.Exact = true }},
	{"reports every 10 ms", func(c *simulation.Config) { c.Status = 10 * time.Millisecond }},
	{"states of four other searchers in replies", func(c *simulation.Config) { c.Siblings = 4 }},
	{"no state in replies", func(c *simulation.Config) { c.NoPiggyback = true }},
	{"service time for parts sent since the report", func(c *simulation.Config) { c.ServicePerPart = true }},
	{"returns from one part longer", func(c *simulation.Config) { c.Margin = 1 }},
	{"returns from one part longer, no handling", func(c *simulation.Config) { c.Margin, c.Handling = 1, 0 }},
	{"returns from one part longer, forty entries", func(c *simulation.Config) { c.Margin, c.Entries = 1, 40 }},
	{"returns from two parts longer", func(c *simulation.Config) { c.Margin = 2 }},
	{"returns, states of four other searchers in replies", func(c *simulation.Config) { c.Margin, c.Siblings = 1, 4 }},
}

var hedgingVariants = []variant{
	{"as built", func(*simulation.Config) {}},
	{"no handling", func(c *simulation.Config) { c.Handling = 0 }},
	{"returns from one part longer", func(c *simulation.Config) { c.Margin = 1 }},
	{"delay from the estimated start", func(c *simulation.Config) { c.Estimate = true }},
	{"delay from the start", func(c *simulation.Config) { c.Started = true }},
	{"no refunds", func(c *simulation.Config) { c.NoRefund = true }},
}

func (m *modelling) queueing(base simulation.Config) {
	ideal := m.mean(base, func(c *simulation.Config) { c.Choice = simulation.ChooseShared })
	fmt.Printf("load %g; one shared queue for each shard: p50 %.1f ms, p99 %.1f ms\n", base.Load, ms(ideal.P50), ms(ideal.P99))
	fmt.Println("case | p50 ms | p99 ms | ratio to the shared queue | returned")
	for _, v := range queueingVariants {
		o := m.mean(base, v.change)
		fmt.Printf("%s | %.1f | %.1f | %.2f | %.3f\n", v.name, ms(o.P50), ms(o.P99), float64(o.P99)/float64(ideal.P99), o.Returned)
	}
}

func (m *modelling) hedging(base simulation.Config) {
	fmt.Printf("load %g counted with stragglers\n", base.Load)
	fmt.Println("case | stragglers | budget | p50 ms | p99 ms | ratio to p99 without stragglers | hedges | extra load")
	for _, v := range hedgingVariants {
		calm := m.mean(base, v.change)
		for _, s := range []struct{ stragglers, budget float64 }{{0.01, 0.03}, {0.05, 0.08}} {
			o := m.mean(base, func(c *simulation.Config) {
				v.change(c)
				c.Stragglers, c.Budget = s.stragglers, s.budget
			})
			fmt.Printf("%s | %g | %g | %.1f | %.1f | %.2f | %.4f | %.4f\n", v.name, s.stragglers, s.budget,
				ms(o.P50), ms(o.P99), float64(o.P99)/float64(calm.P99), o.Hedges, o.Extra)
		}
	}
}

// mean returns the mean outcome over the seeds, which are the same for all
// cases.
func (m *modelling) mean(c simulation.Config, change func(*simulation.Config)) simulation.Outcome {
	change(&c)
	outcomes := make([]simulation.Outcome, m.Seeds)
	var group sync.WaitGroup
	for seed := range m.Seeds {
		seeded := c
		seeded.Seed = seed
		group.Go(func() { outcomes[seed] = seeded.Run() })
	}
	group.Wait()
	var sum simulation.Outcome
	for _, o := range outcomes {
		sum.P50 += o.P50 / time.Duration(m.Seeds)
		sum.P99 += o.P99 / time.Duration(m.Seeds)
		sum.Hedges += o.Hedges / float64(m.Seeds)
		sum.Extra += o.Extra / float64(m.Seeds)
		sum.Returned += o.Returned / float64(m.Seeds)
	}
	return sum
}

func ms(d time.Duration) float64 { return d.Seconds() * 1000 }
