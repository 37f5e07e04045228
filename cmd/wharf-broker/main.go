// Command wharf-broker owns searchers and serves entries. It also claims
// bookings.
package main

import (
	"os"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/daemon"
)

func main() { os.Exit(daemon.Main(control.RoleBroker, newService)) }
