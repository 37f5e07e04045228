package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/objectstore"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/settings"
)

// pair is two processes' control state, one of them served on a node.
type pair struct {
	server, client *control.State
	nodes          []*peer.Node
	// frames counts the bytes of the frames of all exchanges.
	frames int
	// last are the bytes of the last item that was pulled.
	last int
}

func (b *bench) newPair() *pair {
	p := &pair{server: control.NewState(), client: control.NewState()}
	m := must(member.New(memberConfig("x", "127.0.0.1:1", p.server, struct{ objectstore.Store }{})))
	for _, handlers := range []map[peer.Kind]peer.Handler{m.Handlers(), nil} {
		p.nodes = append(p.nodes, b.network.listen(handlers))
	}
	return p
}

func (p *pair) close() {
	for _, node := range p.nodes {
		_ = node.Close()
	}
}

// exchange compares the states as member does every 300 ms and takes what is
// newer at the server.
func (p *pair) exchange(int) {
	ctx, cancel := timeout(5 * time.Second)
	defer cancel()
	s := must(p.nodes[1].Open(ctx, p.nodes[0].Address(), peer.KindExchange))
	defer s.Cancel()
	var reply peer.ExchangeReply
	request := peer.Exchange{ID: processID(1), Digest: p.client.Digest()}
	check(s.Send(&request))
	check(s.Receive(&reply))
	p.frames = 1 + frameBytes(&request) + frameBytes(&reply)
	if !reply.Same {
		request = peer.Exchange{ID: processID(1), Full: true}
		for _, item := range p.client.Summary() {
			request.Summary = append(request.Summary, peer.Item(item))
		}
		check(s.Send(&request))
		check(s.Receive(&reply))
		p.frames += frameBytes(&request) + frameBytes(&reply)
	}
	for _, item := range reply.Newer {
		p.last = len(item.Value)
		if item.Name == control.ItemSettings {
			must(p.client.TakeSettings(control.Item(item)))
			p.pullParts(s)
			check(p.client.Settle())
			continue
		}
		must(p.client.Offer(control.Item(item)))
	}
	check(s.CloseSend())
	if err := s.Receive(&peer.ExchangeReply{}); err != io.EOF {
		panic(err)
	}
}

// pullParts asks for the parts that the client lacks, as member does.
func (p *pair) pullParts(s *peer.Stream) {
	for {
		push := peer.ExchangePush{Wanted: p.client.MissingParts()}
		if len(push.Wanted) == 0 {
			return
		}
		var answer peer.ExchangeParts
		check(s.Send(&push))
		check(s.Receive(&answer))
		p.frames += frameBytes(&push) + frameBytes(&answer)
		for _, part := range answer.Parts {
			check(p.client.TakePart(settings.Part(part)))
		}
	}
}

// digests measures exchanges of equal states.
func (b *bench) digests() {
	byDomain := &slope.Table{
		Title: "Exchange of equal states (both ends; a record and a roster per domain)", Size: "domain",
		Columns: []string{"us/exchange", "frame bytes/exchange"},
	}
	byOrder := &slope.Table{
		Title: "Exchange of equal states with 28 domains (both ends)", Size: "order",
		Columns: []string{"us/exchange", "frame bytes/exchange"},
	}
	for range repeats {
		for _, domains := range []int{3, 28, 56} {
			b.digest(byDomain, domains, domains, 0)
		}
		for _, orders := range []int{0, 100, 1000} {
			b.digest(byOrder, orders, 28, orders)
		}
	}
	show(byDomain, byOrder)
}

func (b *bench) digest(t *slope.Table, size, domains, orders int) {
	p := b.newPair()
	defer p.close()
	for i := range domains {
		name := fmt.Sprintf("failure-domain-%02d", i)
		items := []control.Item{
			itemOf(control.PrefixDomain+name, 1000, 1e8, record(3)),
			itemOf(control.PrefixRoster+name, 1000, 1e6, roster(3)),
		}
		p.offerBoth(items)
	}
	for i := range orders {
		o := control.Order{Kind: control.OrderUpstream, Name: fmt.Sprintf("searcher-%06d", i), Out: true, Author: "operator", ChangeID: processID(i)}
		name := control.OrderName(o.Kind, o.Name)
		p.offerBoth([]control.Item{itemOf(name, 1, 1e8, control.RecordedOrder{Sequence: 1, Order: o})})
	}
	p.exchange(0)
	t.Add(float64(size), microsOf(200, p.exchange), float64(p.frames))
}

func (p *pair) offerBoth(items []control.Item) {
	for _, item := range items {
		for _, state := range []*control.State{p.server, p.client} {
			must(state.Offer(item))
		}
	}
}

// items measures what one changed record or roster costs to send whole and to
// apply, beyond the exchange that carries it.
func (b *bench) items() {
	pulledRecord := &slope.Table{
		Title: "A renewed record, pulled (offered at one end, sent, applied at the other)", Size: "member",
		Columns: []string{"us/pull", "us/apply", "item bytes"},
	}
	pulledRoster := &slope.Table{
		Title: "A changed roster, pulled (offered at one end, sent, applied at the other)", Size: "instance",
		Columns: []string{"us/pull", "us/apply", "item bytes"},
	}
	for range repeats {
		for _, size := range []int{5, 75, 300} {
			b.pull(pulledRecord, size, func(i uint64) control.Item {
				return itemOf(control.PrefixDomain+"x", 1, i, record(size))
			})
			b.pull(pulledRoster, size, func(i uint64) control.Item {
				return itemOf(control.PrefixRoster+"x", 1, i, roster(size))
			})
		}
	}
	show(pulledRecord, pulledRoster)
}

func (b *bench) pull(t *slope.Table, size int, version func(i uint64) control.Item) {
	const pulls = 100
	p := b.newPair()
	defer p.close()
	var versions []control.Item
	for i := range uint64(2*pulls + 1) {
		versions = append(versions, version(i+1))
	}
	must(p.server.Offer(versions[0]))
	p.exchange(0)
	pull := microsOf(pulls, func(i int) {
		must(p.server.Offer(versions[i+1]))
		p.exchange(i)
	})
	apply := microsOf(pulls, func(i int) { must(p.client.Offer(versions[pulls+1+i])) })
	t.Add(float64(size), pull, apply, float64(p.last))
}

func itemOf(name string, major, minor uint64, value any) control.Item {
	return control.Item{Name: name, Major: major, Minor: minor, Value: must(json.Marshal(value))}
}

func record(members int) control.Record {
	r := control.Record{Epoch: 1, Coordinator: processID(0)}
	for i := range members {
		r.Members = append(r.Members, control.Member{
			ID: processID(i), Address: "10.123.123.123:7102", GrantedNs: int64(1000 * time.Hour), Joined: 1, Known: 1,
		})
	}
	for i := range 5 {
		r.Confirmers = append(r.Confirmers, processID(i))
	}
	return r
}

func roster(instances int) control.Roster {
	r := control.Roster{Coordinator: processID(0)}
	for i := range instances {
		r.Instances = append(r.Instances, control.Instance{
			ID: processID(i), Role: control.RoleBroker, FailureDomain: "failure-domain-00", PeerAddress: "10.123.123.123:7102",
			OperatorAddress: "10.123.123.123:7202", State: control.Live,
		})
	}
	return r
}
