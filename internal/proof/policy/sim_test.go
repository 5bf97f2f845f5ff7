package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func sites() []Site { return []Site{Magnolia(), Nullagine()} }

func runOnce(si Site, po Policy, sc Scenario, seed uint64) Outcome {
	return New(WithSite(si), WithPolicy(po)).Run(sc, seed)
}

// TestTable prints all policies in all scenarios with -v.
func TestTable(t *testing.T) {
	for _, si := range sites() {
		for _, sc := range Scenarios() {
			for _, po := range []Policy{Fair(nil), RoundRobin(), LeastReported()} {
				ou := runOnce(si, po, sc, 1)
				t.Log(ou.String())
				for _, ta := range append(ou.Ranks, ou.Flood) {
					assert.LessOrEqual(t, ta.Met+ta.Refused, ta.Offered)
				}
			}
		}
	}
}
