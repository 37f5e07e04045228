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
	// floodRate is the quota of the account that floods, and its burst. In a quotaWindow maxFlood of
	// its requests may run, with the overage of 0.1 and the slack of 20 in the settings file.
	floodRate   = 10
	quotaWindow = 5 * time.Second
	maxFlood    = (floodRate*float64(quotaWindow/time.Second)+floodRate)*1.1 + 20
)

// account is a client account with the key that its callers use.
type account struct {
	name, key string
	rate      int
}

var (
	plainAccount     = account{"plain", "key-plain-5f0c", 2000}
	removableAccount = account{"removable", "key-removable-91d2", 2000}
	floodingAccount  = account{"flooding", "key-flooding-c3a7", floodRate}
)

// absence is a time in which the newest configuration lacks the key of removableAccount. until is
// zero while it still does.
type absence struct{ from, until time.Time }

// accountOf returns the account of a request, by its ID, which begins with the number of its caller.
func accountOf(id string) account {
	switch fmt.Sprintf("%.4s", id) {
	case "0009", "0008":
		return floodingAccount
	case "0007":
		return removableAccount
	}
	return plainAccount
}

// tenants returns the client accounts of the next configuration.
func (s *soak) tenants() (list []any) {
	for _, a := range []account{plainAccount, removableAccount, floodingAccount} {
		keys := []string{a.key}
		if s.keyRemoved && a == removableAccount {
			keys = []string{}
		}
		list = append(list, site.Account(a.name, keys, float64(a.rate)))
	}
	return list
}

// headers returns what callers of an account send, nil if the deployment has no accounts. They
// claim to be of another account.
func (s *soak) headers(a account) http.Header {
	if !s.features {
		return nil
	}
	return site.Credentials(a.key, "forged")
}

// publishKeys writes the i-th configuration of a run. Two of four lack the key of removableAccount,
// so that its absence outlasts revokeLimit.
func (s *soak) publishKeys(i int) int {
	if !s.features || !s.restoring.TryLock() {
		return s.publish()
	}
	defer s.restoring.Unlock()
	if s.keyRemoved && i%4 >= 2 {
		s.absences[len(s.absences)-1].until = time.Now()
	}
	begins := !s.keyRemoved && i%4 < 2
	s.keyRemoved = i%4 < 2
	version := s.publish()
	if begins {
		s.absences = append(s.absences, absence{from: time.Now()})
	}
	return version
}

// checkAccounts checks what ran and what was refused against the accounts. It is to be called when
// no more requests are sent.
func (s *soak) checkAccounts() {
	if !s.features {
		return
	}
	flooded := make(map[string]bool)
	var floodRuns []time.Time
	for _, r := range s.ledger.Runs() {
		a := accountOf(r.RequestID)
		if got := site.StatedAccounts(r.Header); !slices.Equal(got, []string{a.name}) || strings.Contains(fmt.Sprint(r.Header), a.key) {
			s.report.violate("ACCOUNT: %s of %s ran with the key, or as a request of %q: %v", r.RequestID, a.name, got, r.Header)
		}
		if a == floodingAccount && !flooded[r.RequestID] { // the parts and retries of a request count once
			flooded[r.RequestID] = true
			floodRuns = append(floodRuns, r.At)
		}
		sent := s.report.written[r.RequestID]
		for _, x := range s.absences {
			if late := sent.Sub(x.from); a == removableAccount && late > revokeLimit && (x.until.IsZero() || r.At.Before(x.until)) {
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
		sent := s.report.written[id]
		if accountOf(id) != removableAccount || !slices.ContainsFunc(s.absences, func(a absence) bool {
			return a.from.Before(sent.Add(patience)) && (a.until.IsZero() || a.until.After(sent.Add(-knownAfter)))
		}) {
			s.report.violate("UNAUTHORIZED: %s to %s got 401, written at %s", id, s.report.addresses[id], sent.UTC().Format(time.RFC3339Nano))
		}
	}
}
