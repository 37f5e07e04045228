package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// notify returns the signals that end a daemon.
func notify() chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	return signals
}

// serve runs the service until a signal ends it. SIGTERM and SIGINT start a
// planned stop, which a second one does not change; SIGQUIT stops at once.
func serve(p *settings.Process, role control.Role, log *slog.Logger, newService func(*Base) (Service, error), signals <-chan os.Signal) error {
	base, err := newBase(p, role, log)
	if err != nil {
		return err
	}
	service, err := newService(base)
	if err != nil {
		return err
	}
	operators, err := base.listenOperators(service)
	if err != nil {
		return err
	}
	defer operators.Close(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- service.Run(ctx) }()
	base.Log.Info("started", "role", role, "failure_domain", p.FailureDomain, "peer_address", p.PeerAddress)
	if err := awaitStop(base.Log, signals, ended); err != nil {
		return err
	}
	return plannedStop(base, service, signals, ended, cancel)
}

// awaitStop returns nil when a planned stop is asked for.
func awaitStop(log *slog.Logger, signals <-chan os.Signal, ended <-chan error) error {
	select {
	case err := <-ended:
		return errors.Annotate(err, "service ended")
	case s := <-signals:
		if s == syscall.SIGQUIT {
			return errors.New("immediate stop by signal")
		}
		log.Info("planned stop", "signal", s.String())
		return nil
	}
}

func plannedStop(base *Base, service Service, signals <-chan os.Signal, ended <-chan error, cancel context.CancelFunc) error {
	ctx, stopCancel := context.WithTimeout(context.Background(), base.Process.StopTimeout)
	defer stopCancel()
	stopped := make(chan error, 1)
	go func() { stopped <- service.Stop(ctx) }()
	hard := time.After(base.Process.StopTimeout)
	for {
		select {
		case err := <-stopped:
			cancel()
			<-ended
			return errors.Trace(err)
		case <-hard:
			return errors.Errorf("planned stop took longer than %v", base.Process.StopTimeout)
		case s := <-signals:
			if s == syscall.SIGQUIT {
				return errors.New("immediate stop by signal")
			}
			base.Log.Info("planned stop is in progress already")
		}
	}
}
