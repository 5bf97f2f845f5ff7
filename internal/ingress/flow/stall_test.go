package flow

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/limit/siteretrybudget"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledRequest returns a request to a service with two upstreams whose stream takes a
// second from its first event to its end. One repeat is left.
func stalledRequest(t *testing.T) *request {
	t.Helper()
	clk := clockwork.NewFakeClock()
	vi := view.New(clk, logr.Discard(), view.Decode{
		Routing: func([]byte) (*citronstream.Routing, error) { return nil, nil },
		Member: func(ro citronstream.Row) (citronstream.Member, error) {
			return citronstream.Member{ID: ro.Key, Service: "s"}, nil
		},
		ConfigKey: "c", MemberPrefix: "m/",
	})
	vi.Apply([]citronstream.Change{{Row: citronstream.Row{Key: "m/a", Version: 1}}, {Row: citronstream.Row{Key: "m/b", Version: 2}}}, view.SourceStore)
	require.Len(t, vi.Members().Service("s"), 2)
	budget := siteretrybudget.New(clk, citronstream.Bounds{RetryWindow: 10 * time.Second, RetryExtra: 2}, func() int { return 1 })
	fl := New(clk, logr.Discard(), Dependencies{View: vi, Budget: budget})
	for range 50 {
		fl.latencies.observeRest("r", time.Second)
	}
	return &request{
		fl: fl, service: "s", tried: make(map[string]bool), end: clk.Now().Add(10 * time.Second),
		route: &citronstream.Route{Name: "r", Stream: true},
	}
}

// Guards against giving up a silent upstream when too little time is left for any other
// one, so that nothing would be sent in its place.
func TestNoReplacementWithTooLittleTime(t *testing.T) {
	rt := stalledRequest(t)
	rt.end = rt.fl.clk.Now().Add(500 * time.Millisecond)
	assert.False(t, rt.takeReplacement(rt.fl.View.Members().Node("m/a"), rt.timeAfterFirstEvent()))
	assert.Equal(t, 1, rt.fl.Budget.Take("s", 1), "the repeat is left")
}

// Guards against a second repeat for an attempt that stalls while the request still has
// the repeat of one that reached no upstream.
func TestReplacementTakesOneRepeat(t *testing.T) {
	rt := stalledRequest(t)
	current := rt.fl.View.Members().Node("m/a")
	require.True(t, rt.takeReplacement(current, 0))
	assert.True(t, rt.takeReplacement(current, 0), "the repeat is still there")
	rt.returnRetry()
	assert.Equal(t, 1, rt.fl.Budget.Take("s", 1), "the repeat is left")
}
