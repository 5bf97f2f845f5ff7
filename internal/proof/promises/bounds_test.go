package promises

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/require"
)

// Guards against requests of one workspace, or of all, that fill an entry's
// memory, and against a refusal at the cap of work that runs all the same.
func TestRequestsInFlightAreBounded(t *testing.T) {
	fl := start(t, shape{desks: []string{"desk"}, edit: func(co *citronstream.Fleet) {
		co.Limits.MaxConcurrent = 6
		co.Workspaces[1].MaxConcurrent = 2
	}})
	fl.Upstream("desk-1").Pause(true)
	var callers []<-chan answer
	send := func(workspace string) {
		callers = append(callers, fl.later(call{path: "services/desk/look", workspace: workspace}))
	}
	taken := fl.Entry("entry-1").Server.Counts
	for _, step := range []struct {
		workspace string
		accepted  uint64
	}{{"small", 1}, {"small", 2}, {"small", 2}, {"large", 3}, {"large", 4}, {"large", 5}, {"large", 6}, {"large", 6}, {"tiny", 6}} {
		limited := taken().Limited.Load()
		send(step.workspace)
		until(t, "the request is in flight or refused", func() bool {
			return taken().Accepted.Load() == step.accepted && (step.accepted+taken().Limited.Load() == uint64(len(callers)))
		})
		_ = limited
	}
	fl.Upstream("desk-1").Pause(false)
	refused := 0
	for _, got := range callers {
		an := <-got
		if an.notRun() {
			refused++
			require.Equal(t, citronstream.CodeLimit, an.fault.Code)
			require.Empty(t, fl.Record.ByRequest(an.id))
		} else {
			require.True(t, an.done(), "%+v", an)
		}
	}
	require.Equal(t, 3, refused)
	require.Equal(t, 6, fl.Record.Len())
}

// Guards against an agent's queue that grows without a bound, and against
// calls that are refused at its cap and run.
func TestQueueIsBounded(t *testing.T) {
	const most = 5
	fl := start(t, shape{desks: []string{"desk"}, capacity: 2, deadline: 20 * time.Second, edit: func(co *citronstream.Fleet) {
		co.Limits.MaxQueued = most
	}})
	fl.Upstream("desk-1").Slow(100) // 500 ms
	ag := fl.Agent("desk-1")
	var callers []<-chan answer
	for range 30 {
		callers = append(callers, fl.later(look(0)))
	}
	until(t, "the queue is full", func() bool { return ag.Queue.Len() == most })
	refused := 0
	for _, got := range callers {
		require.LessOrEqual(t, ag.Queue.Len(), most)
		an := <-got
		if an.done() {
			continue
		}
		refused++
		require.True(t, an.notRun(), "%+v", an)
		require.Empty(t, fl.Record.ByRequest(an.id))
	}
	t.Logf("%d of %d refused at the cap", refused, len(callers))
	require.GreaterOrEqual(t, refused, 10)
}

// Guards against suspects and holds that grow without a bound at a process.
func TestHoldsAreBounded(t *testing.T) {
	fl := start(t, shape{desks: []string{"desk"}})
	holds := fl.Agent("desk-1").Holds
	digest := func(i int) uint64 { return citronstream.Digest(fmt.Append(nil, i)) }
	holds.Died("desk-1", []uint64{digest(0)})
	holds.Died("desk-1", []uint64{digest(0)})
	_, held := holds.Held(digest(0))
	require.True(t, held)
	full := 0
	for i := 1; i <= 20000; i++ {
		holds.Died("desk-1", []uint64{digest(i), digest(-i)})
		if digests, deaths := holds.Len(); i == 10000 {
			full = digests + deaths
		}
	}
	digests, deaths := holds.Len()
	require.Equal(t, full, digests+deaths, "the tables grow past their cap")
	require.LessOrEqual(t, digests, 4096)
	_, held = holds.Held(digest(0))
	require.True(t, held, "a hold is the last to be forgotten")
}
