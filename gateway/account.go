package gateway

import (
	"net/http"

	"github.com/wisteriawharf/wisteriawharf/platform"
	"github.com/wisteriawharf/wisteriawharf/routing"
)

// authenticate returns the client account of a request, or the refusal of a request without a
// valid API key on a route that needs one. The account is nil if the configuration has none, or
// if the route is public and the request has no valid key.
func authenticate(config *routing.Config, route *routing.Route, h http.Header) (*routing.Account, *refusal) {
	if config.Accounts == nil {
		return nil, nil
	}
	key := platform.ReadAPIKey(h)
	account := config.Accounts.Lookup(key)
	switch {
	case account != nil || route.Public:
		return account, nil
	case key == "":
		return nil, &refusal{status: http.StatusUnauthorized, reason: "missing API key"}
	}
	return nil, &refusal{status: http.StatusUnauthorized, reason: "unknown API key"}
}

// priority returns the priority of the request: that of its account if it has one, else that of
// its route.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}
