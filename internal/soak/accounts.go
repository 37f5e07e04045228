package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/wisteriawharf/wisteriawharf/standin/site"
)

const (
	// revokeLimit is revoke_ms in the settings file. A key that all versions have held for knownAfter
	// is not to be refused.
	revokeLimit = 5 * time.Second
	knownAfter  = 10 * time.Second
	// floodRate and floodBurst are the quota of the account that floods, ampleRate is one that
	// callers don't reach.
	floodRate, floodBurst, ampleRate = 10, 10, 2000
	// maxFlood is how many requests of the account that floods may run in a quotaWindow, with the
	// overage of 0.1 and the slack of 20 in the settings file.
	quotaWindow = 5 * time.Second
	maxFlood    = (floodRate*float64(quotaWindow/time.Second)+floodBurst)*1.1 + 20
)

// account is a client account with the key that its callers use.
type account struct{ name, key string }

var (
	plainAccount     = account{"plain", "key-plain-5f0c"}
	removableAccount = account{"removable", "key-removable-91d2"}
	floodingAccount  = account{"flooding", "key-flooding-c3a7"}
)

// absence is a time in which the newest configuration lacks the key of removableAccount. until is
// zero while it still does.
type absence struct{ from, until time.Time }

// hasFeatures reports whether a seed plays a deployment with client accounts and roll-outs.
func hasFeatures(seed uint64) bool { return seed%2 == 0 }

// accountOf returns the account of a caller.
func accountOf(n int) account {
	switch {
	case n >= callers-2 && n < callers:
		return floodingAccount
	case n == callers-3:
		return removableAccount
	default:
		return plainAccount
	}
}

// accountOfRequest returns the account of a request, by its ID.
func accountOfRequest(id string) account {
	var n int
	if _, err := fmt.Sscanf(id, "%04x", &n); err != nil {
		return plainAccount // of a caller that stays, or a probe
	}
	return accountOf(n)
}

// tenants returns the client accounts of a configuration, with keys of removableAccount.
func tenants(keys []string) []any {
	one := func(name string, keys []string, rate, burst int) any {
		return map[string]any{"name": name, "api_keys": keys, "rate_per_s": rate, "burst": burst}
	}
	return []any{
		one(plainAccount.name, []string{plainAccount.key}, ampleRate, ampleRate),
		one(removableAccount.name, keys, ampleRate, ampleRate),
		one(floodingAccount.name, []string{floodingAccount.key}, floodRate, floodBurst),
	}
}

// headers returns what callers of an account send, nil if the deployment has no accounts. They
// claim to be of another account.
func (s *soak) headers(a account) http.Header {
	if !s.features {
		return nil
	}
	return http.Header{"Authorization": {"Bearer " + a.key}, "Tenant": {"forged"}}
}

func (s *soak) newCaller(a account) *site.Caller {
	c := site.NewCaller()
	c.Header = s.headers(a)
	return c
}

// publishKeys writes the i-th configuration of a run. Two of four lack the key of removableAccount,
// so that its absence outlasts revokeLimit.
func (s *soak) publishKeys(i int) int {
	if !s.features || !s.restoring.TryLock() {
		return s.publish()
	}
	defer s.restoring.Unlock()
	before, last := s.keyRemoved, len(s.absences)-1
	s.keyRemoved = i%4 < 2
	if before && !s.keyRemoved {
		s.absences[last].until = time.Now()
	}
	version := s.publish()
	if !before && s.keyRemoved {
		s.absences = append(s.absences, absence{from: time.Now()})
	}
	return version
}

// absent reports whether the newest configuration lacked the key of a request at any time of a span.
func (s *soak) absent(id string, from, to time.Time) bool {
	return accountOfRequest(id) == removableAccount && slices.ContainsFunc(s.absences, func(a absence) bool {
		return a.from.Before(to) && (a.until.IsZero() || a.until.After(from))
	})
}

// checkAccounts checks what ran and what was refused against the accounts. It is to be called when
// no more requests are sent.
func (s *soak) checkAccounts() {
	flood := make(map[string]bool)
	var floodRuns []time.Time
	for _, r := range s.ledger.Runs() {
		a := accountOfRequest(r.RequestID)
		if got := r.Header.Values("Tenant"); !slices.Equal(got, []string{a.name}) {
			s.report.violate("TENANT: %s of account %s ran with the accounts %q", r.RequestID, a.name, got)
		}
		for name, values := range r.Header {
			if strings.Contains(strings.Join(values, " "), a.key) {
				s.report.violate("KEY: %s ran with the key in the header %s", r.RequestID, name)
			}
		}
		if a == floodingAccount && !flood[r.RequestID] { // the parts and retries of a request count once
			flood[r.RequestID] = true
			floodRuns = append(floodRuns, r.At)
		}
		sent := s.report.written[r.RequestID]
		for _, x := range s.absences {
			if late := sent.Sub(x.from); a == removableAccount && late > revokeLimit && (x.until.IsZero() || sent.Before(x.until)) {
				s.report.violate("REVOKED: %s to %s was sent %s after its key was removed, and ran", r.RequestID, s.report.addresses[r.RequestID], late)
			}
		}
	}
	slices.SortFunc(floodRuns, time.Time.Compare)
	for i, begin := 0, 0; i < len(floodRuns); i++ {
		for floodRuns[i].Sub(floodRuns[begin]) >= quotaWindow {
			begin++
		}
		s.report.flood = max(s.report.flood, i-begin+1)
	}
	if float64(s.report.flood) > maxFlood {
		s.report.violate("QUOTA: %d requests of the flooding account ran within %s, %g may", s.report.flood, quotaWindow, maxFlood)
	}
	for id, status := range s.report.answers {
		if status != http.StatusUnauthorized {
			continue
		}
		s.report.unauthorized++
		if sent := s.report.written[id]; !s.absent(id, sent.Add(-knownAfter), sent.Add(patience)) {
			s.report.violate("UNAUTHORIZED: %s to %s got 401, written at %s", id, s.report.addresses[id], sent.UTC().Format(time.RFC3339Nano))
		}
	}
}
