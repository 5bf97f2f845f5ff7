package promises

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/require"
)

// inFlight starts three calls of each kind and waits until all run.
func inFlight(t *testing.T) (fl *fleet, looks, places []<-chan answer) {
	t.Helper()
	fl = start(t, shape{desks: []string{"desk"}, deadline: 8 * time.Second})
	fl.Upstream("desk-1").Slow(100) // 500 ms
	for range 3 {
		looks = append(looks, fl.later(call{path: "services/desk/look"}))
		places = append(places, fl.later(call{path: "services/desk/place", key: citronstream.NewID()}))
	}
	until(t, "calls run", func() bool { return fl.running("/look") >= 3 && fl.running("/place") == 3 })
	return fl, looks, places
}

// Guards against calls that hang, are lost or run twice when the open link
// between an entry and an agent carries nothing any more.
func TestSilentLink(t *testing.T) {
	const noticed = 3 * time.Second
	fl, looks, places := inFlight(t)
	fl.Gate("desk-1").Silence()
	at := clk.Now()
	ran := 0
	for i, got := range append(looks, places...) {
		an := <-got
		require.True(t, an.done(), "%+v", an)
		executions := len(fl.Record.ByRequest(an.id))
		ran += executions
		require.True(t, executions == 1 || i < len(looks), "an order runs once, it ran %d times", executions)
	}
	hedges := fl.hedges() // a silent link is noticed about when an idempotent call on it is hedged
	require.LessOrEqual(t, uint64(ran), 6+hedges, "more executions than attempts")
	counts := fl.Entry("entry-1").Agents.Counts()
	t.Logf("calls settled %s after the silence; silent links %d, queries %d, settled %d",
		clk.Now().Sub(at).Round(time.Millisecond), counts.LinksSilent.Load(), counts.Queried.Load(), counts.Resolved.Load())
	require.EqualValues(t, 1, counts.LinksSilent.Load())
	require.GreaterOrEqual(t, counts.Resolved.Load(), uint64(6))
	require.LessOrEqual(t, counts.Resolved.Load(), 6+hedges)
	require.LessOrEqual(t, counts.Queried.Load(), (6+hedges)*150, "queries are repeated in a tight loop")
	requireNoticed(t, fl, at, noticed)
	require.True(t, fl.post(look(0)).done(), "the link is replaced")
}

// Guards against calls that hang on a connection between an agent and its
// upstream that carries nothing any more: idempotent calls must run again on a
// new connection, others must not, and none is reported as not run.
func TestSilentUpstreamConnection(t *testing.T) {
	const noticed, repeated = 3 * time.Second, 2 * time.Second
	fl, looks, places := inFlight(t)
	fl.Upstream("desk-1").Silent()
	at := clk.Now()
	for _, got := range places {
		an := <-got
		require.False(t, an.notRun(), "%+v", an)
		require.Len(t, fl.Record.ByRequest(an.id), 1)
	}
	for _, got := range looks {
		an := <-got
		require.True(t, an.done(), "%+v", an)
		require.LessOrEqual(t, an.began.Add(an.took).Sub(at), noticed+repeated)
	}
	require.True(t, fl.post(look(0)).done(), "the connection is replaced")
}

// requireNoticed looks for the event of a silent link in the timeline.
func requireNoticed(t *testing.T, fl *fleet, at time.Time, within time.Duration) {
	t.Helper()
	for _, ev := range fl.Timeline() {
		if ev.Kind == "LinkSilent" {
			took := time.UnixMilli(int64(ev.At >> 16)).Sub(at) //nolint:gosec // 48 bits
			t.Logf("noticed after %s", took.Round(time.Millisecond))
			require.LessOrEqual(t, took, within)
			return
		}
	}
	t.Fatal("no event LinkSilent")
}
