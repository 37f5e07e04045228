// wharf-load generates open-loop load on entries, checks every answer and
// reports the results.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/load"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

type options struct {
	Entries         []string      `long:"entry" required:"true" value-name:"ADDRESS" description:"caller address of an entry to ask for addresses (repeatable)"`
	Searches        []string      `long:"search" value-name:"SERVICE[=SHARE]" description:"search service and its share of the load (repeatable)"`
	Bookings        []string      `long:"book" value-name:"SERVICE[=SHARE]" description:"booking service and its share of the load (repeatable)"`
	Rate            float64       `long:"rate" default:"100" description:"arrivals per second"`
	Duration        time.Duration `long:"duration" default:"10s" description:"length of the run"`
	Seed            uint64        `long:"seed" default:"1" description:"seed of arrivals"`
	SearchDeadline  time.Duration `long:"search-deadline" default:"110ms" description:"deadline of searches"`
	BookingDeadline time.Duration `long:"booking-deadline" default:"1s" description:"deadline of bookings"`
	Grace           time.Duration `long:"grace" default:"1s" description:"how long after its deadline a request is given up"`
	Callers         int           `long:"callers" default:"4" description:"number of caller names"`
	RepeatShare     float64       `long:"repeat-share" default:"0.1" description:"share of bookings sent twice with one key"`
	ConcurrentShare float64       `long:"concurrent-share" default:"0.5" description:"share of repeats sent at the same time"`
	Facts           []string      `long:"facts" value-name:"ADDRESS" description:"control address of an upstream stand-in (repeatable)"`
	MaxOutstanding  int           `long:"max-outstanding" default:"20000" description:"requests in flight at most"`
	Out             string        `long:"out" value-name:"FILE" description:"file for the result as JSON"`
	Strict          bool          `long:"strict" description:"exit with 2 if an answer breaks an invariant, a request was cut or facts were not read"`
}

func (o options) config(log *slog.Logger) (load.Config, error) {
	config := load.Config{
		Entries: o.Entries, Rate: o.Rate, Duration: o.Duration, Seed: o.Seed,
		SearchDeadline: o.SearchDeadline, BookingDeadline: o.BookingDeadline, Grace: o.Grace,
		Callers: o.Callers, RepeatShare: o.RepeatShare, ConcurrentShare: o.ConcurrentShare,
		Facts: o.Facts, MaxOutstanding: o.MaxOutstanding, Log: log,
	}
	if err := addShares(&config, settings.KindSearch, o.Searches); err != nil {
		return config, errors.Trace(err)
	}
	return config, errors.Trace(addShares(&config, settings.KindBooking, o.Bookings))
}

func addShares(config *load.Config, kind settings.Kind, given []string) error {
	for _, text := range given {
		share, err := parseShare(text, kind)
		if err != nil {
			return errors.Trace(err)
		}
		config.Mix = append(config.Mix, share)
	}
	return nil
}

func parseShare(text string, kind settings.Kind) (load.Share, error) {
	name, weight, given := strings.Cut(text, "=")
	share := load.Share{Service: name, Kind: kind, Weight: 1}
	if !given {
		return share, nil
	}
	parsed, err := strconv.ParseFloat(weight, 64)
	share.Weight = parsed
	return share, errors.Annotatef(err, "share of %q", name)
}

func main() {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		if flagged, ok := errors.AsType[*flags.Error](err); ok && flagged.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintf(os.Stderr, "wharf-load: %v\n", err)
		os.Exit(1)
	}
	report, err := run(o)
	if err != nil {
		fmt.Fprintf(os.Stderr, "wharf-load: %v\n", err)
		os.Exit(1)
	}
	unchecked := len(o.Facts) > 0 && !report.FactsChecked
	if o.Strict && (report.Violations() > 0 || report.RequestsCut > 0 || unchecked) {
		os.Exit(2)
	}
}

func run(o options) (*load.Report, error) {
	config, err := o.config(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	report, err := load.Run(ctx, config)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if o.Out != "" {
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return nil, errors.Trace(err)
		}
		if err := os.WriteFile(o.Out, append(text, '\n'), 0o644); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return report, errors.Trace(report.WriteTable(os.Stdout))
}
