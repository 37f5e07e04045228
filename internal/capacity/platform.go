package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wisteriawharf/wisteriawharf/clock"
	"github.com/wisteriawharf/wisteriawharf/identity"
	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/operator"
	"github.com/wisteriawharf/wisteriawharf/publish"
)

const (
	// settle lets the start of a deployment pass before calls are counted.
	settle = 4 * time.Second
	// counted is how long calls of an undisturbed deployment are counted.
	counted = 8 * time.Second
	// changes is the number of revisions that are published in each deployment.
	changes = 3
	// bookingTime and bookingRate describe the load of bookings.
	bookingTime = 5 * time.Second
	bookingRate = 10
	// poll is the interval of questions which revision is in force.
	poll = 20 * time.Millisecond
)

// calls are counts of the platform stand-in; a watch is one read, whatever it
// waits.
type calls struct {
	reads, watches, writes float64
	at                     time.Time
}

func callsOf(d *deployment.Deployment) calls {
	stats := must(d.PlatformStats())
	read := func(name string) float64 {
		v, _ := stats[name].(float64)
		return v
	}
	return calls{reads: read("reads"), watches: read("watches"), writes: read("writes"), at: time.Now()}
}

// since returns the calls after an earlier count, less those of an undisturbed
// deployment, of which idle holds the rates per second.
func (c calls) since(before, idle calls) calls {
	seconds := c.at.Sub(before.at).Seconds()
	return calls{
		reads:   c.reads - before.reads - idle.reads*seconds,
		watches: c.watches - before.watches - idle.watches*seconds,
		writes:  c.writes - before.writes - idle.writes*seconds,
	}
}

// tables of a deployment's calls.
type platformTables struct {
	idle, change, start, book *slope.Table
}

// platform counts calls on the platform in deployments of real processes.
func (b *bench) platform() {
	tables := platformTables{
		idle: &slope.Table{Title: "Calls on the platform of an undisturbed deployment (reads include watches)", Size: "domain",
			Columns: []string{"reads/s", "of them watches/s", "writes/s", "reads/s per domain"}},
		change: &slope.Table{Title: "A settings revision, published to all processes (beyond the undisturbed calls)", Size: "process",
			Columns: []string{"ms until in force", "reads", "writes"}},
		start: &slope.Table{Title: "One broker stopped and started again (beyond the undisturbed calls)", Size: "domain",
			Columns: []string{"reads", "writes"}},
		book: &slope.Table{Title: "One booking (beyond the undisturbed calls, at 10 bookings a second)", Size: "domain",
			Columns: []string{"reads", "writes"}},
	}
	for _, domains := range []int{2, 4, 8} {
		b.deploy(domains, tables)
	}
	show(tables.idle, tables.change, tables.start, tables.book)
}

// instances is the number of instances per failure domain, with two processes
// each.
const instances = 2

func (b *bench) deploy(domains int, tables platformTables) {
	names := make([]string, domains)
	for i := range names {
		names[i] = fmt.Sprintf("failure-domain-%02d", i)
	}
	dir := filepath.Join(b.Out, fmt.Sprintf("deployment-%d", domains))
	source := filepath.Join(dir, "source")
	search := deployment.SearchService{Name: "measured", Shards: 8, Slots: 3, Domains: names, Deadline: "1s", MinCoverage: 0.5}
	check(search.Write(source))
	writeBooking(filepath.Join(source, "booked.yaml"), names)
	binaries := must(filepath.Abs(b.Binaries))
	d := must(deployment.Start(deployment.Config{Binaries: binaries, Services: source, Dir: dir, Domains: names, PerDomain: instances}))
	defer d.Kill()
	time.Sleep(settle)
	before := callsOf(d)
	time.Sleep(counted)
	after := callsOf(d)
	total, seconds := after.since(before, calls{}), after.at.Sub(before.at).Seconds()
	idle := calls{reads: total.reads / seconds, watches: total.watches / seconds, writes: total.writes / seconds}
	tables.idle.Add(float64(domains), idle.reads, idle.watches, idle.writes, idle.reads/float64(domains))
	b.change(d, dir, idle, tables.change)
	restart(d, float64(domains), idle, tables.start)
	book(d, float64(domains), idle, tables.book)
}

func writeBooking(file string, domains []string) {
	text := "service: booked\nkind: booking\ndeadline: 1s\nqueue_limit: 64\n" +
		"limits: {slots: 3, connections: 9, cold: {allowance: 1, step_successes: 4}}\nsearchers:\n"
	for i, name := range domains {
		text += fmt.Sprintf("  - {id: b-%d, address: 127.0.0.1:%d, failure_domain: %s}\n", i, 9100+i, name)
	}
	check(os.WriteFile(file, []byte(text), 0o644))
}

// change publishes revisions and asks all processes until each is in force.
func (b *bench) change(d *deployment.Deployment, dir string, idle calls, t *slope.Table) {
	certificate := func(name string) string { return filepath.Join(dir, "certificates", name) }
	id := must(identity.Load(identity.Files{Certificate: certificate("operator.pem"), Key: certificate("operator-key.pem"), CA: certificate("ca.pem")}))
	client := operator.NewClient(id, 2*time.Second)
	defer client.Close()
	fleet := operator.Fleet{Port: client}
	for _, i := range d.Instances {
		fleet.Addresses = append(fleet.Addresses, i.BrokerOperatorAddress(), i.EntryOperatorAddress())
	}
	store := must(objectstore.NewHTTP(objectstore.HTTPConfig{Address: d.PlatformAddress(), Timeout: 2 * time.Second, Registry: prometheus.NewRegistry()}))
	ctx, cancel := timeout(time.Minute)
	defer cancel()
	// A first question opens the connections.
	processes := float64(len(fleet.Reports(ctx)))
	for i := range changes {
		before := callsOf(d)
		began := time.Now()
		publishChange(ctx, store, d.ServicesDir(), i)
		number := must(publish.History{Store: store}.Numbers(ctx))
		if lagging := fleet.Wait(ctx, number[len(number)-1], poll, 20*time.Second); len(lagging) > 0 {
			panic(fmt.Sprintf("%d processes lag", len(lagging)))
		}
		took := time.Since(began)
		// What follows a change, such as rosters and watches, ends soon after.
		time.Sleep(time.Second)
		after := callsOf(d)
		c := after.since(before, idle)
		t.Add(processes, float64(took.Milliseconds()), c.reads, c.writes)
	}
}

func publishChange(ctx context.Context, store objectstore.Store, dir string, i int) {
	files := must(publish.Collect(dir, publish.DefaultPattern))
	for j := range files {
		files[j].Text = strings.ReplaceAll(files[j].Text, "queue_limit: 64", fmt.Sprintf("queue_limit: %d", 65+i))
	}
	id := must(publish.NewChangeID())
	must(publish.New(store, clock.System{}).Publish(ctx, publish.Request{Files: files, Author: "operator", Reason: "measurement", ChangeID: id}))
}

// restart stops one broker as planned and starts it again.
func restart(d *deployment.Deployment, domains float64, idle calls, t *slope.Table) {
	before := callsOf(d)
	i := d.Instances[len(d.Instances)-1]
	check(i.Broker.Stop())
	check(d.StartBroker(i))
	time.Sleep(settle)
	after := callsOf(d)
	c := after.since(before, idle)
	t.Add(domains, c.reads, c.writes)
}

// book runs bookings, each of them with a key of its own.
func book(d *deployment.Deployment, domains float64, idle calls, t *slope.Table) {
	before := callsOf(d)
	l := must(d.StartLoad("bookings", fmt.Sprintf("--rate=%d", bookingRate), "--duration="+bookingTime.String(), "--book=booked", "--repeat-share=0"))
	report := must(l.Wait())
	after := callsOf(d)
	c, n := after.since(before, idle), float64(max(report.Good, 1))
	t.Add(domains, c.reads/n, c.writes/n)
}
