package policy

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

func sites() []Site { return []Site{Magnolia(), Nullagine()} }

func forEachRun(t *testing.T, check func(t *testing.T, si Site, seed uint64)) {
	for _, si := range sites() {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s seed %d", si.Name, seed), func(t *testing.T) {
				t.Parallel()
				check(t, si, seed)
			})
		}
	}
}

// outcomes keeps runs by their name and seed, since several tests look at the same run.
var outcomes sync.Map

// fairRun returns the run of the project's policy, which takes place once.
func fairRun(si Site, sc Scenario, seed uint64) Outcome {
	once, _ := outcomes.LoadOrStore(fmt.Sprint(si.Name, sc.Name, seed), sync.OnceValue(func() Outcome {
		return runOnce(si, Fair(nil), sc, seed)
	}))
	return once.(func() Outcome)()
}

func runOnce(si Site, po Policy, sc Scenario, seed uint64) Outcome {
	return New(WithSite(si), WithPolicy(po)).Run(sc, seed)
}

// assertKeeps compares the requests that met their deadline with those of the run without the flood.
func assertKeeps(t *testing.T, share float64, before, during Tally, what string) {
	t.Helper()
	assert.Equal(t, before.Offered, during.Offered, "the runs have the same requests")
	assert.GreaterOrEqual(t, float64(during.Met), share*float64(before.Met), "%s: %d met before, %d during", what, before.Met, during.Met)
}

const smallShare = 0.1

// Guards against a flood of the least urgent work that takes service from urgent work or from small workspaces.
func TestFloodOfTheLeastUrgent(t *testing.T) {
	forEachRun(t, func(t *testing.T, si Site, seed uint64) {
		before := fairRun(si, Steady(), seed)
		during := fairRun(si, FloodLeast(), seed)
		assert.GreaterOrEqual(t, during.Ranks[0].Attainment(), 0.99, "urgent rank")
		for ws, share := range si.Shares {
			if share < smallShare {
				assertKeeps(t, 0.95, before.Workspaces[ws], during.Workspaces[ws], workspaceName(ws))
			}
		}
	})
}

// Guards against a flood of urgent work by one workspace that takes service from the others.
func TestFloodOfTheMostUrgent(t *testing.T) {
	forEachRun(t, func(t *testing.T, si Site, seed uint64) {
		before := fairRun(si, Steady(), seed)
		during := fairRun(si, FloodMost(), seed)
		for ws := 1; ws < len(si.Shares); ws++ {
			assertKeeps(t, 0.95, before.Cells[ws][0], during.Cells[ws][0], workspaceName(ws))
		}
		for rank := 1; rank < len(si.Ranks); rank++ {
			// Rank.Floor is a share of one upstream's service, for work that waits there.
			if ba := during.Backlogs["model"][rank]; ba.All > 0 {
				assert.GreaterOrEqual(t, ba.Own/ba.All, si.Ranks[rank].Floor, "share of %s while it waits", si.Ranks[rank].Name)
			}
		}
	})
}

// Guards against ranks that fall below their floor of the whole service in a flood of urgent work.
func TestFloorsOfTheService(t *testing.T) {
	forEachRun(t, func(t *testing.T, si Site, seed uint64) {
		ou := fairRun(si, FloodMost(), seed)
		for rank := 1; rank < len(si.Ranks); rank++ {
			// A rank whose requests are all met has had what it asked for.
			if ou.Ranks[rank].Met < ou.Ranks[rank].Offered {
				assert.GreaterOrEqual(t, ou.Share("model", rank), si.Ranks[rank].Floor, "share of %s", si.Ranks[rank].Name)
			}
		}
	})
}

// Guards against retries that multiply the load when stages are slow or lost.
func TestRetriesStayInBudget(t *testing.T) {
	for _, sc := range Scenarios() {
		t.Run(sc.Name, func(t *testing.T) {
			t.Parallel()
			ou := fairRun(Magnolia(), sc, 1)
			constant := 3 * Magnolia().Zones // of each entry
			assert.LessOrEqual(t, ou.Retries, ou.Requests/10+constant)
		})
	}
}

// Guards against bounds that any policy would keep.
func TestBaselinesMissTheBounds(t *testing.T) {
	for _, po := range []Policy{RoundRobin(), LeastReported()} {
		t.Run(po.Name, func(t *testing.T) {
			t.Parallel()
			ou := runOnce(Magnolia(), po, FloodLeast(), 1)
			assert.Less(t, ou.Ranks[0].Attainment(), 0.99)
			assert.Less(t, ou.Workspaces[4].Attainment(), 0.95)
		})
	}
}

// Guards against a result that depends on anything but the seed.
func TestSameSeedSameOutcome(t *testing.T) {
	for _, sc := range Scenarios() {
		if sc.FloodBy == 0 {
			assert.Equal(t, runOnce(Nullagine(), Fair(nil), sc, 7), runOnce(Nullagine(), Fair(nil), sc, 7))
		}
	}
}

// BenchmarkPolicies reports the outcome of each policy in each scenario; -v prints whole lines.
func BenchmarkPolicies(b *testing.B) {
	for _, si := range sites() {
		for _, sc := range Scenarios() {
			for _, po := range []Policy{Fair(nil), RoundRobin(), LeastReported()} {
				b.Run(si.Name+"/"+sc.Name+"/"+po.Name, func(b *testing.B) {
					var ou Outcome
					for b.Loop() {
						ou = runOnce(si, po, sc, 1)
					}
					for rank, ta := range ou.Ranks {
						b.ReportMetric(100*ta.Attainment(), "%"+si.Ranks[rank].Name)
					}
					b.ReportMetric(float64(ou.Retries), "retries")
					b.ReportMetric(float64(ou.LongestQueue), "longest-queue")
					b.Log(ou.String())
				})
			}
		}
	}
}
