// Command wharf-entry serves callers: it plans queries, scatters them to the
// brokers and gathers the replies.
package main

import (
	"os"

	"github.com/wisteriawharf/wisteriawharf/control"
	"github.com/wisteriawharf/wisteriawharf/daemon"
)

func main() { os.Exit(daemon.Main(control.RoleEntry, newService)) }
