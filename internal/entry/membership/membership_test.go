package membership

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/route/table"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

type list struct {
	states atomic.Pointer[[]citronstream.InstanceState]
}

func (li *list) List(context.Context) ([]citronstream.InstanceState, error) {
	if states := li.states.Load(); states != nil {
		return *states, nil
	}
	return nil, errors.New("down")
}

// TestList guards against an upstream that is listed as leaving and gets new
// work after 3 s, and against a platform outage that removes upstreams.
func TestList(t *testing.T) {
	clk, li := clockwork.NewFakeClock(), &list{}
	routes := table.New(clk)
	require.True(t, routes.Replace(&citronstream.Fleet{
		Version: 1, Services: []citronstream.Service{{Name: "s"}}, Upstreams: []citronstream.Upstream{{Name: "u", Service: "s", Instance: "i"}},
	}))
	wa := New(clk, li, routes, func(func(string, *link.Link)) {})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	ended := make(chan struct{})
	go func() { defer close(ended); wa.PollList(ctx) }()
	state := func() table.State { return routes.Snapshot().Node("u").State() }
	// after sets another list and expects the state 3 s later.
	after := func(states []citronstream.InstanceState, want table.State) {
		t.Helper()
		require.NoError(t, clk.BlockUntilContext(ctx, 1))
		li.states.Store(&states)
		for range 30 {
			clk.Advance(100 * time.Millisecond)
			require.NoError(t, clk.BlockUntilContext(ctx, 1))
		}
		// The fake clock has stopped; wait for the last read to end.
		require.Eventually(t, func() bool { return state() == want }, 5*time.Second, time.Millisecond, "%s, want %s", state(), want)
	}
	for range 5 { // at different phases of the interval
		after([]citronstream.InstanceState{{Instance: "i"}}, table.Live)
		after([]citronstream.InstanceState{{Instance: "i", Leaving: true}}, table.Leaving)
	}
	after(nil, table.Leaving)
	after([]citronstream.InstanceState{{Instance: "i"}}, table.Live)
	after([]citronstream.InstanceState{{Instance: "other"}}, table.Gone)
	cancel()
	<-ended
}
