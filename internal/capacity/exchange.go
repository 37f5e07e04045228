package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/internal/slope"
	"github.com/wisteriawharf/wisteriawharf/member"
	"github.com/wisteriawharf/wisteriawharf/peer"
	"github.com/wisteriawharf/wisteriawharf/platform"
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

func (b *bench) newPair() (*pair, error) {
	p := &pair{server: control.NewState(), client: control.NewState()}
	m, err := member.New(memberConfig("x", "127.0.0.1:1", p.server, struct{ platform.Store }{}))
	if err != nil {
		return nil, err
	}
	for _, handlers := range []map[peer.Kind]peer.Handler{m.Handlers(), nil} {
		node, err := b.network.listen(handlers)
		if err != nil {
			return nil, err
		}
		p.nodes = append(p.nodes, node)
	}
	return p, nil
}

func (p *pair) close() {
	for _, node := range p.nodes {
		_ = node.Close()
	}
}

// exchange compares the states as member does every 300 ms and takes what is
// newer at the server.
func (p *pair) exchange(int) error {
	ctx, cancel := timeout(5 * time.Second)
	defer cancel()
	s, err := p.nodes[1].Open(ctx, p.nodes[0].Address(), peer.KindExchange)
	if err != nil {
		return err
	}
	defer s.Cancel()
	request := peer.Exchange{ID: processID(1)}
	for _, item := range p.client.Summary() {
		request.Summary = append(request.Summary, peer.Item(item))
	}
	if err := s.Send(&request); err != nil {
		return err
	}
	var reply peer.ExchangeReply
	if err := s.Receive(&reply); err != nil {
		return err
	}
	for _, item := range reply.Newer {
		if _, err := p.client.Offer(control.Item(item)); err != nil {
			return err
		}
		p.last = len(item.Value)
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	if err := s.Receive(&peer.ExchangeReply{}); err != io.EOF {
		return errors.Annotate(err, "end of exchange")
	}
	p.frames = 1 + frameBytes(&request) + frameBytes(&reply)
	return nil
}

// digests measures exchanges of equal states.
func (b *bench) digests() error {
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
			if err := b.digest(byDomain, domains, domains, 0); err != nil {
				return err
			}
		}
		for _, orders := range []int{0, 100, 1000} {
			if err := b.digest(byOrder, orders, 28, orders); err != nil {
				return err
			}
		}
	}
	show(byDomain, byOrder)
	return nil
}

func (b *bench) digest(t *slope.Table, size, domains, orders int) error {
	p, err := b.newPair()
	if err != nil {
		return err
	}
	defer p.close()
	for i := range domains {
		name := fmt.Sprintf("failure-domain-%02d", i)
		items := []control.Item{
			itemOf(control.PrefixDomain+name, 1000, 1e8, record(3)),
			itemOf(control.PrefixRoster+name, 1000, 1e6, roster(3, 1)),
		}
		if err := p.offerBoth(items); err != nil {
			return err
		}
	}
	for i := range orders {
		o := control.Order{Kind: control.OrderUpstream, Name: fmt.Sprintf("searcher-%06d", i), Out: true, Author: "operator", ChangeID: processID(i)}
		name := control.OrderName(o.Kind, o.Name)
		if err := p.offerBoth([]control.Item{itemOf(name, 1, 1e8, control.RecordedOrder{Sequence: 1, Order: o})}); err != nil {
			return err
		}
	}
	if err := p.exchange(0); err != nil {
		return err
	}
	micros, err := microsOf(200, p.exchange)
	t.Add(float64(size), micros, float64(p.frames))
	return err
}

func (p *pair) offerBoth(items []control.Item) error {
	for _, item := range items {
		for _, state := range []*control.State{p.server, p.client} {
			if _, err := state.Offer(item); err != nil {
				return err
			}
		}
	}
	return nil
}

// items measures what one changed record or roster costs to send whole and to
// apply, beyond the exchange that carries it.
func (b *bench) items() error {
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
			err := b.pull(pulledRecord, size, func(i uint64) control.Item {
				return itemOf(control.PrefixDomain+"x", 1, i, record(size))
			})
			if err != nil {
				return err
			}
			err = b.pull(pulledRoster, size, func(i uint64) control.Item {
				return itemOf(control.PrefixRoster+"x", 1, i, roster(size, i))
			})
			if err != nil {
				return err
			}
		}
	}
	show(pulledRecord, pulledRoster)
	return nil
}

func (b *bench) pull(t *slope.Table, size int, version func(i uint64) control.Item) error {
	const pulls = 100
	p, err := b.newPair()
	if err != nil {
		return err
	}
	defer p.close()
	var versions []control.Item
	for i := range uint64(2*pulls + 1) {
		versions = append(versions, version(i+1))
	}
	if _, err := p.server.Offer(versions[0]); err != nil {
		return err
	}
	if err := p.exchange(0); err != nil {
		return err
	}
	pull, err := microsOf(pulls, func(i int) error {
		if _, err := p.server.Offer(versions[i+1]); err != nil {
			return err
		}
		return p.exchange(i)
	})
	if err != nil {
		return err
	}
	apply, err := microsOf(pulls, func(i int) error {
		_, err := p.client.Offer(versions[pulls+1+i])
		return err
	})
	t.Add(float64(size), pull, apply, float64(p.last))
	return err
}

func itemOf(name string, major, minor uint64, value any) control.Item {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return control.Item{Name: name, Major: major, Minor: minor, Value: text}
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
	r.Common = r.Confirmers
	return r
}

func roster(instances int, revision uint64) control.Roster {
	r := control.Roster{Coordinator: processID(0)}
	for i := range instances {
		r.Instances = append(r.Instances, control.Instance{
			ID: processID(i), Role: control.RoleBroker, FailureDomain: "failure-domain-00", PeerAddress: "10.123.123.123:7102",
			OperatorAddress: "10.123.123.123:7202", State: control.Live, Revision: revision,
		})
	}
	return r
}
