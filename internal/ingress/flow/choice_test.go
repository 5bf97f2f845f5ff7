package flow

import (
	"context"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// coldRequest returns a request to a service with the cold upstreams m/a and m/b, each of
// which takes two requests a second from this gateway.
func coldRequest(t *testing.T) *request {
	t.Helper()
	rt := stalledRequest(t)
	clk := rt.fl.clk.(*clockwork.FakeClock)
	rt.fl.Cold = coldrate.New(clk, "self", func(string) citronstream.ServiceSpec {
		return citronstream.ServiceSpec{ColdStart: time.Second, ColdRate: 8}
	})
	for _, id := range []string{"m/a", "m/b"} {
		rt.fl.Cold.Row(citronstream.Member{ID: id, Service: "s", Revision: 1, Cold: time.Hour})
	}
	clk.Advance(2 * time.Second)
	rt.fl.Cold.Listed(nil, clk.Now())
	rt.routes = &view.Routes{Routing: &citronstream.Routing{}}
	rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "none")
	rt.visited = make(map[string]bool)
	rt.target = clk.Now().Add(200 * time.Millisecond)
	return rt
}

// Guards against a lost permit that costs a repeat, or excludes other upstreams.
func TestOtherUpstreamWithoutPermit(t *testing.T) {
	rt := coldRequest(t)
	for range 2 {
		_, ok := rt.fl.Cold.Take("m/a")
		assert.True(t, ok)
	}
	for range 2 {
		nd, _, permit := rt.pick()
		if assert.NotNil(t, nd) {
			assert.Equal(t, "m/b", nd.ID)
		}
		assert.NotNil(t, permit)
	}
	nd, _, _ := rt.pick()
	assert.Nil(t, nd)
	assert.Equal(t, stalledRequest(t).fl.Budget.Take("s", 5), rt.fl.Budget.Take("s", 5), "the repeats are left")
}

// Guards against a request that waits for a cold upstream longer than its target allows.
func TestRefusedWithoutPermit(t *testing.T) {
	rt := coldRequest(t)
	for nd, _, permit := rt.pick(); nd != nil; nd, _, permit = rt.pick() {
		permit.Sent()
	}
	assert.Nil(t, rt.nextAttempt(t.Context()))
	assert.Equal(t, noPermitLeft, rt.noRetry)
	assert.Equal(t, citronstream.NotRun, rt.worst.Verdict)
	assert.Equal(t, 1100*time.Millisecond, rt.worst.RetryAfter)
}

// Guards against a stream that ends as cut, although its next upstream would only be cold
// for a moment.
func TestBegunStreamWaits(t *testing.T) {
	rt := coldRequest(t)
	clk := rt.fl.clk.(*clockwork.FakeClock)
	for nd, _, permit := rt.pick(); nd != nil; nd, _, permit = rt.pick() {
		permit.Sent()
	}
	rt.started = true
	chosen := make(chan *attempt)
	go func() { chosen <- rt.nextAttempt(t.Context()) }()
	for {
		select {
		case at := <-chosen:
			assert.NotNil(t, at)
			return
		default:
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		if clk.BlockUntilContext(ctx, 1) == nil {
			clk.Advance(turnInterval)
		}
		cancel()
	}
}

// Guards against a new request that takes the permit of a more urgent one that waits.
func TestNewRequestsComeAfterThoseThatWait(t *testing.T) {
	rt := coldRequest(t)
	rt.rank = 1
	urgent := rt.fl.Cold.Wait("s", 0, []string{"m/a", "m/b"})
	nd, _, _ := rt.pick()
	assert.Nil(t, nd)
	rt.rank = 0
	nd, _, _ = rt.pick()
	assert.Nil(t, nd, "it came later")
	urgent.Leave()
	nd, _, _ = rt.pick()
	assert.NotNil(t, nd)
}

// Guards against a request that is sent to an upstream whose zone was evacuated, or that
// turned cold, while its inputs were computed.
func TestRecheck(t *testing.T) {
	rt := coldRequest(t)
	at := rt.newAttempt(t.Context(), rt.fl.View.Members().Node("m/a"), nil, time.Time{})
	assert.Nil(t, rt.recheck(at))
	assert.NotNil(t, at.permit)
	_, ok := rt.fl.Cold.Take("m/a")
	assert.True(t, ok)
	late := rt.newAttempt(t.Context(), at.nd, nil, time.Time{})
	if fa := rt.recheck(late); assert.NotNil(t, fa) {
		assert.Equal(t, citronstream.NotRun, fa.Verdict)
	}
}

// Guards against a request that is sent to an upstream that was removed, has started anew or
// has said that it leaves since it was chosen, and against one that loses its repeat so.
func TestRecheckOfListing(t *testing.T) {
	for name, change := range map[string]func(vi *view.View, at *attempt){
		"removed": func(vi *view.View, _ *attempt) {
			vi.Apply([]citronstream.Change{{Row: citronstream.Row{Key: "m/a", Version: 3}, Deleted: true}}, view.SourceStore)
		},
		"leaves": func(vi *view.View, at *attempt) { vi.Leaves(at.nd, false) },
		"other start": func(_ *view.View, at *attempt) {
			at.nd = node.New(citronstream.Member{ID: "m/a", Service: "s", StartedMs: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			rt := coldRequest(t)
			rt.stages = newStages(rt)
			rt.nextRetry = rt.fl.clk.Now()
			retry, _ := rt.takeRetry()
			at := rt.newAttempt(t.Context(), rt.fl.View.Members().Node("m/a"), nil, retry)
			change(rt.fl.View, at)
			rt.send(at)
			re := rt.failAttempt(at, nil, at.fault)
			rt.account(at, &re)
			rt.finish(at)
			assert.Equal(t, citronstream.NotRun, re.fault.Verdict)
			assert.Zero(t, rt.sends+rt.unreached+rt.deliveries)
			assert.Equal(t, retry, rt.nextRetry, "the repeat is in hand")
			next := rt.nextAttempt(t.Context())
			if assert.NotNil(t, next) {
				assert.Equal(t, "m/b", next.nd.ID)
			}
		})
	}
	t.Run("replaced as it was", func(t *testing.T) {
		rt := coldRequest(t)
		at := rt.newAttempt(t.Context(), node.New(citronstream.Member{ID: "m/a", Service: "s", Slots: 9}), nil, time.Time{})
		assert.Nil(t, rt.recheck(at))
	})
}

// Guards against a new request that is kept from an upstream by one that can't use it.
func TestPermitThatNobodyWaitsFor(t *testing.T) {
	rt := coldRequest(t)
	rt.fl.Cold.Wait("s", 0, []string{"m/a"})
	nd, _, _ := rt.pick()
	if assert.NotNil(t, nd) {
		assert.Equal(t, "m/b", nd.ID)
	}
}

// Guards against a choice that takes the lock of the cold upstreams for each upstream: with
// 160 of them and hundreds of requests a second the choices wait for each other. The number
// of looks at the clock, one under each lock, must not grow with the upstreams.
func TestChoiceTakesTheLockOnce(t *testing.T) {
	rt := coldRequest(t)
	counting := &countingClock{Clock: rt.fl.clk}
	rt.fl.Cold = coldrate.New(counting, "self", func(string) citronstream.ServiceSpec {
		return citronstream.ServiceSpec{ColdStart: time.Second, ColdRate: 8}
	})
	for _, id := range []string{"m/a", "m/b"} {
		rt.fl.Cold.Row(citronstream.Member{ID: id, Service: "s", Revision: 1, Cold: time.Hour})
	}
	counting.looks = 0
	rt.usable()
	assert.Equal(t, 1, counting.looks)
}

// Guards against engines that turn cold unnoticed and whose requests are not bounded, and
// against a bound for services whose upstreams never turn cold.
func TestDemandHasTheBoundOfUnknownUpstreams(t *testing.T) {
	for rate, most := range map[float64]int{0: 0, 8.9: 14} {
		rt := coldRequest(t)
		rt.fl.Cold = coldrate.New(rt.fl.clk, "self", func(string) citronstream.ServiceSpec {
			return citronstream.ServiceSpec{ColdStart: time.Second, ColdRate: rate}
		}, coldrate.WithBound(1.5, 5))
		rt.CallerRequest, rt.visit = &citronstream.CallerRequest{}, &partquarantine.Visit{}
		assert.Equal(t, most, rt.demand(nil).MaxStarts)
	}
}

// countingClock counts the calls of Now.
type countingClock struct {
	citronstream.Clock
	looks int
}

func (cc *countingClock) Now() time.Time {
	cc.looks++
	return cc.Clock.Now()
}
