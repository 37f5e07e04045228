package broker

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// BenchmarkReconcile takes views of a fleet of 28 failure domains of 75 brokers
// that differ from one another by one change.
func BenchmarkReconcile(b *testing.B) {
	const domains, members = 28, 75
	changes := map[string]func(*control.View){
		"renewal":  func(v *control.View) { v.Records["d1"] = recordOf("d1", members) },
		"members":  func(v *control.View) { v.Records["d0"] = recordOf("d0", members+len(v.Records["d0"].Members)%2) },
		"settings": func(v *control.View) { v.Settings = &settings.Set{Searchers: v.Settings.Searchers} },
	}
	for _, searchers := range []int{9_500, 28_500, 95_000} {
		view := &control.View{Records: make(map[string]*control.Record)}
		service := &settings.Service{
			Name: "s", Kind: settings.KindSearch, Deadline: time.Second, QueueLimit: 64,
			Limits: settings.Limits{Slots: 3, Connections: 30, Cold: settings.Cold{Allowance: 1, StepSuccesses: 8}},
		}
		for i := range searchers {
			service.Searchers = append(service.Searchers, settings.Searcher{
				ID: fmt.Sprintf("searcher-%06d", i), Address: "127.0.0.1:1", FailureDomain: fmt.Sprintf("d%d", i%domains),
			})
		}
		view.Settings = settings.NewSet([]*settings.Service{service})
		for d := range domains {
			name := fmt.Sprintf("d%d", d)
			view.Records[name] = recordOf(name, members)
		}
		for _, change := range []string{"renewal", "members", "settings"} {
			b.Run(fmt.Sprintf("%s/searchers=%d", change, searchers), func(b *testing.B) {
				rights := &rights{}
				rights.set(assign.Grant{Share: assign.ShareNone, WarmOnly: true})
				broker, err := New(Config{ID: "broker-d0-000", State: control.NewState(), Ownership: rights, Clock: clock.System{},
					Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Registry: prometheus.NewRegistry()})
				if err != nil {
					b.Fatal(err)
				}
				ctx, cancel := context.WithCancel(context.Background())
				defer broker.running.Wait()
				defer cancel()
				broker.reconcile(ctx, view)
				for b.Loop() {
					changes[change](view)
					broker.reconcile(ctx, view)
				}
			})
		}
	}
}

func recordOf(domain string, members int) *control.Record {
	r := &control.Record{}
	for i := range members {
		r.Members = append(r.Members, control.Member{ID: fmt.Sprintf("broker-%s-%03d", domain, i), Address: "127.0.0.1:1"})
	}
	return r
}
