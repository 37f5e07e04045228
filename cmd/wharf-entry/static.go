package main

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// staticOptions stand in for the membership runtime until it is linked.
type staticOptions struct {
	Services string   `long:"services" value-name:"DIR" description:"read service settings from the YAML files of DIR"`
	Brokers  []string `long:"broker" value-name:"ID=ADDRESS=DOMAIN" description:"static broker; may be repeated"`
}

// newMembership returns the static membership.
func newMembership(_ *settings.Process, _ string, o staticOptions, state *control.State, _ prometheus.Registerer, _ *slog.Logger) (membership, error) {
	s := static{ready: make(chan struct{})}
	if err := offerRecords(state, o.Brokers); err != nil {
		return nil, err
	}
	if o.Services == "" {
		return s, nil
	}
	if err := offerServices(state, o.Services); err != nil {
		return nil, err
	}
	close(s.ready)
	return s, nil
}

func offerRecords(state *control.State, brokers []string) error {
	records := make(map[string]*control.Record)
	for _, text := range brokers {
		fields := strings.Split(text, "=")
		if len(fields) != 3 {
			return errors.Errorf("broker %q is not ID=ADDRESS=DOMAIN", text)
		}
		r := records[fields[2]]
		if r == nil {
			r = &control.Record{Epoch: 1}
			records[fields[2]] = r
		}
		r.Members = append(r.Members, control.Member{ID: fields[0], Address: fields[1]})
	}
	for domain, r := range records {
		if err := offer(state, control.PrefixDomain+domain, r); err != nil {
			return err
		}
	}
	return nil
}

func offerServices(state *control.State, dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return errors.Trace(err)
	}
	revision := settings.Revision{Number: 1}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return errors.Trace(err)
		}
		revision.Files = append(revision.Files, settings.File{Path: path, Text: string(text)})
	}
	return offer(state, control.ItemSettings, revision)
}

func offer(state *control.State, name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = state.Offer(control.Item{Name: name, Major: 1, Minor: 1, Value: text})
	return err
}

// static is a membership that never changes.
type static struct{ ready chan struct{} }

func (static) Handlers() map[peer.Kind]peer.Handler { return nil }

func (static) Run(ctx context.Context, _ *peer.Node) error {
	<-ctx.Done()
	return nil
}

func (s static) Ready() <-chan struct{} { return s.ready }

func (static) Reason() error { return errors.New("no service settings were given") }

func (static) Leave(context.Context) error { return nil }
