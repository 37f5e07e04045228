package gateway

import (
	"net/http"

	"github.com/wisteriawharf/wisteriawharf/balance"
	"github.com/wisteriawharf/wisteriawharf/dispatch"
	"github.com/wisteriawharf/wisteriawharf/placement"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// Explain says where a request would go now. It sends nothing.
func (g *Gateway) Explain(q placement.Query) placement.Answer {
	config := g.routingConfig.Load()
	if config == nil {
		return placement.Answer{Refused: "no configuration yet"}
	}
	answer := placement.Answer{ConfigVersion: config.Version}
	route := config.Match(q.Host, q.Path)
	if route == nil {
		answer.Refused = "no route"
		return answer
	}
	answer.Route = route.Name
	if route.Invalid {
		answer.Refused = reasonInvalidRoute
		return answer
	}
	account, refused := explainedAccount(config, route, q.Account)
	answer.Refused = refused
	if account != nil {
		answer.Account = &placement.Account{Name: account.Name, QuotaPerSecond: account.Quota.PerSecond, QuotaBurst: account.Quota.Burst}
	}
	if limit := config.Limits.MaxBodyBytes; limit > 0 && int64(q.Size) > int64(limit) {
		answer.Refused = "body is too large"
	}
	if answer.Refused != "" {
		return answer
	}
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	now := g.config.Clock.Boottime()
	c := &call{g: g, route: route, account: account, method: http.MethodGet, arrived: now, deadline: now + timeout}
	explain := func(service string) placement.Service {
		r := c.dispatchRequest(&part{service: service}, dispatch.First)
		r.Size += q.Size
		return g.config.Dispatcher.Explain(r)
	}
	if len(route.Shards) > 0 {
		c.rank = balance.Rank(explainedDraw, c.priority())
		answer.Sharded, answer.NeededShards = true, route.MinShards()
		for _, shard := range route.Shards {
			answer.Services = append(answer.Services, explain(shard))
		}
		return answer
	}
	for _, target := range route.Targets {
		s := explain(target.Service)
		s.Weight = target.Weight
		answer.Services = append(answer.Services, s)
	}
	return answer
}

// explainedAccount returns the client account with a name, nil if there is none, and why a request of it would
// be refused on a route, empty if it would not be.
func explainedAccount(config *routing.Config, route *routing.Route, name string) (account *routing.Account, refused string) {
	if config.Accounts != nil && name != "" {
		account = config.Accounts.Named(name)
	}
	switch {
	case account != nil:
		return account, ""
	case name != "":
		return nil, "no account of this name"
	case config.Accounts != nil && !route.Public:
		return nil, "missing API key"
	}
	return nil, ""
}

// explainedDraw stands for the random number from which the rank of a request is drawn. It is their mean, so
// that explanations of the same request can be compared.
const explainedDraw = 0.5
