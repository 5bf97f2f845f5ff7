package coldrate

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Settings of the current deployments: at most 18 requests within a second.
const (
	testRate    = 8.9
	testOverage = 1.5
	testSlack   = 5
)

func testSpec(string) citronstream.ServiceSpec {
	return citronstream.ServiceSpec{ColdStart: 3 * time.Second, ColdRate: testRate}
}

func address(number int) string { return fmt.Sprintf("10.0.0.%d:1", number) }

func newLimiter(clk citronstream.Clock, number int, opts ...Option) *Limiter {
	return New(clk, address(number), testSpec, append([]Option{WithBound(testOverage, testSlack)}, opts...)...)
}

// settle lets a limiter know some gateways from a complete list.
func settle(clk *clockwork.FakeClock, li *Limiter, known ...string) {
	clk.Advance(settleTime)
	li.Listed(known, clk.Now())
}

// row returns a row of the upstream u.
func row(version uint64, started int64, cold time.Duration) citronstream.Member {
	return citronstream.Member{ID: "u", Service: "s", Zone: "z", StartedMs: started, Revision: version, Cold: cold}
}

func listed(string) bool { return true }

func assertCold(t *testing.T, li *Limiter, cold bool) {
	t.Helper()
	assert.Equal(t, cold, li.Limited("u"))
}

// Guards against a row that was written before the upstream died, but arrives later, and
// says that it is warm.
func TestLateRowThatSaysWarm(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.Row(row(1, 1, 0))
	assertCold(t, li, false)
	li.Died("u", 4*time.Second)
	li.Row(row(2, 1, 0))
	assertCold(t, li, true)
	li.Row(row(2, 1, 0)) // told again by a peer
	assertCold(t, li, true)
	t.Run("a second newer row proves that it lives", func(t *testing.T) {
		li.Row(row(3, 1, 0))
		assertCold(t, li, false)
	})
	t.Run("the restarted process is cold until its next row", func(t *testing.T) {
		li.Died("u", 4*time.Second)
		li.Row(row(4, 2, 0))
		assertCold(t, li, true)
		li.Row(row(5, 2, 0))
		assertCold(t, li, false)
	})
	t.Run("for the cold time at most", func(t *testing.T) {
		li.Died("u", time.Second)
		clk.Advance(4*time.Second - 1)
		assertCold(t, li, true)
		clk.Advance(1)
		assertCold(t, li, false)
	})
}

// Guards against an upstream that gets all requests once its zone is taken back, as its
// row from before says that it is warm.
func TestEndOfEvacuation(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.Row(row(5, 1, 0))
	li.TakenBack("other", 7)
	assertCold(t, li, false)
	li.TakenBack("z", 7)
	assertCold(t, li, true)
	li.Row(row(6, 1, 0))
	assertCold(t, li, true)
	li.Row(row(8, 1, 0))
	assertCold(t, li, false)
	li.TakenBack("z", 7) // heard late: row 8 was written after it
	assertCold(t, li, false)
	li.TakenBack("z", 9)
	clk.Advance(3 * time.Second)
	assertCold(t, li, false)
}

// Guards against a start of a gateway that finds all upstreams cold, and against one that
// takes an upstream for warm that started during traffic.
func TestStarts(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.Row(row(1, 1, 0))
	clk.Advance(startGrace)
	old := row(2, 1, 0)
	old.ID = "old"
	li.Row(old)
	assert.False(t, li.Limited("old"))
	clk.Advance(time.Millisecond)
	fresh := row(3, 1, 0)
	fresh.ID = "fresh"
	li.Row(fresh)
	assert.True(t, li.Limited("fresh"))
	li.Row(row(4, 2, 0))
	assertCold(t, li, true)
	li.Row(row(5, 2, 500*time.Millisecond))
	clk.Advance(500 * time.Millisecond)
	assertCold(t, li, false)
}

// Guards against upstreams that are taken for new ones after the store was away for long.
func TestLongOutage(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.Row(row(1, 1, 0))
	for range 10 {
		clk.Advance(stateTTL)
		li.Sweep(listed)
	}
	li.Row(row(2, 1, 0))
	assertCold(t, li, false)
	t.Run("ones that are gone are forgotten", func(t *testing.T) {
		clk.Advance(stateTTL + 1)
		li.Sweep(func(string) bool { return false })
		assert.Empty(t, li.upstreams)
	})
}

// Guards against an upstream that turns cold again without a start, and against changes
// that are not reported once each.
func TestChanges(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.Row(row(1, 1, 0))
	li.Row(row(2, 1, 2*time.Second))
	li.Row(row(3, 1, time.Second))
	clk.Advance(time.Second)
	li.Sweep(listed)
	li.Sweep(listed)
	li.TakenBack("z", 4)
	assert.Equal(t, []Change{
		{Upstream: "u", Service: "s", Cold: true, Left: 2 * time.Second, Source: SourceRow},
		{Upstream: "u", Service: "s", Source: SourceTime},
		{Upstream: "u", Service: "s", Cold: true, Left: 3 * time.Second, Source: SourceEvacuation},
	}, li.Changes())
	assert.Empty(t, li.Changes(), "a change is told twice")
}

// Guards against permits that are lost with requests that were not sent, and against ones
// that run out while their request is being sent.
func TestPermits(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.Row(row(1, 1, time.Hour))
	settle(clk, li)
	var taken []*Permit
	for range 2 { // one gateway has a third of the rate
		pe, ok := li.Take("u")
		assert.True(t, ok)
		taken = append(taken, pe)
	}
	_, ok := li.Take("u")
	assert.False(t, ok)
	taken[0].Return()
	assert.True(t, li.Free("u"))
	again, _ := li.Take("u")
	assert.Equal(t, window+jitter, li.Next([]string{"u"}, 0))
	clk.Advance(time.Minute)
	assert.False(t, li.Free("u"), "nothing was sent yet")
	again.Sent()
	again.Return() // it was sent
	clk.Advance(window + jitter - 1)
	assert.False(t, li.Free("u"))
	assert.Equal(t, time.Duration(1), li.Next([]string{"u"}, 0))
	clk.Advance(1)
	assert.True(t, li.Free("u"))
}

// Guards against urgent requests that wait behind less urgent ones for a cold upstream.
func TestUrgentRequestsFirst(t *testing.T) {
	li := newLimiter(clockwork.NewFakeClock(), 0)
	late, first := li.Wait("s", 2, []string{"u"}), li.Wait("s", 1, []string{"u"})
	second, urgent := li.Wait("s", 1, []string{"u"}), li.Wait("s", 0, []string{"u"})
	other := li.Wait("t", 3, []string{"u"})
	for ahead, wa := range []*Waiter{urgent, first, second, late} {
		assert.Equal(t, ahead, wa.Ahead())
	}
	assert.True(t, other.Turn())
	assert.True(t, urgent.Turn())
	assert.True(t, li.Waiting("s", "u", 0))
	urgent.Leave()
	assert.True(t, first.Turn())
	assert.False(t, li.Waiting("s", "u", 0), "a more urgent request comes before those that wait")
	assert.True(t, li.Waiting("s", "u", 1))
	for _, wa := range []*Waiter{first, second, late, other} {
		wa.Leave()
	}
	assert.False(t, li.Waiting("s", "u", 3))
	assert.Empty(t, li.waiting)
}

// Guards against a gateway that starts, hears of the end of an evacuation before the rows of
// the zone, and takes its upstreams for warm.
func TestEndOfEvacuationBeforeRows(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	li.TakenBack("z", 7)
	clk.Advance(time.Second)
	li.Row(row(7, 1, 0))
	assertCold(t, li, true)
	other := row(7, 1, 0)
	other.ID, other.Zone = "other", "y"
	li.Row(other)
	assert.False(t, li.Limited("other"))
	clk.Advance(2*time.Second - 1)
	assertCold(t, li, true)
	clk.Advance(1)
	assertCold(t, li, false)
	t.Run("a newer row says that it is warm", func(t *testing.T) {
		li.TakenBack("z", 9)
		li.Row(row(10, 1, 0))
		assertCold(t, li, false)
	})
	t.Run("the oldest is forgotten", func(t *testing.T) {
		for number := range maxEnds {
			li.TakenBack(fmt.Sprint("z", number), uint64(100+number))
		}
		assert.Len(t, li.ends, maxEnds)
		assert.NotContains(t, li.ends, "z")
	})
}

// Guards against a death or a start that makes rows from before the end of an evacuation
// count, which say that the upstream is warm.
func TestDoubtfulRowsStayDoubtful(t *testing.T) {
	for name, happens := range map[string]func(li *Limiter){
		"death":        func(li *Limiter) { li.Died("u", time.Second); li.Row(row(6, 1, 0)) },
		"start":        func(li *Limiter) { li.Row(row(6, 2, 0)) },
		"start, cold":  func(li *Limiter) { li.Row(row(6, 2, time.Second)) },
		"start, 1 ms":  func(li *Limiter) { li.Row(row(6, 2, time.Millisecond)) },
		"nothing else": func(*Limiter) {},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clockwork.NewFakeClock()
			li := newLimiter(clk, 0)
			li.Row(row(5, 1, 0))
			li.TakenBack("z", 9)
			delete(li.ends, "z") // as if too many others had ended since
			happens(li)
			up := li.upstreams["u"]
			li.Row(row(8, up.started, 0))
			clk.Advance(2 * time.Second)
			assertCold(t, li, true)
			assert.Equal(t, uint64(9), up.doubtful)
			li.Row(row(10, up.started, 0))
			li.Row(row(11, up.started, 0)) // the second one after a death
			assertCold(t, li, false)
		})
	}
}

// Guards against a request that keeps others from permits that it can't use itself.
func TestGivesWay(t *testing.T) {
	clk := clockwork.NewFakeClock()
	li := newLimiter(clk, 0)
	for version, id := range []string{"a", "b"} {
		mb := row(uint64(version+1), 1, time.Hour)
		mb.ID = id
		li.Row(mb)
	}
	settle(clk, li)
	for pe, ok := li.Take("a"); ok; pe, ok = li.Take("a") {
		pe.Sent()
	}
	first, second := li.Wait("s", 0, []string{"a"}), li.Wait("s", 1, []string{"a", "b"})
	third := li.Wait("s", 1, []string{"b"})
	assert.False(t, first.Turn(), "a is not free")
	assert.True(t, second.Turn())
	assert.False(t, third.Turn(), "the second one comes first")
	assert.Equal(t, 1, third.Ahead())
	assert.True(t, li.Waiting("s", "b", 1))
	assert.False(t, li.Waiting("s", "b", 0), "the first one can't use it")
	second.SetCandidates([]string{"a"})
	assert.False(t, second.Turn())
	assert.True(t, third.Turn())
	clk.Advance(window + jitter)
	assert.True(t, first.Turn())
	assert.False(t, second.Turn())
}

// Guards against a row of an older copy of the store that says warm, and against a list of the
// gateways in the copy that lacks one.
func TestStoreRestored(t *testing.T) {
	later := func(count uint64) uint64 {
		version, err := citronstream.NewVersion(2, count)
		assert.NoError(t, err)
		return version
	}
	for name, makeCold := range map[string]func(li *Limiter){
		"cold by its row":       func(li *Limiter) { li.Row(row(9, 1, 3*time.Second)) },
		"cold by an evacuation": func(li *Limiter) { li.TakenBack("z", 9) },
		"not known before": func(li *Limiter) {
			li.TakenBack("z", 9)
			delete(li.upstreams, "u")
		},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clockwork.NewFakeClock()
			li := newLimiter(clk, 0)
			li.Row(row(1, 1, 0))
			makeCold(li)
			li.Restored(later(5))
			li.Row(row(later(4), 1, 0))
			assertCold(t, li, true)
			li.Row(row(later(6), 1, 0))
			assertCold(t, li, false)
		})
	}
	t.Run("list of gateways", func(t *testing.T) {
		clk := clockwork.NewFakeClock()
		li := newLimiter(clk, 0)
		settle(clk, li, address(1), address(2))
		li.Restored(later(5))
		clk.Advance(time.Second)
		li.Listed([]string{address(1)}, clk.Now())
		assert.Equal(t, 3, li.Known())
		clk.Advance(rewriteTime)
		li.Listed([]string{address(1)}, clk.Now())
		assert.Equal(t, 2, li.Known())
	})
}
