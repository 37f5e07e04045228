// Command wharf-gateway serves callers on the users' platform. It answers directory
// queries with the addresses that callers should use, and forwards their requests to
// searchers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/memory"
	"github.com/wisteriawharf/wisteriawharf/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type options struct {
	LogLevel string `long:"log-level" value-name:"LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"minimum level of log messages"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	// A signal that comes while the settings are read must not end the process.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var o options
	parser := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "The settings of the instance are read from the file whose path the platform sets in the environment (docs/settings.md)."
	if _, err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	settings, err := platform.ReadInstanceSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	memory.LimitRuntime(settings.MemoryBytes)
	log := newLog(o.LogLevel).With("instance", settings.Name)
	handled := make(chan os.Signal, cap(signals))
	guard := newExitGuard(func() time.Duration { return currentGrace(settings.Bounds.StopGrace, log) }, clock.System{}, log)
	go guard.run(signals, handled)
	defer guard.end()
	if err := serve(context.Background(), settings, log, handled); err != nil {
		log.Error("stopped", "error", err.Error())
		return exitFailed
	}
	log.Info("stopped")
	return exitOK
}

// currentGrace returns the stop grace period in the settings file, which may have changed since the start, with or
// without a signal. If it can't be read, that of the start counts.
func currentGrace(atStart time.Duration, log *slog.Logger) time.Duration {
	grace, err := platform.ReadStopGrace()
	if err != nil {
		go log.Warn("grace could not be read again, that of the start counts", "error", err.Error()) // the log may block
		return atStart
	}
	return grace
}

func newLog(level string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level)) // the flag parser accepts only known levels
	return slog.New(slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: l}))
}
