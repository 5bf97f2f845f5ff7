package engines

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

func nodes(count int) (list []*node.Node) {
	for i := range count {
		list = append(list, node.New(citronstream.Member{ID: string(rune('a' + i)), Zone: string(rune('x' + i%2)), Slots: 64}))
	}
	return list
}

func shared(id uint64, tokens int) Request {
	return Request{Tokens: tokens + 500, Shared: []citronstream.PromptPart{{ID: 1, Tokens: 100}, {ID: id, Tokens: tokens}}}
}

func pick(pi *Picker, list []*node.Node, rq Request) *node.Node { return pi.Pick(list, &rq) }

// Requests with a shared part must go to one engine, the same at every entry,
// until that engine has much more to read than another one.
func TestAffinityIsBounded(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi, other := New(clk), New(clk)
	list := nodes(9)
	first := pick(pi, list, shared(7, 5000))
	assert.Same(t, first, other.Prefer(list, shared(7, 5000)), "entries agree without a message")
	assert.Same(t, first, pick(pi, list, shared(7, 5000)))
	moved := false
	long := shared(7, 5000)
	long.Tokens += 5000 // of its own: the shared part is read once
	for range 20 {
		moved = moved || pick(pi, list, long) != first
	}
	assert.True(t, moved)
}

// A request with slack waits longer for the engine that has its shared part;
// one that would miss its target there goes to another.
func TestAffinityFollowsTheSlack(t *testing.T) {
	pi := New(clockwork.NewFakeClock())
	list := nodes(9)
	rq := shared(7, 500)
	read := rq
	home := pi.Pick(list, &read)
	pi.End(home, read, false)
	pi.UpdateLoad("peer", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{home.ID: {PrefillTokens: 12000}}}) // 300 ms
	rq.Slack = time.Second
	assert.Same(t, home, pi.Prefer(list, rq))
	rq.Slack = 200 * time.Millisecond
	assert.NotSame(t, home, pi.Prefer(list, rq))
	rq.Slack = -time.Second
	assert.NotSame(t, home, pi.Prefer(list, rq))
}

// A part must stay with the engine that has read it, at all entries, when engines
// are added. A restarted engine has lost its parts, so others get them.
func TestPartsStayWithTheirEngine(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi, other := New(clk), New(clk)
	list := nodes(9)
	read := make(map[uint64]*node.Node)
	for id := range uint64(100) {
		read[id] = pick(pi, list[:4], shared(id+10, 5000))
		pi.End(read[id], shared(id+10, 5000), false)
	}
	places, _ := pi.ChangedLoad()
	assert.Len(t, places.Cached, 100)
	places.Engines = nil
	other.UpdateLoad("peer", places)
	for id, nd := range read {
		assert.Same(t, nd, pi.Prefer(list, shared(id+10, 5000)))
		assert.Same(t, nd, other.Prefer(list, shared(id+10, 5000)))
	}
	for _, nd := range list[:4] {
		nd.StartedMs++
	}
	moved := 0
	for id, nd := range read {
		if pi.Prefer(list, shared(id+10, 5000)) != nd {
			moved++
		}
	}
	assert.Greater(t, moved, 25)
	clk.Advance(resendAfter / 2)
	pick(other, list, shared(10, 5000))
	again, _ := other.ChangedLoad()
	assert.Len(t, again.Cached, 1, "it has moved")
}

// Requests with an equal first part go to few engines, because each has to read it once.
func TestEqualFirstPartsShareFewEngines(t *testing.T) {
	pi := New(clockwork.NewFakeClock())
	homes := make(map[string]bool)
	for id := range uint64(50) {
		homes[pi.Prefer(nodes(9), shared(id+10, 500)).ID] = true
	}
	assert.Len(t, homes, 3)
}

// The load of peers counts until it expires.
func TestPeerLoadExpires(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi := New(clk)
	list := nodes(2)
	pi.UpdateLoad("peer", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"a": {Running: 10, PrefillTokens: 50000}}})
	assert.Equal(t, "b", pi.Prefer(list, Request{Tokens: 100}).ID)
	pi.UpdateLoad("peer", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"b": {Running: 10, PrefillTokens: 50000}}})
	assert.Equal(t, "a", pi.Prefer(list, Request{Tokens: 100}).ID)
	clk.Advance(peerLoadTTL)
	pick(pi, list[:1], Request{Tokens: 100})
	assert.Equal(t, "b", pi.Prefer(list, Request{Tokens: 100}).ID, "a silent peer is not counted")
}

func TestCounts(t *testing.T) {
	pi := New(clockwork.NewFakeClock())
	list := nodes(1)
	rq := Request{Tokens: 100}
	nd := pi.Pick(list, &rq)
	load, changed := pi.ChangedLoad()
	assert.True(t, changed)
	assert.Equal(t, citronstream.EngineLoad{Running: 1, PrefillTokens: 100}, load.Engines["a"])
	pi.FirstEvent(nd, rq)
	pi.End(nd, rq, true)
	load, _ = pi.ChangedLoad()
	assert.Empty(t, load.Engines)
	_, changed = pi.ChangedLoad()
	assert.False(t, changed)
}

// Guards against a load ratio that leaves out what peers told or engines without load.
func TestLoadRatio(t *testing.T) {
	pi := New(clockwork.NewFakeClock())
	list := nodes(4)
	assert.Zero(t, pi.LoadRatio(list))
	assert.Zero(t, pi.LoadRatio(nil))
	pick(pi, list[:1], Request{Tokens: 100})
	pi.UpdateLoad("peer", citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"a": {Running: 2}, "b": {Running: 1}}})
	assert.InDelta(t, 3.0, pi.LoadRatio(list), 1e-9, "3 of 4 requests at one of 4 engines")
}

// An engine whose connections fail must not be chosen, nor an excluded one.
func TestAvoidedAndExcluded(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi := New(clk)
	list := nodes(2)
	list[0].ConnectionBroke(clk.Now())
	assert.Equal(t, "b", pi.Prefer(list, Request{}).ID)
	assert.Nil(t, pi.Prefer(list, Request{Exclude: map[string]bool{"b": true}}))
	clk.Advance(5 * time.Second)
	assert.NotNil(t, pi.Prefer(list, Request{Exclude: map[string]bool{"b": true}}))
}

// A request with large inputs goes to their zone if the loads allow.
func TestInputs(t *testing.T) {
	pi := New(clockwork.NewFakeClock())
	assert.Equal(t, "y", pi.Prefer(nodes(2), Request{Tokens: 100, Inputs: map[string]int{"y": 2e6}}).Zone)
}

// Load pattern: many entries with a short prompt each at the same engine. It reads
// them one after the other, so that a moment later most of them still wait.
func TestToldLoadsShareTheRate(t *testing.T) {
	clk := clockwork.NewFakeClock()
	pi := New(clk)
	for i := range 20 {
		pi.UpdateLoad(string(rune('a'+i)), citronstream.EntryLoad{Engines: map[string]citronstream.EngineLoad{"e": {Running: 1, PrefillTokens: 1000}}})
	}
	clk.Advance(100 * time.Millisecond)
	_, prefill := pi.totalLoad("e", clk.Now())
	assert.InDelta(t, 20*1000-100*assumedReadRate, prefill, 1)
	clk.Advance(time.Second)
	_, prefill = pi.totalLoad("e", clk.Now())
	assert.Zero(t, prefill)
}

// Guards against requests that may crash their engines and follow each other to one,
// where the cause of a crash can't be told.
func TestApart(t *testing.T) {
	pi := New(clockwork.NewFakeClock())
	list := nodes(4)
	home := pick(pi, list, shared(7, 5000))
	rq := shared(7, 5000)
	rq.Apart = true
	used := make(map[*node.Node]Request)
	for range list {
		one := rq
		used[pi.Pick(list, &one)] = one
	}
	assert.Len(t, used, len(list), "each has an engine of its own")
	assert.NotNil(t, pick(pi, list, rq), "there is no other engine")
	assert.Same(t, home, pi.Prefer(list, shared(7, 5000)), "others keep to theirs")
	t.Run("an engine is free after the first event or the end", func(t *testing.T) {
		pi, ended := New(clockwork.NewFakeClock()), false
		for range 20 {
			one := rq
			nd := pi.Pick(list[:1], &one)
			if ended = !ended; ended {
				pi.FirstEvent(nd, one)
			}
			pi.End(nd, one, ended)
			assert.Empty(t, pi.ownLoads)
		}
	})
	t.Run("never an excluded one", func(t *testing.T) {
		one := rq
		one.Exclude = map[string]bool{"a": true, "b": true, "c": true}
		for range 20 {
			assert.Equal(t, "d", pick(pi, list, one).ID)
		}
	})
}
