package policy

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func sites() []Site { return []Site{Magnolia(), Nullagine()} }

func forEachSite(t *testing.T, check func(t *testing.T, si Site, seed uint64)) {
	for _, si := range sites() {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s seed %d", si.Name, seed), func(t *testing.T) {
				t.Parallel()
				check(t, si, seed)
			})
		}
	}
}

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
