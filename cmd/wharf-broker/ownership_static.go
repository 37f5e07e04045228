package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// newMembership returns the membership runtime. So far only that for tests
// exists, which --services selects.
func newMembership(o options, c member.Config) (membership, error) {
	if o.Services == "" {
		return nil, errors.New("no membership runtime is linked; only --services DIR works")
	}
	if err := offerServices(c, o.Services); err != nil {
		return nil, errors.Trace(err)
	}
	return staticMembership{}, nil
}

// staticMembership is for tests: this process is the only member of every
// failure domain and always has every dispatch right.
type staticMembership struct{}

func (staticMembership) Grant(string) assign.Grant            { return assign.Grant{Share: assign.ShareFull} }
func (staticMembership) Handlers() map[peer.Kind]peer.Handler { return nil }
func (staticMembership) Leave(context.Context) error          { return nil }

func (staticMembership) Run(ctx context.Context, _ *peer.Node) error {
	<-ctx.Done()
	return nil
}

// offerServices puts the service settings of a directory in force, with c.Self
// as the only member of every failure domain in them.
func offerServices(c member.Config, dir string) error {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return errors.Trace(err)
	}
	sort.Strings(paths)
	revision := settings.Revision{Number: 1, Reason: "read from " + dir}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return errors.Trace(err)
		}
		revision.Files = append(revision.Files, settings.File{Path: path, Text: string(text)})
	}
	if err := offer(c.State, control.ItemSettings, revision); err != nil {
		return err
	}
	for _, domain := range c.State.View().Settings.FailureDomains() {
		record := control.Record{Epoch: 1, Members: []control.Member{{ID: c.Self.ID, Address: c.Self.PeerAddress}}}
		if err := offer(c.State, control.PrefixDomain+domain, record); err != nil {
			return err
		}
	}
	return nil
}

func offer(state *control.State, name string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = state.Offer(control.Item{Name: name, Major: 1, Value: text})
	return errors.Trace(err)
}
