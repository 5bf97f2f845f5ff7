package flow

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Guards against an engine that seems slow as its callers read slowly, its streams are
// short, or those of its route have events at other distances.
func TestSteps(t *testing.T) {
	clk := clockwork.NewFakeClock()
	fl := &Flow{clk: clk, log: logr.Discard(), latencies: newLatencies(clk)}
	slow, usual := node.New(citronstream.Member{ID: "slow"}, node.WithClock(clk)), node.New(citronstream.Member{ID: "usual"}, node.WithClock(clk))
	stream := func(nd *node.Node, route string, count int, step, writing time.Duration) {
		rt := &request{fl: fl, route: &citronstream.Route{Name: route}}
		took := time.Duration(count-1) * step
		rt.observeSteps(&attempt{nd: nd, demand: &engines.Request{}}, &part{count: count, first: clk.Now(), last: clk.Now().Add(took), writing: writing})
	}
	const step = 20 * time.Millisecond
	for range 20 {
		stream(usual, "a", 20, step, 0)
		stream(usual, "b", 20, 4*step, 0)
		stream(slow, "a", minSteps-1, 4*step, 0)
		stream(slow, "a", 20, 4*step, time.Second)
	}
	assert.Equal(t, 1.0, usual.Speed())
	assert.Equal(t, 1.0, slow.Speed())
	for range 10 {
		stream(slow, "a", 20, 2*step, 0)
		stream(usual, "a", 20, step, 0)
		stream(usual, "a", 20, step, 0)
	}
	assert.Less(t, slow.Speed(), 0.8)
	assert.InDelta(t, 1, usual.Speed(), 0.2)
}
