package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
)

// SearchService describes a search service to generate, for measurements at
// fan-outs that no deployment has yet.
type SearchService struct {
	Name        string
	Shards      int
	Slots       int
	Domains     []string
	HedgeBudget float64
	Deadline    string
	// MinCoverage and SoftDeadline are left out if they are zero.
	MinCoverage  float64
	SoftDeadline string
}

// firstPort is the port of the first generated searcher.
const firstPort = 10000

// Write writes the settings file of the service to dir, with a replica of each
// shard in each failure domain.
func (s SearchService) Write(dir string) error {
	var text strings.Builder
	fmt.Fprintf(&text, "service: %s\nkind: search\ndeadline: %s\n", s.Name, s.Deadline)
	if s.SoftDeadline != "" {
		fmt.Fprintf(&text, "soft_deadline: %s\n", s.SoftDeadline)
	}
	if s.MinCoverage > 0 {
		fmt.Fprintf(&text, "min_coverage: %g\n", s.MinCoverage)
	}
	fmt.Fprintf(&text, "hedge_budget: %g\nqueue_limit: 64\n", s.HedgeBudget)
	fmt.Fprintf(&text, "limits: {slots: %d, connections: 30, cold: {allowance: 1, step_successes: 4}}\nindexes:\n", s.Slots)
	port := firstPort
	for shard := range s.Shards {
		fmt.Fprintf(&text, "  - name: part-%03d\n    shard: %d\n    searchers:\n", shard, shard)
		for i, domain := range s.Domains {
			fmt.Fprintf(&text, "      - {id: s-%03d-%d, address: 127.0.0.1:%d, failure_domain: %s}\n", shard, i, port, domain)
			port++
		}
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(filepath.Join(dir, s.Name+".yaml"), []byte(text.String()), 0o644))
}
