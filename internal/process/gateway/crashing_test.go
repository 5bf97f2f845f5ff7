package gateway

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// addCrashing adds upstreams that crash when they begin to run a request.
func (ts *testSite) addCrashing(ids ...string) {
	for _, id := range ids {
		up := ts.upstream(id, "desk")
		crash := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			up.Crash()
			panic(http.ErrAbortHandler)
		})
		up.Answer.Store(&crash)
	}
}

// crash sends the same request, which crashes an upstream, and returns the deaths so far.
func (ts *testSite) crash(en *testEntry, deaths int) int {
	_, _ = ts.roundTrip(en, ts.call(), http.MethodPost, "/order/deadly", "the same body")
	deaths += len(ts.crashed())
	ts.recover(deaths)
	return deaths
}

// assertHeldAt checks that an entry refuses the request.
func (ts *testSite) assertHeldAt(en *testEntry) {
	ts.t.Helper()
	ca := ts.call()
	res, body := ts.roundTrip(en, ca, http.MethodPost, "/order/deadly", "the same body")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.Contains(ts.t, body, "quarantined")
	assert.Empty(ts.t, ts.log.Of(ca.id))
}

// Guards against a request that crashes two more upstreams after each restart of an entry,
// though its peers refuse it. The store is away, so that only they can tell.
func TestCrashingRequestAtNewEntry(t *testing.T) {
	ts := newTestSite(t, 2)
	ts.addCrashing("d1", "d2", "d3")
	ts.waitReady()
	deaths := 0
	for _, en := range ts.entries {
		deaths = ts.crash(en, deaths)
	}
	require.Equal(t, 2, deaths)
	ts.assertHeldAt(ts.entries[0])
	en := ts.startEntryWithoutStore()
	ts.waitFor(func() bool { return en.Ready() && en.mesh.LiveCount() == len(ts.entries) }, "the entry is not ready")
	ts.waitFor(func() bool { _, held := en.holds.Counts(); return held == 1 }, "the entry did not learn of the hold")
	ts.assertHeldAt(en)
	assert.True(t, en.holds.Knows())
}

// Guards against a request that crashes two more upstreams after each restart of an entry,
// where all entries are restarted in turn: the last ones learn it from restarted ones.
func TestCrashingRequestOverRestarts(t *testing.T) {
	ts := newTestSite(t, 3)
	ts.addCrashing("d1", "d2", "d3")
	ts.waitReady()
	deaths := 0
	for _, en := range ts.entries[:2] {
		deaths = ts.crash(en, deaths)
	}
	require.Equal(t, 2, deaths)
	for _, en := range slices.Clone(ts.entries) {
		en.stop()
		again := ts.restart(en)
		ts.waitReady()
		ts.waitFor(again.holds.Knows, "the entry knows nothing of before its start")
		ts.assertHeldAt(again)
	}
	assert.Empty(t, ts.crashed())
}

// Guards against a request that crashes two more upstreams after all entries were killed:
// they know nothing, and that their rows exist tells them that there may be something.
func TestCrashingRequestAfterAllWereKilled(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.addCrashing("d1", "d2", "d3")
	ts.waitReady()
	first := ts.entries[0]
	ts.waitFor(func() bool { return first.holds.Knows() && ts.st.Value("Entries", first.site.Process) != "" }, "the first start is not known")
	first.stop()
	again := ts.restart(first)
	ts.waitFor(func() bool { return again.Ready() && again.view.Members().Len() == len(ts.upstreams) }, "the entry is not ready")
	assert.False(t, again.holds.Knows())
	// The route allows a repeat; what may have crashed before is not sent again.
	ca := ts.call()
	_, _ = ts.roundTrip(again, ca, http.MethodGet, "/look/deadly", "")
	assert.Len(t, ts.log.Of(ca.id), 1)
	ca = ts.call()
	res, _ := ts.roundTrip(again, ca, http.MethodGet, "/look/deadly", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.Empty(t, ts.log.Of(ca.id))
}

// restart starts an entry again under its name, at the same addresses.
func (ts *testSite) restart(en *testEntry) *testEntry {
	si := *en.site
	door := ts.st.Open()
	si.Store = door.Address()
	ga, err := New(ts.t.Context(), ts.clk, ts.logger, &si)
	require.NoError(ts.t, err)
	require.NoError(ts.t, ga.Start())
	started := &testEntry{Gateway: ga, door: door}
	ts.entries = append(ts.entries, started)
	return started
}
