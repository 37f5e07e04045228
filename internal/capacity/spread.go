package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
	"github.com/wisteriawharf/wisteriawharf/standin"
)

// spreadPeriod is how long the consequences of a revision are observed. It is
// several intervals of heartbeats and exchanges.
const spreadPeriod = 4 * time.Second

// spreads measures what a revision makes the processes of one failure domain send
// besides the settings.
func (b *bench) spreads() {
	t := &slope.Table{
		Title: fmt.Sprintf("The %v after a settings revision in one failure domain", spreadPeriod), Size: "process",
		Columns: []string{"versions of the roster", "items sent/process, bytes", "of them settings"},
	}
	for range repeats {
		for _, size := range []int{6, 12, 24} {
			b.spread(t, size)
		}
	}
	show(t)
}

// participant is one process of the failure domain.
type participant struct {
	state    *control.State
	registry *prometheus.Registry
}

func (b *bench) spread(t *slope.Table, size int) {
	// Records of an earlier run would be adopted, so that each has its platform.
	service := must(standin.StartPlatform(standin.PlatformConfig{
		Address: "127.0.0.1:0", Control: "127.0.0.1:0", WriteBudget: 1000, ReadBudget: 1000, Log: quiet,
	}))
	defer service.Close()
	store := must(objectstore.NewHTTP(objectstore.HTTPConfig{Address: service.Address(), Timeout: time.Second, Registry: prometheus.NewRegistry()}))
	const domain = "x"
	number := uint64(0)
	publish := func() float64 {
		number++
		item, parts := stored(b.files(1, 1), number)
		size := len(item.Value)
		for _, part := range parts {
			// The part of an earlier revision with the same content is there already.
			_, _ = store.Create(context.Background(), settings.PartName(part.Digest), part.Packed)
			size += len(part.Packed)
		}
		must(store.Create(context.Background(), member.RevisionName(number), item.Value))
		return float64(size)
	}
	publish()
	var all []*participant
	var seeds []string
	for i := range size {
		p, address, stop := b.participate(domain, i, seeds, store)
		defer stop()
		all, seeds = append(all, p), []string{address}
	}
	everywhere := func(holds func(v *control.View) bool) {
		until(func() bool {
			return !slices.ContainsFunc(all, func(p *participant) bool { return !holds(p.state.View()) })
		})
	}
	everywhere(func(v *control.View) bool {
		r, record := v.Rosters[domain], v.Records[domain]
		return v.Revision == number && r != nil && len(r.Instances) == size && record != nil && len(record.Members) == (size+1)/2
	})
	time.Sleep(spreadPeriod)
	versions, sent := rosterVersion(all, domain), sentItems(all)
	value := publish()
	everywhere(func(v *control.View) bool { return v.Revision == number })
	time.Sleep(spreadPeriod)
	// Each process but those that watch the platform receives one copy.
	t.Add(float64(size), rosterVersion(all, domain)-versions, (sentItems(all)-sent)/float64(size), value)
}

func (b *bench) participate(domain string, i int, seeds []string, store objectstore.Store) (*participant, string, func()) {
	p := &participant{state: control.NewState()}
	handlers := make(map[peer.Kind]peer.Handler)
	node := b.network.listen(handlers)
	config := memberConfig(domain, node.Address(), p.state, store)
	config.Self.ID, config.Seeds = processID(i), seeds
	if i%2 == 1 {
		config.Self.Role = control.RoleEntry
	}
	p.registry = config.Registry.(*prometheus.Registry)
	m := must(member.New(config))
	for kind, handler := range m.Handlers() {
		handlers[kind] = handler
	}
	stop := background(func(ctx context.Context) error { return m.Run(ctx, node) })
	return p, node.Address(), func() {
		stop()
		_ = node.Close()
	}
}

func rosterVersion(all []*participant, domain string) float64 {
	item, _ := all[0].state.Item(control.PrefixRoster + domain)
	return float64(item.Minor)
}

// sentItems returns the bytes of items that all processes have sent in exchanges.
func sentItems(all []*participant) float64 {
	sum := 0.0
	for _, p := range all {
		for _, family := range must(p.registry.Gather()) {
			if family.GetName() != "wharf_member_exchange_sent_bytes_total" {
				continue
			}
			for _, metric := range family.GetMetric() {
				for _, label := range metric.GetLabel() {
					if label.GetValue() == "items" {
						sum += metric.GetCounter().GetValue()
					}
				}
			}
		}
	}
	return sum
}
