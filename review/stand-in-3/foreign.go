//go:build review

package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

// Requests come in bursts, so that the searchers of a service share them.
const (
	burst         = 8
	burstInterval = 100 * time.Millisecond
)

func init() { cases["foreign"] = foreign }

// foreign plays entries of another writer, which name no searcher to use: under the ID of a searcher of
// one service they state another service, but a field that an entry has is missing or of another type.
// The searcher writes its own entry again with its next status report.
func foreign(b *bed, trouble bool) (int, error) {
	var searchers []*site.Searcher
	for i, service := range []string{booking, booking, booking, invoicing} {
		s, err := site.StartSearcher(fmt.Sprintf("i-%d", i+1), service, "a", 60*time.Millisecond, 4, b.ledger)
		if err != nil {
			return failed, err
		}
		defer s.Stop()
		s.StartUnixMs = time.Now().UnixMilli()
		searchers = append(searchers, s)
		b.store.Put("servers", s.ID, s.Entry("ready"))
	}
	b.configure(1, 3000, booking, invoicing)
	g, err := b.startGateway("a")
	if err != nil {
		return failed, err
	}
	time.Sleep(contact)
	invoices := searchers[3]
	variants := []struct {
		name   string
		change func(map[string]any)
	}{
		{"sequence is missing", func(e map[string]any) { delete(e, "sequence") }},
		{"sequence is a text", func(e map[string]any) { e["sequence"] = "four" }},
		{"version is missing", func(e map[string]any) { delete(e, "version") }},
	}
	sent := 0
	var group sync.WaitGroup
	caller := site.NewCaller()
	defer caller.Close()
	sequence := 1
	report := func() {
		sequence++
		e := maps.Clone(invoices.Entry("ready"))
		e["sequence"] = sequence
		b.store.Put("servers", invoices.ID, e)
	}
	for n, v := range variants {
		if trouble {
			e := maps.Clone(invoices.Entry("ready"))
			e["backend"] = booking
			v.change(e)
			b.store.Put("servers", invoices.ID, e)
			b.note("another writer writes servers/%s: %v (%s)", invoices.ID, e, v.name)
		}
		reportAt := time.Now().Add(heartbeat)
		for i := 0; time.Now().Before(reportAt.Add(heartbeat)); i++ {
			if time.Now().After(reportAt) && sequence == n+1 {
				report()
				b.note("searcher %s reports", invoices.ID)
			}
			id := fmt.Sprintf("%04x%012x", n, i)
			sent++
			group.Go(func() {
				a, err := caller.Ask(context.Background(), g.node.Callers, http.MethodPost, "/"+booking+"/x", id, 3*time.Second)
				if err != nil {
					b.note("%s: POST /%s/x ends without an answer: %v", id, booking, err)
				} else if a.Status == http.StatusOK && a.Signature != site.Seal(booking, id) {
					b.note("%s: POST /%s/x is answered 200 with the seal %q and the body %q", id, booking, a.Signature, a.Body)
				}
			})
			if i%burst == burst-1 {
				time.Sleep(burstInterval)
			}
		}
	}
	group.Wait()
	wrong := make(map[string]int)
	for _, r := range b.ledger.Runs() {
		if strings.HasPrefix(r.Path, "/"+booking+"/") && r.Searcher == invoices.ID {
			wrong[variants[r.RequestID[3]-'0'].name]++
		}
	}
	b.note("%d requests sent for %s, %d ran", sent, booking, len(b.ledger.Runs()))
	for _, v := range variants {
		b.note("%s: %d of them ran at %s, a searcher of %s", v.name, wrong[v.name], invoices.ID, invoicing)
	}
	if len(wrong) > 0 {
		b.note("ROUTE broken: no configuration allows %s for /%s/", invoicing, booking)
		return broken, nil
	}
	return held, nil
}
