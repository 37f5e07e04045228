package routing

import "crypto/sha256"

// Account is a client account: a customer whose callers identify themselves with API keys.
type Account struct {
	// Name is the name that searchers get with each request of the account.
	Name string
	// Priority takes the place of the priority of a request's route. Nil means that the
	// route's priority counts.
	Priority *int
	Quota    Quota
	// Invalid says that the account's entry could not be decoded. Its keys belong to nobody else, but
	// requests with them are refused.
	Invalid bool
}

// Quota limits the requests of an account on all instances together.
type Quota struct {
	// PerSecond is the number of requests a second. Zero means that there is no limit.
	PerSecond float64
	// Burst is the number of requests that may come at once in addition.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// keyDigest is the digest under which an API key is held. Keys themselves are not kept, and the
// time of a lookup says nothing about them.
type keyDigest [sha256.Size]byte

// Accounts holds the client accounts of a configuration.
type Accounts struct {
	byName map[string]*Account
	byKey  map[keyDigest]*Account
	// limited says that an account has a limit.
	limited bool
}

// NewAccounts returns an empty set of accounts.
func NewAccounts() *Accounts {
	return &Accounts{byName: make(map[string]*Account), byKey: make(map[keyDigest]*Account)}
}

// Add adds an account with its API keys. If two accounts have a name or a key in common, the
// later one gets it. An invalid account is found by its keys only.
func (a *Accounts) Add(account Account, keys []string) {
	if !account.Invalid {
		a.byName[account.Name] = &account
		a.limited = a.limited || account.Quota.Limited()
	}
	for _, key := range keys {
		a.byKey[sha256.Sum256([]byte(key))] = &account
	}
}

// Lookup returns the account that holds an API key, or nil if there is none.
func (a *Accounts) Lookup(key string) *Account { return a.byKey[sha256.Sum256([]byte(key))] }

// Named returns the account with a name, or nil if there is none.
func (a *Accounts) Named(name string) *Account { return a.byName[name] }

// Limited reports whether an account has a limit.
func (a *Accounts) Limited() bool { return a.limited }

// Len returns the number of accounts.
func (a *Accounts) Len() int { return len(a.byName) }
