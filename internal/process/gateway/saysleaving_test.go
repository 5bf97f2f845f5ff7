package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// takesWork reports whether an entry sends new work to an upstream.
func takesWork(en *testEntry, up *site.Upstream) bool {
	return slices.ContainsFunc(en.view.Members().Service(up.Service), func(nd *node.Node) bool { return nd.ID == up.ID })
}

// Guards against requests to an upstream that has said in any response that it leaves, while
// its row says nothing of it.
func TestUpstreamSaysThatItLeaves(t *testing.T) {
	plain := func(ts *testSite) *site.Upstream { return ts.upstream("d1", "desk") }
	look := func(ts *testSite) { _, _ = ts.roundTrip(ts.entries[0], ts.call(), http.MethodGet, "/look/", "") }
	for name, tc := range map[string]struct {
		add   func(ts *testSite) *site.Upstream
		fault func(up *site.Upstream)
		send  func(ts *testSite)
	}{
		"served":  {plain, func(*site.Upstream) {}, look},
		"refused": {plain, func(up *site.Upstream) { up.Refuse.Store(true) }, look},
		"failed":  {plain, func(up *site.Upstream) { up.Status.Store(http.StatusInternalServerError) }, look},
		"stream": {
			func(ts *testSite) *site.Upstream { return ts.upstream("e1", "pool") },
			func(*site.Upstream) {},
			func(ts *testSite) {
				_, _ = ts.roundTrip(ts.entries[0], ts.call(), http.MethodPost, "/draft/stream/", "")
			},
		},
		"batch": {
			func(ts *testSite) *site.Upstream {
				_, _, glue := ts.addStageUpstreams()
				return glue
			},
			func(*site.Upstream) {},
			func(ts *testSite) {
				_, _ = ts.roundTrip(ts.entries[0], ts.stagedCall(), http.MethodPost, "/staged/stream/", "")
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ts := newTestSite(t, 1)
			up := tc.add(ts)
			ts.waitReady()
			require.True(t, takesWork(ts.entries[0], up))
			tc.fault(up)
			up.Leaving.Store(true)
			tc.send(ts)
			assert.False(t, takesWork(ts.entries[0], up))
		})
	}
}

// Guards against an upstream that gets requests again after it has said that it leaves, as the
// store is away or its row still says ready, and against one that gets none after a new start.
func TestUpstreamThatLeavesGetsNothing(t *testing.T) {
	ts := newTestSite(t, 1)
	leaving := ts.upstream("d1", "desk")
	ts.upstream("d2", "desk")
	ts.waitReady()
	en := ts.entries[0]
	reached := func(count int) (reached bool) {
		for range count {
			ca := ts.call()
			res, _ := ts.roundTrip(en, ca, http.MethodGet, fmt.Sprint("/look/", ca.id), "")
			ts.assertStatus(http.StatusOK, res)
			reached = reached || ts.log.Of(ca.id)[0].Upstream == leaving.ID
		}
		return reached
	}
	leaving.Leaving.Store(true)
	ts.waitFor(func() bool { return reached(1) }, "the upstream was not used")
	leaving.Leaving.Store(false)
	assert.False(t, reached(50))
	en.door.Fault(site.Refuses)
	assert.False(t, reached(50))
	en.door.Fault(site.Sound)
	ts.st.List(leaving, site.Ready)
	ts.upstream("d3", "desk")
	ts.waitFor(func() bool { return en.view.Members().Len() == 3 }, "the list was not read")
	assert.False(t, reached(50), "its row says ready")
	assert.Equal(t, 1, en.view.Leaving())
	leaving.Crash()
	require.NoError(t, leaving.Restart())
	ts.st.List(leaving, site.Ready)
	ts.waitFor(func() bool { return takesWork(en, leaving) }, "the new process is not used")
	ts.waitFor(func() bool { return reached(1) }, "the new process gets no requests")
}
