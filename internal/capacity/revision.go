package main

import (
	"fmt"
	"path/filepath"
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

// revisionItem returns a revision of the files as an item of control state.
func revisionItem(files []settings.File, number uint64) control.Item {
	value := must(settings.Revision{
		Number: number, Author: "operator", Reason: "measurement", Time: time.Now(), ChangeID: processID(0), Files: files,
	}.Encode())
	return control.Item{Name: control.ItemSettings, Major: number, Value: value}
}

// revisions measures a revision of the settings by its searchers, and by its
// services at an equal number of searchers.
func (b *bench) revisions() {
	columns := []string{"revision bytes", "ms/parse", "ms/apply", "memory bytes"}
	bySearcher := &slope.Table{Title: "A settings revision in one process (1 service; apply = decode, parse and validate, index)", Size: "searcher", Columns: columns}
	byService := &slope.Table{Title: "A settings revision in one process (1,500 searchers)", Size: "service", Columns: columns}
	for range repeats {
		for _, shards := range []int{333, 1000, 2500} {
			b.revision(bySearcher, 3*shards, 1, shards)
		}
		for _, services := range []int{1, 10, 50} {
			b.revision(byService, services, services, 500/services)
		}
	}
	show(bySearcher, byService)
}

func (b *bench) revision(t *slope.Table, size, services, shards int) {
	files := b.files(services, shards)
	parse := microsOf(2, func(int) { must(settings.ParseFiles(files)) })
	var items []control.Item
	for number := range uint64(2) {
		items = append(items, revisionItem(files, number+1))
	}
	state := control.NewState()
	before := heldBytes()
	apply := microsOf(len(items), func(i int) { must(state.Offer(items[i])) })
	// The state also keeps the encoded item, which was held before.
	held := heldBytes() - before + float64(len(items[0].Value))
	t.Add(float64(size), float64(len(items[0].Value)), parse/1000, apply/1000, held)
	// The state is still held when its memory is read.
	runtime.KeepAlive(state)
}

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
					assign.OwnerOf(records, p.FailureDomain, id)
				}
			})
			t.Add(float64(members), micros/float64(len(set.Searchers)))
		}
	}
	show(t)
}
