package site

import (
	"encoding/json"
	"net/http"
	"time"
)

// Account returns the entry of a client account in a configuration, whose burst is as large as its
// rate.
func Account(name string, keys []string, perSecond float64) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "rate_per_s": perSecond, "burst": perSecond}
}

// Credentials returns the headers of a caller with an API key that claims to be of an account.
func Credentials(key, claimed string) http.Header {
	return http.Header{"Authorization": {"Bearer " + key}, "Tenant": {claimed}}
}

// StatedAccounts returns the names of client accounts that the headers of a request to a searcher state.
func StatedAccounts(h http.Header) []string { return h.Values("Tenant") }

// KindRollouts is the kind of the orders of roll-outs.
const KindRollouts = "rollouts"

// RolloutOrder returns the content of an order to move a service to another version.
func RolloutOrder(service, version string, duration time.Duration) map[string]any {
	return map[string]any{"backend": service, "target_version": version, "duration_s": duration.Seconds()}
}

// RolloutState returns the state of a roll-out and its target version from the status of its order,
// both empty before the first write.
func RolloutState(status json.RawMessage) (state, target string) {
	var body struct {
		State  string `json:"state"`
		Target string `json:"target_version"`
	}
	_ = json.Unmarshal(status, &body) // fails before the first write
	return body.State, body.Target
}
