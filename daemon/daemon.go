// Package daemon holds what the daemons have in common: settings, logs,
// identity, control state, the operator port and signals.
package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// Exit codes of a daemon.
const (
	exitStopped = 0
	exitFailed  = 1
	exitUsage   = 2
)

// platformTimeout bounds one call to the platform, apart from watches.
const platformTimeout = time.Second

// Service is the part of a daemon that its role adds.
type Service interface {
	// Run works until ctx ends. Its error ends the process.
	Run(ctx context.Context) error
	// Stop is the planned stop. It returns when no request is open, or with an
	// error when ctx ends before.
	Stop(ctx context.Context) error
	// Status fills in what only the service knows.
	Status(s *operator.Status)
	// Explain returns what is known of a request.
	Explain(id string) (any, bool)
}

// Base is what every daemon has before its service is made.
type Base struct {
	Process  *settings.Process
	Self     control.Instance
	Identity *identity.Identity
	State    *control.State
	Store    objectstore.Store
	Clock    clock.Clock
	Registry *prometheus.Registry
	Log      *slog.Logger
}

// Member returns the membership of the process. Holder is nil for an entry.
func (b *Base) Member(holder member.Holder) (*member.Member, error) {
	return member.New(member.Config{
		Self: b.Self, Seeds: b.Process.Seeds, State: b.State, Store: b.Store,
		Holder: holder, Clock: b.Clock, Log: b.Log, Registry: b.Registry,
	})
}

// Main runs a daemon with the arguments of the command line and returns its
// exit code.
func Main(role control.Role, newService func(*Base) (Service, error)) int {
	return run(os.Args[1:], os.Stderr, role, newService)
}

type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file of this process (docs/settings.md)"`
}

func run(args []string, stderr io.Writer, role control.Role, newService func(*Base) (Service, error)) int {
	var o options
	if _, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		if flags.WroteHelp(err) {
			return exitStopped
		}
		return exitUsage
	}
	process, err := readProcess(o.Settings, role)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	log := newLog(process, stderr)
	if err := serve(process, role, log, newService, notify()); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	log.Info("stopped")
	return exitStopped
}

func readProcess(path string, role control.Role) (*settings.Process, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	process, err := settings.ParseProcess(path, string(text))
	if err != nil {
		return nil, err
	}
	if role == control.RoleEntry && process.CallerAddress == "" {
		return nil, errors.Errorf("%s: caller_address is missing, an entry needs it", path)
	}
	return process, nil
}

// newLog returns the log of a process whose settings were validated.
func newLog(p *settings.Process, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(p.LogLevel))
	o := &slog.HandlerOptions{Level: level}
	if p.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, o))
	}
	return slog.New(slog.NewTextHandler(w, o))
}

func newBase(p *settings.Process, role control.Role, log *slog.Logger) (*Base, error) {
	id, err := identity.Load(identity.Files{Certificate: p.Certificate, Key: p.Key, CA: p.CA})
	if err != nil {
		return nil, err
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	store, err := objectstore.NewHTTP(objectstore.HTTPConfig{Address: p.PlatformAddress, Timeout: platformTimeout, Registry: registry})
	if err != nil {
		return nil, err
	}
	self := control.Instance{
		// Each start is an incarnation of its own, so that state about an earlier
		// one is never taken for this one's.
		ID:              p.ID + "-" + uuid.NewString()[:8],
		Role:            role,
		FailureDomain:   p.FailureDomain,
		CallerAddress:   p.CallerAddress,
		PeerAddress:     p.PeerAddress,
		OperatorAddress: p.OperatorAddress,
		State:           control.Live,
	}
	return &Base{
		Process: p, Self: self, Identity: id, State: control.NewState(), Store: store,
		Clock: clock.System{}, Registry: registry, Log: log.With("id", self.ID),
	}, nil
}

// listenOperators opens the operator port.
func (b *Base) listenOperators(service Service) (*operator.Server, error) {
	return operator.Listen(operator.Config{
		Address:  b.Process.OperatorAddress,
		Identity: b.Identity,
		State:    b.State,
		Status: func() operator.Status {
			s := operator.Status{ID: b.Self.ID, Role: b.Self.Role, FailureDomain: b.Self.FailureDomain}
			service.Status(&s)
			return s
		},
		Explain:  service.Explain,
		Gatherer: b.Registry,
		Log:      b.Log,
	})
}
