package nearest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/policy"
	_ "github.com/citronstream/citronstream/internal/route/leastreport"
	_ "github.com/citronstream/citronstream/internal/route/nearest"
	_ "github.com/citronstream/citronstream/internal/route/roundrobin"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func fleet(count, zones int) *citronstream.Fleet {
	fl := &citronstream.Fleet{Version: 1, Services: []citronstream.Service{{Name: "gen"}}, Workspaces: make([]citronstream.Workspace, 1700)}
	fl.Regions = []citronstream.Region{{Name: "r"}}
	for i := range zones {
		fl.Regions[0].Zones = append(fl.Regions[0].Zones, citronstream.Zone{Name: fmt.Sprintf("z%d", i), Distance: citronstream.Duration(time.Millisecond)})
	}
	for i := range count {
		name := fmt.Sprintf("u%d", i)
		fl.Instances = append(fl.Instances, citronstream.Instance{Name: name, Zone: fmt.Sprintf("z%d", i%zones)})
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: name, Service: "gen", Instance: name, Capacity: 4})
	}
	return fl
}

type fixedHints []policy.Holder

func (fi fixedHints) Holders([]uint64) (out [policy.MaxHolders]policy.Holder, count int) {
	count = copy(out[:], fi)
	return out, count
}

func setup(tb testing.TB, name string, count, zones int, hints policy.Hints) (*table.Table, citronstream.Picker) {
	tb.Helper()
	clk := citronstream.Clock(clockwork.NewFakeClock())
	if _, ok := tb.(*testing.B); ok {
		clk = clockwork.NewRealClock() // so that the zones' mean waits expire
	}
	ta := table.New(clk)
	require.True(tb, ta.Replace(fleet(count, zones)))
	pi, err := policy.New(name, policy.Deps{Table: ta, Clock: clk, Seed: 7, Hints: hints})
	require.NoError(tb, err)
	return ta, pi
}

// shares returns how often each upstream is picked in 1,000 picks.
func shares(pi citronstream.Picker, pr citronstream.PickRequest) map[string]int {
	got := map[string]int{}
	for range 1000 {
		name, _ := pi.Pick(pr)
		got[name]++
	}
	return got
}

var request = citronstream.PickRequest{Service: "gen", Zone: "z0"}

// A leaving upstream must receive no new work, nor must an excluded one.
func TestEveryPolicy(t *testing.T) {
	for _, name := range policy.Names() {
		t.Run(name, func(t *testing.T) {
			ta, pi := setup(t, name, 6, 2, nil)
			ta.Mark("u0", table.FromAnnouncement, table.Leaving)
			ta.Mark("u1", table.FromList, table.Gone)
			ta.Mark("u2", table.FromLink, table.Suspect)
			pr := request
			pr.Exclude = []string{"u3"}
			got := shares(pi, pr)
			for _, bad := range []string{"", "u0", "u1", "u2", "u3"} {
				assert.Zero(t, got[bad], bad)
			}
			ta.Mark("u4", table.FromList, table.Gone)
			ta.Mark("u5", table.FromList, table.Gone)
			assert.Equal(t, map[string]int{"u2": 1000}, shares(pi, pr), "suspect as the last resort")
			pr.Exclude = append(pr.Exclude, "u2")
			assert.Equal(t, map[string]int{"": 1000}, shares(pi, pr))
			_, ok := pi.Pick(citronstream.PickRequest{Service: "none"})
			assert.False(t, ok)
		})
	}
}

func report(ta *table.Table, name string, cost float64, models ...string) {
	ta.Report(citronstream.Load{Upstream: name, Seq: uint64(cost) + 1, Cost: cost, Models: models})
}

func TestNearest(t *testing.T) {
	// Without the preference for the own zone, each call would be delayed by the distance.
	t.Run("own zone while it is idle", func(t *testing.T) {
		_, pi := setup(t, "", 6, 3, nil)
		got := shares(pi, request)
		assert.Equal(t, 1000, got["u0"]+got["u3"])
		assert.Greater(t, min(got["u0"], got["u3"]), 300)
	})
	t.Run("spills when the own zone is loaded", func(t *testing.T) {
		ta, pi := setup(t, "", 6, 3, nil)
		report(ta, "u0", 20) // 500 ms of wait, above the reports' lag
		report(ta, "u3", 20)
		got := shares(pi, request)
		assert.Zero(t, got["u0"]+got["u3"])
	})
	// The mean of a zone must not hide that the only upstream of a model is overloaded.
	t.Run("spills when one model is loaded", func(t *testing.T) {
		ta, pi := setup(t, "", 6, 3, nil)
		for name, cost := range map[string]float64{"u0": 100, "u1": 0, "u2": 0} {
			report(ta, name, cost, "m")
		}
		for name, cost := range map[string]float64{"u3": 0, "u4": 110, "u5": 110} {
			report(ta, name, cost, "other")
		}
		pr := request
		pr.Model = "m"
		assert.Zero(t, shares(pi, pr)["u0"])
	})
	// A rank gets its guaranteed share of the service only if its calls wait at each upstream.
	t.Run("prefers an unused floor of the rank", func(t *testing.T) {
		ta, pi := setup(t, "", 2, 1, nil)
		fl := fleet(2, 1)
		fl.Ranks = []citronstream.Rank{{Floor: 0.3}, {Floor: 0.2}}
		require.True(t, ta.Replace(fl))
		ta.Report(citronstream.Load{Upstream: "u0", Seq: 1, Cost: 110, Rate: 100, Waiting: 1, Ranks: []float64{98, 2}})
		ta.Report(citronstream.Load{Upstream: "u1", Seq: 1, Cost: 150, Rate: 100, Waiting: 1, Ranks: []float64{140}})
		pr := request
		pr.Rank = 1
		assert.Equal(t, map[string]int{"u1": 1000}, shares(pi, pr))
		pr.Rank = 0
		assert.Greater(t, shares(pi, pr)["u0"], 500, "the urgent rank waits at both")
	})
	// A weight of 0.1 must leave about a tenth of the normal work, as probes.
	t.Run("reduced weight", func(t *testing.T) {
		ta, pi := setup(t, "", 2, 1, nil)
		ta.Snapshot().Node("u1").SetWeight(0.1)
		assert.InDelta(t, 90, shares(pi, request)["u1"], 60)
	})
	t.Run("only upstreams with the model", func(t *testing.T) {
		ta, pi := setup(t, "", 100, 1, nil)
		for i := range 100 {
			report(ta, fmt.Sprintf("u%d", i), 0, "other")
		}
		report(ta, "u7", 3, "m")
		pr := request
		pr.Model = "m"
		assert.Equal(t, map[string]int{"u7": 1000}, shares(pi, pr))
	})
}

func TestPrefixCredit(t *testing.T) {
	t.Run("prefix credit is weighed against load", func(t *testing.T) {
		ta, pi := setup(t, "", 50, 1, fixedHints{{Upstream: "u9", Blocks: 10}})
		pr := request
		pr.Blocks = []uint64{1}
		// rare returns how many of 20 calls among 50 times as many go to the holder.
		rare := func() (hits int) {
			for range 20 {
				for range 49 {
					pi.Pick(request)
				}
				if name, _ := pi.Pick(pr); name == "u9" {
					hits++
				}
			}
			return hits
		}
		assert.Equal(t, 20, rare())
		report(ta, "u9", 4) // 100 ms of wait at the assumed rate against 60 ms of credit
		assert.Less(t, rare(), 3)
	})
	// Until the reports show the load, only the diversion budget protects the
	// holder of a popular prefix.
	t.Run("a popular prefix adds at most the even share", func(t *testing.T) {
		_, pi := setup(t, "", 50, 1, fixedHints{{Upstream: "u9", Blocks: 10}})
		pr := request
		pr.Blocks = []uint64{1}
		assert.InDelta(t, 40, shares(pi, pr)["u9"], 15)
	})
}

func BenchmarkPick(b *testing.B) {
	for _, name := range policy.Names() {
		for _, count := range []int{10, 100, 1000, 1700} {
			ta, pi := setup(b, name, count, 3, fixedHints{{Upstream: "u9", Blocks: 1}})
			for i := range count {
				ta.Report(citronstream.Load{Upstream: fmt.Sprintf("u%d", i), Seq: 1, Cost: float64(20 + i%7), Ranks: []float64{float64(i % 3), float64(i % 5), float64(i % 2)}, Models: []string{"a", "b", "m"}})
			}
			pr := citronstream.PickRequest{Service: "gen", Zone: "z0", Model: "m", Rank: 1, Blocks: []uint64{1, 2}, Exclude: []string{"u1"}}
			b.Run(fmt.Sprintf("%s/%d/serial", name, count), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					up, _ := pi.Pick(pr)
					pi.Sent(up, 0, 0)
				}
			})
			b.Run(fmt.Sprintf("%s/%d/parallel", name, count), func(b *testing.B) {
				b.ReportAllocs()
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						up, _ := pi.Pick(pr)
						pi.Sent(up, 0, 0)
					}
				})
			})
		}
	}
}

// BenchmarkPickScarce is the worst case: one usable upstream, in another zone.
func BenchmarkPickScarce(b *testing.B) {
	for _, name := range policy.Names() {
		ta, pi := setup(b, name, 1700, 3, nil)
		for i := range 1699 {
			ta.Mark(fmt.Sprintf("u%d", i), table.FromList, table.Gone)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				pi.Pick(request)
			}
		})
	}
}

// At 5,300 requests/s, an allocation in each pick would load the garbage collector.
func TestPickDoesNotAllocate(t *testing.T) {
	for _, name := range policy.Names() {
		_, pi := setup(t, name, 1700, 3, fixedHints{{Upstream: "u9", Blocks: 1}})
		pr := request
		pr.Blocks = []uint64{1}
		assert.Zero(t, testing.AllocsPerRun(200, func() { pi.Pick(pr) }), name)
	}
}
