package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestAccountLookup guards against a key that finds the account of another key, and a key that is
// kept as it is.
func TestAccountLookup(t *testing.T) {
	a := NewAccounts()
	a.Add(Account{Name: "one"}, []string{"k1", "k2"})
	a.Add(Account{Name: "two"}, []string{"k3"})
	qt.Assert(t, a.Lookup("k2").Name, qt.Equals, "one")
	qt.Assert(t, a.Lookup("k3").Name, qt.Equals, "two")
	for _, unknown := range []string{"", "k", "K1", "k1 "} {
		qt.Assert(t, a.Lookup(unknown), qt.IsNil, qt.Commentf("%q", unknown))
	}
}
