package main

import (
	"fmt"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/assign"
	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/deployment"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/publish"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// homes are the failure domains of generated searchers.
var homes = []string{"failure-domain-00", "failure-domain-01", "failure-domain-02"}

// files returns the settings of services with shards of three searchers each.
func (b *bench) files(services, shards int) []settings.File {
	dir := filepath.Join(b.Out, fmt.Sprintf("services-%d-%d", services, shards))
	for i := range services {
		s := deployment.SearchService{
			Name: fmt.Sprintf("measured-%03d", i), Shards: shards, Slots: 3, Domains: homes, Deadline: "110ms", MinCoverage: 0.9,
		}
		check(s.Write(dir))
	}
	files := must(publish.Collect(dir, publish.DefaultPattern))
	// Searchers are generated with equal names and addresses in each service.
	for i := range files {
		files[i].Text = strings.NewReplacer("id: s-", fmt.Sprintf("id: s%03d-", i), "name: part-", fmt.Sprintf("name: part%03d-", i),
			"127.0.0.1:", fmt.Sprintf("127.0.%d.1:", i)).Replace(files[i].Text)
	}
	return files
}

// stored returns a revision of the files as an item of control state, and the
// parts that hold the files.
func stored(files []settings.File, number uint64) (control.Item, []settings.Part) {
	r := settings.Revision{Number: number, Author: "operator", Reason: "measurement", Time: time.Now(), ChangeID: processID(0)}
	var parts []settings.Part
	for _, f := range files {
		part := must(settings.Pack(f.Text))
		parts = append(parts, part)
		r.Files = append(r.Files, settings.File{Path: f.Path, Digest: part.Digest})
	}
	return control.Item{Name: control.ItemSettings, Major: number, Value: must(r.Encode())}, parts
}

// shardsOfDesign are the shards of a service at the design size, with three
// searchers each.
const shardsOfDesign = 480

// revisions measures the first revision that a process takes by its searchers,
// and the change of one service by the number of services.
func (b *bench) revisions() {
	first := &slope.Table{
		Title: "First revision in one process (1 service; apply = take, check digest, parse and validate, index)", Size: "searcher",
		Columns: []string{"text bytes", "part bytes", "ms/parse", "ms/apply", "memory bytes"},
	}
	change := &slope.Table{
		Title: fmt.Sprintf("Change of one service of %d searchers (pull = both ends; until passed on, apply = at one process)", 3*shardsOfDesign), Size: "service",
		Columns: []string{"revision bytes", "frame bytes/pull", "ms/pull", "ms until passed on", "ms/apply", "memory bytes"},
	}
	for range repeats {
		for _, shards := range []int{333, 1000, 2500} {
			b.firstRevision(first, shards)
		}
		for _, services := range []int{6, 22, 66} {
			b.changedService(change, services)
		}
	}
	show(first, change)
}

func (b *bench) firstRevision(t *slope.Table, shards int) {
	files := scattered(b.files(1, shards))
	parse := microsOf(2, func(int) { must(settings.ParseFiles(files)) })
	item, parts := stored(files, 1)
	var state *control.State
	before := heldBytes()
	apply := microsOf(2, func(int) {
		state = control.NewState()
		take(state, item, parts)
		check(state.Settle())
	})
	// The state also keeps the part, which was held before.
	held := heldBytes() - before + float64(len(parts[0].Packed))
	t.Add(float64(3*shards), float64(len(files[0].Text)), float64(len(parts[0].Packed)), parse/1000, apply/1000, held)
	runtime.KeepAlive(state)
}

func take(state *control.State, item control.Item, parts []settings.Part) {
	must(state.TakeSettings(item))
	for _, part := range parts {
		check(state.TakePart(part))
	}
}

// changedService measures revisions that each change one value of one service.
func (b *bench) changedService(t *slope.Table, services int) {
	const changes = 4
	files := scattered(b.files(services, shardsOfDesign))
	p := b.newPair()
	defer p.close()
	item, parts := stored(files, 1)
	take(p.server, item, parts)
	check(p.server.Settle())
	before := heldBytes()
	p.exchange(0)
	memory := heldBytes() - before
	next := func(number int) (control.Item, []settings.Part) {
		files[0].Text = strings.Replace(files[0].Text, "service: ", fmt.Sprintf("# change %d\nservice: ", number), 1)
		item, all := stored(files, uint64(number))
		return item, all[:1]
	}
	var passed, apply, pull, frames float64
	for i := range changes {
		item, parts := next(2 + i)
		passed += microsOf(1, func(int) { take(p.server, item, parts) })
		apply += microsOf(1, func(int) { check(p.server.Settle()) })
		pull += microsOf(1, p.exchange)
		frames = float64(p.frames)
	}
	perMs := 1000.0 * changes
	t.Add(float64(services), float64(p.last), frames, pull/perMs, passed/perMs, (passed+apply)/perMs, memory)
}

// scattered gives each searcher an address far from those of its neighbours, as
// regular addresses would compress better than those of a deployment.
func scattered(files []settings.File) []settings.File {
	number := uint32(0)
	for i := range files {
		files[i].Text = addresses.ReplaceAllStringFunc(files[i].Text, func(string) string {
			number++
			// An odd factor maps each number to another one.
			n := number * 2654435761
			return fmt.Sprintf("10.%d.%d.%d:%d", n>>24, n>>16&255, n>>8&255, 9000+n&255)
		})
	}
	return files
}

var addresses = regexp.MustCompile(`127\.0\.\d+\.\d+:\d+`)

// owners measures the look-up of all owners, which a broker does for each
// searcher of the settings after every change of its control state.
func (b *bench) owners() {
	t := &slope.Table{Title: "Look-up of a searcher's owner (assign.OwnerOf, 3,000 searchers)", Size: "member of its domain", Columns: []string{"us/searcher"}}
	files := b.files(1, 1000)
	set := must(settings.ParseFiles(files))
	for range repeats {
		for _, members := range []int{3, 75, 300} {
			records := make(map[string]*control.Record)
			for _, name := range homes {
				r := record(members)
				records[name] = &r
			}
			const rounds = 20
			micros := microsOf(rounds, func(int) {
				for id, p := range set.Searchers {
					assign.OwnerByRecord(records, p.FailureDomain, id)
				}
			})
			t.Add(float64(members), micros/float64(len(set.Searchers)))
		}
	}
	show(t)
}
