package flow

import (
	"context"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// plainRequest returns a request to two plain upstreams with a connection each, with a target
// of 150 ms and requests that take 30 ms.
func plainRequest(t *testing.T, other *request) *request {
	rt := stalledRequest(t)
	if other != nil {
		rt.fl = other.fl
	} else {
		rt.fl.ConnectionLimit = func(*citronstream.ServiceSpec, *node.Node) int { return 1 }
	}
	rt.routes = &view.Routes{Routing: &citronstream.Routing{Services: map[string]citronstream.ServiceSpec{"s": {Name: "s", MaxConnections: 3}}}}
	rt.route = &citronstream.Route{Name: "plain", Target: 150 * time.Millisecond}
	rt.at = rt.fl.clk.Now()
	rt.target, rt.end = rt.at.Add(rt.route.Target), rt.at.Add(time.Minute)
	rt.visited = make(map[string]bool)
	rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "none")
	for range 50 {
		rt.fl.latencies.observe("plain", 30*time.Millisecond, 0)
	}
	return rt
}

// begin begins an attempt at an upstream with a free connection, nil if none has one.
func (rt *request) begin(t *testing.T) *attempt {
	nd, demand, _ := rt.pick()
	if nd == nil {
		return nil
	}
	return rt.newAttempt(t.Context(), nd, demand, time.Time{})
}

// Guards against more connections than the share of this process, which the upstream would
// reset, and against a request that gets none although one becomes free in time.
func TestRequestWaitsForAConnection(t *testing.T) {
	first := plainRequest(t, nil)
	second, third := plainRequest(t, first), plainRequest(t, first)
	one := first.begin(t)
	require.NotNil(t, one)
	require.NotNil(t, second.begin(t))
	require.Nil(t, third.begin(t))
	got := make(chan *node.Node)
	go func() {
		nd, _, _ := third.awaitConnection(t.Context())
		got <- nd
	}()
	assert.Eventually(t, func() bool { return first.fl.Waiting() == 1 }, 5*time.Second, time.Millisecond)
	assert.Nil(t, plainRequest(t, first).begin(t), "a new one does not overtake it")
	first.finish(one)
	assert.Equal(t, one.nd, <-got)
	assert.Zero(t, first.fl.Waiting())
}

// Guards against a request that waits until its deadline, or is sent too late, although the
// queue can't serve it within its target.
func TestRequestWithoutAConnectionIsRefused(t *testing.T) {
	first := plainRequest(t, nil)
	second, third, late := plainRequest(t, first), plainRequest(t, first), plainRequest(t, first)
	require.NotNil(t, first.begin(t))
	require.NotNil(t, second.begin(t))
	late.target = late.at.Add(40 * time.Millisecond)
	nd, _, _ := late.awaitConnection(t.Context())
	assert.Nil(t, nd, "at once")
	assert.Equal(t, citronstream.CodeOverloaded, late.worst.Code)
	assert.Equal(t, citronstream.NotRun, late.worst.Verdict)
	assert.Positive(t, late.worst.RetryAfter)
	assert.Equal(t, noConnectionLeft, late.noRetry)
	ctx, ended := context.WithCancel(t.Context())
	go func() {
		defer ended()
		nd, _, _ := third.awaitConnection(t.Context())
		assert.Nil(t, nd)
	}()
	clk := first.fl.clk.(*clockwork.FakeClock)
	for clk.BlockUntilContext(ctx, 1) == nil {
		clk.Advance(5 * time.Millisecond)
	}
	assert.Equal(t, noConnectionLeft, third.noRetry)
	assert.LessOrEqual(t, clk.Since(third.at), 150*time.Millisecond)
}

// Guards against a less urgent request that gets the next connection.
func TestUrgentRequestComesFirst(t *testing.T) {
	var cw connWaits
	cw.enter("s", 5)
	urgent := cw.enter("s", 1)
	assert.True(t, cw.first("s", urgent))
	assert.Equal(t, 1, cw.ahead("s", 1))
	assert.Equal(t, 2, cw.ahead("s", 5))
	cw.leave("s", urgent)
	cw.signal("other")
	assert.Equal(t, 1, cw.count())
}

// Guards against a client that has left and keeps others from a connection.
func TestDisconnectedClientLeavesTheQueue(t *testing.T) {
	first := plainRequest(t, nil)
	second, third := plainRequest(t, first), plainRequest(t, first)
	require.NotNil(t, first.begin(t))
	require.NotNil(t, second.begin(t))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	nd, _, _ := third.awaitConnection(ctx)
	assert.Nil(t, nd)
	assert.Zero(t, first.fl.Waiting())
}
