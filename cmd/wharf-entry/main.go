// Command wharf-entry serves callers: it plans queries, scatters them to the
// brokers and gathers the replies.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/settings"
)

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"process settings"`
	static   staticOptions
}

func main() {
	var o options
	parser := flags.NewParser(&o, flags.Default)
	if _, err := parser.AddGroup("Static members", "", &o.static); err != nil {
		fail(err)
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fail(err)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "wharf-entry:", err)
	os.Exit(1)
}

func run(o options) error {
	text, err := os.ReadFile(o.Settings)
	if err != nil {
		return errors.Trace(err)
	}
	process, err := settings.ParseProcess(o.Settings, string(text))
	if err != nil {
		return err
	}
	log, err := newLog(process)
	if err != nil {
		return err
	}
	// SIGQUIT keeps its default: the process ends at once.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d, err := start(ctx, process, o.static, log)
	if err != nil {
		return err
	}
	select {
	case s := <-stop:
		log.Info("stopping", "signal", s.String())
		return d.stop()
	case err := <-d.failed:
		d.close()
		return err
	}
}

func newLog(p *settings.Process) (*slog.Logger, error) {
	level := slog.LevelInfo
	if p.LogLevel != "" {
		if err := level.UnmarshalText([]byte(p.LogLevel)); err != nil {
			return nil, errors.Annotatef(err, "log_level %q", p.LogLevel)
		}
	}
	options := &slog.HandlerOptions{Level: level}
	switch p.LogFormat {
	case "", "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	default:
		return nil, errors.Errorf("log_format %q is neither text nor json", p.LogFormat)
	}
}
