package engines

import (
	"encoding/json"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

const (
	// A cold engine takes 8.9 x 1.5 + 5 requests within a second; testMaxStarts is 0.8 of that.
	coldBound     = 18
	testMaxStarts = 14
)

// playStarts plays arrivals and returns the most requests that any engine got within a second,
// and how many of all were above coldBound.
func playStarts(si simSite, seed uint64, maxStarts int) (most, above int, out simOutcome) {
	sm := newSim(si, inForce)
	times := make(map[string][]time.Duration)
	sm.sends = func(_ int, nd *node.Node) { times[nd.ID] = append(times[nd.ID], sm.now) }
	list := simArrivals(si, seed)
	for i := range list {
		list[i].rq.MaxStarts = maxStarts
	}
	out = sm.play(list)
	for _, all := range times {
		first := 0
		for i, at := range all {
			for at-all[first] >= time.Second {
				first++
			}
			if most = max(most, i-first+1); i-first+1 > coldBound {
				above++
			}
		}
	}
	return most, above, out
}

// Load pattern: 25 gateways before 46 engines, any of which, or all of a zone, may have turned
// cold without being known as cold: 150 requests a second, 360 in bursts of 6 s. Guards
// against an engine that gets more than a cold one takes, and against requests that are late
// for this bound.
func TestUnknownColdEngine(t *testing.T) {
	si := simSite{gateways: 25, engines: 46, tell: 200 * time.Millisecond, rate: 150.0 / 93, span: 13 * time.Second, bursts: true}
	most := 0
	for seed := range uint64(3) {
		before, _, without := playStarts(si, seed+1, 0)
		now, _, with := playStarts(si, seed+1, testMaxStarts)
		t.Logf("seed %d: %d, %s", seed+1, before, without.String())
		t.Logf("seed %d: %d, %s", seed+1, now, with.String())
		most = max(most, before)
		assert.LessOrEqual(t, now, coldBound)
		assert.Equal(t, without.all, with.all)
		assert.LessOrEqual(t, with.late(), without.late())
		assert.Less(t, with.p99(), 1.1*without.p99())
	}
	assert.Greater(t, most, coldBound)
}

// Load pattern: as above, 525 requests a second in bursts, so that an engine gets 11 on
// average. The bound can't be kept by choice alone there: what gateways send before they hear
// of each other exceeds it at times. Guards against a bound without effect.
func TestUnknownColdEngineInALargeBurst(t *testing.T) {
	si := simSite{gateways: 25, engines: 46, tell: 200 * time.Millisecond, rate: 525.0 / 2.4 / 93, span: 9 * time.Second, bursts: true}
	before, without, now, with := 0, 0, 0, 0
	for seed := range uint64(3) {
		most, above, out := playStarts(si, seed+1, 0)
		t.Logf("seed %d: %d, %d above, %s", seed+1, most, above, out.String())
		before, without = before+above, without+out.late()
		most, above, out = playStarts(si, seed+1, testMaxStarts)
		t.Logf("seed %d: %d, %d above, %s", seed+1, most, above, out.String())
		now, with = now+above, with+out.late()
	}
	assert.Less(t, now, before/4)
	assert.LessOrEqual(t, with, without)
}

// Guards against a bound that keeps requests from engines although no other has free
// capacity, and against one that lasts without news of the peers.
func TestBoundOfStarts(t *testing.T) {
	clk := clockwork.NewFakeClock()
	nodes := []*node.Node{node.New(citronstream.Member{ID: "a", Slots: 4}), node.New(citronstream.Member{ID: "b", Slots: 4})}
	shared := []citronstream.PromptPart{{ID: 1, Tokens: 4000}}
	pick := func(pi *Picker) string {
		return pi.Prefer(nodes, Request{Tokens: 4100, Shared: shared, Slack: time.Second, MaxStarts: 3}).ID
	}
	newPicker := func() *Picker {
		pi := New(clk)
		pi.UpdateLoad("x", citronstream.EntryLoad{
			Engines: map[string]citronstream.EngineLoad{"a": {Started: 2}}, Cached: []citronstream.CachedPart{{Part: 1, Engine: "a"}},
		})
		assert.Equal(t, "a", pick(pi), "it has the part")
		pi.UpdateLoad("y", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"a": {Started: 1}}})
		return pi
	}
	t.Run("others are preferred", func(t *testing.T) {
		pi := newPicker()
		assert.Equal(t, 3, pi.MostStarts())
		assert.Equal(t, "b", pick(pi))
		clk.Advance(startWindow)
		assert.Equal(t, "a", pick(pi), "nothing is told any more")
	})
	t.Run("unless they have no slot", func(t *testing.T) {
		pi := newPicker()
		pi.UpdateLoad("z", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"b": {Running: 4}}})
		assert.Equal(t, "a", pick(pi))
	})
	t.Run("unless they have got as many", func(t *testing.T) {
		pi := newPicker()
		pi.UpdateLoad("z", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"b": {Started: 3}}})
		assert.Equal(t, "a", pick(pi))
	})
	t.Run("unless all get about as many", func(t *testing.T) {
		pi := newPicker()
		pi.UpdateLoad("z", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"a": {Started: 3}}})
		assert.Equal(t, "a", pick(pi), "six for two engines that should get three each")
	})
	t.Run("unless they would be late", func(t *testing.T) {
		pi := newPicker()
		pi.UpdateLoad("z", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"b": {PrefillTokens: 60000}}})
		assert.Equal(t, "a", pick(pi))
	})
}

// Guards against requests that are told to the peers for services without cold upstreams, or
// for longer than they count.
func TestStartsAreTold(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi := New(clk)
	nodes := []*node.Node{node.New(citronstream.Member{ID: "a"})}
	send := func(maxStarts int) {
		rq := Request{Tokens: 1, MaxStarts: maxStarts}
		pi.End(pi.Pick(nodes, &rq), rq, false)
	}
	told := func() string {
		load, _ := pi.ChangedLoad()
		text, err := json.Marshal(load)
		assert.NoError(t, err)
		return string(text)
	}
	send(0)
	assert.Equal(t, `{"Engines":{}}`, told())
	send(9)
	send(9)
	assert.Equal(t, `{"Engines":{"a":{"Sent":2}}}`, told())
	clk.Advance(startWindow)
	assert.Equal(t, `{"Engines":{}}`, told())
}

// Guards against a faulty peer that lifts the bound of an engine by a negative number of
// requests, or by numbers whose sum overflows.
func TestAbsurdStarts(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi := New(clk)
	for at, count := range []int{4, -1000, math.MaxInt, math.MaxInt} {
		pi.UpdateLoad(strconv.Itoa(at), citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"e": {Started: count}}})
		assert.GreaterOrEqual(t, pi.MostStarts(), 4)
	}
}
