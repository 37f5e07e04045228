// Command wharf-broker owns searchers and serves entries.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

const (
	defaultStopTimeout = 30 * time.Second

	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file of this process"`
	Services string `long:"services" value-name:"DIR" description:"for tests: serve the service settings in DIR as the only member, without a platform"`
}

func main() { os.Exit(run(os.Args[1:], os.Stderr)) }

func run(args []string, stderr io.Writer) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		if flags.WroteHelp(err) {
			return 0
		}
		return exitUsage
	}
	process, err := readProcess(o.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	log, err := newLog(process, stderr)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	defer signal.Stop(signals)
	if err := serve(process, o, log, signals); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return 0
}

func readProcess(path string) (*settings.Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	process, err := settings.ParseProcess(path, string(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if process.StopTimeout == 0 {
		process.StopTimeout = defaultStopTimeout
	}
	return process, nil
}

func newLog(p *settings.Process, w io.Writer) (*slog.Logger, error) {
	var level slog.Level
	if p.LogLevel != "" {
		if err := level.UnmarshalText([]byte(p.LogLevel)); err != nil {
			return nil, errors.Annotate(err, "log_level")
		}
	}
	o := &slog.HandlerOptions{Level: level}
	switch p.LogFormat {
	case "", "text":
		return slog.New(slog.NewTextHandler(w, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(w, o)), nil
	default:
		return nil, errors.Errorf("log_format %q is neither text nor json", p.LogFormat)
	}
}

// serve runs the broker until a signal. SIGTERM and SIGINT start a planned
// stop, which a second one does not change; SIGQUIT stops at once.
func serve(p *settings.Process, o options, log *slog.Logger, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := wire(p, o, log)
	if err != nil {
		return errors.Trace(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	var stopping <-chan struct{}
	var hard <-chan time.Time
	for {
		select {
		case err := <-ended:
			return errors.Trace(err)
		case s := <-signals:
			if s == syscall.SIGQUIT {
				return errors.New("immediate stop by signal")
			}
			if stopping != nil {
				log.Info("planned stop is in progress already")
				continue
			}
			log.Info("planned stop", "bound", p.StopTimeout)
			hard = time.After(p.StopTimeout)
			done := make(chan struct{})
			stopping = done
			go func() {
				defer close(done)
				d.stop(ctx)
				cancel()
			}()
		case <-hard:
			return errors.Errorf("planned stop took longer than %v", p.StopTimeout)
		}
	}
}
