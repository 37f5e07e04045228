// wharf-standin runs stand-ins for the platform and for searchers, for tests
// and demonstrations.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/standin"
)

type platformCommand struct {
	Address     string        `long:"address" default:"127.0.0.1:0" description:"address of the object service"`
	Control     string        `long:"control" default:"127.0.0.1:0" description:"address of faults and statistics"`
	InstanceLag time.Duration `long:"instance-lag" default:"2s" description:"lag of the instance list"`
	WriteBudget int           `long:"write-budget" default:"300" description:"writes per second that are within the budget"`
	ReadBudget  int           `long:"read-budget" default:"2000" description:"reads per second that are within the budget"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	log := newLog()
	p, err := standin.StartPlatform(standin.PlatformConfig{
		Address: c.Address, Control: c.Control, InstanceLag: c.InstanceLag,
		WriteBudget: c.WriteBudget, ReadBudget: c.ReadBudget, Log: log,
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer p.Close()
	return serveUntilSignal(log, map[string]any{"address": p.Address(), "control": p.ControlAddress()})
}

type upstreamCommand struct {
	Settings       string        `long:"settings" required:"true" value-name:"DIR" description:"directory of service files"`
	FailureDomains []string      `long:"failure-domain" description:"host only the searchers of this failure domain (repeatable)"`
	Control        string        `long:"control" default:"127.0.0.1:0" description:"address of facts and controls"`
	Cold           bool          `long:"cold" description:"start cold"`
	ColdFactor     float64       `long:"cold-factor" default:"5" description:"how many times slower a cold searcher is"`
	Fallover       time.Duration `long:"fallover" default:"2s" description:"how long an overloaded cold searcher does not answer"`
	ColdNotice     time.Duration `long:"cold-notice" default:"500ms" description:"time to notice an unannounced turn to cold"`
	ServiceTime    time.Duration `long:"service-time" default:"10ms" description:"median time of a search"`
	BookingTime    time.Duration `long:"booking-time" default:"20ms" description:"median time of a booking"`
	Sigma          float64       `long:"sigma" default:"0.4" description:"shape of the lognormal service time"`
	StragglerShare float64       `long:"straggler-share" default:"0" description:"share of slow work"`
	StragglerTimes float64       `long:"straggler-factor" default:"10" description:"how many times slower stragglers are"`
	Connection     time.Duration `long:"connection-cost" default:"6ms" description:"cost of a connection to a search service"`
	BookingConnect time.Duration `long:"booking-connection-cost" default:"1ms" description:"cost of a connection to a booking service"`
	StateLag       time.Duration `long:"state-lag" default:"250ms" description:"lag of the state endpoint"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of service times"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	log := newLog()
	services, err := standin.ReadServices(c.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	u, err := standin.StartUpstream(standin.UpstreamConfig{
		Services: services, FailureDomains: c.FailureDomains, Control: c.Control, Seed: c.Seed, Log: log,
		Behaviour: standin.Behaviour{
			Cold: c.Cold, ColdFactor: c.ColdFactor, Fallover: c.Fallover, ColdNotice: c.ColdNotice,
			ServiceTime: c.ServiceTime, BookingTime: c.BookingTime, Sigma: c.Sigma,
			StragglerShare: c.StragglerShare, StragglerFactor: c.StragglerTimes,
			ConnectionCost: c.Connection, BookingConnectionCost: c.BookingConnect, StateLag: c.StateLag,
		},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer u.Close()
	return serveUntilSignal(log, map[string]any{"control": u.ControlAddress(), "searchers": u.Addresses()})
}

func newLog() *slog.Logger { return slog.New(slog.NewTextHandler(os.Stderr, nil)) }

// serveUntilSignal prints the line "ready" with the addresses as JSON and waits
// for SIGTERM or SIGINT.
func serveUntilSignal(log *slog.Logger, addresses map[string]any) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	text, err := json.Marshal(addresses)
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Printf("ready %s\n", text)
	<-ctx.Done()
	log.Info("stopping")
	return nil
}

func main() {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for name, command := range map[string]struct {
		text string
		data any
	}{
		"platform": {"Serve the platform's object service", &platformCommand{}},
		"upstream": {"Serve the searchers of a settings directory", &upstreamCommand{}},
	} {
		if _, err := parser.AddCommand(name, command.text, "", command.data); err != nil {
			panic(err)
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flagged, ok := errors.AsType[*flags.Error](err); ok && flagged.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintf(os.Stderr, "wharf-standin: %v\n", err)
		os.Exit(1)
	}
}
