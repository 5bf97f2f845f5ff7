package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A stream whose upstream is silent for longer than the route's longest gap goes on to its
// end when no other upstream may take it over. Guards against giving up an upstream
// before it is known that another one can be tried.
func TestSilentUpstreamWithoutReplacement(t *testing.T) {
	cases := []struct {
		name      string
		upstreams []string
		extra     int
	}{
		{"no other upstream", []string{"e1"}, 50},
		{"no retry budget", []string{"e1", "e2"}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ts := newTestSite(t, 0)
			ts.bounds.RetryExtra = tc.extra
			ts.startEntry()
			for _, id := range tc.upstreams {
				up := ts.upstream(id, "pool")
				up.Events.Store(2)
				up.Gap.Store(int64(silence))
			}
			ts.waitReady()
			ca := ts.call()
			res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
			ts.assertStatus(http.StatusOK, res)
			assert.Contains(t, body, "token 2")
			assert.Equal(t, 1, ts.executions(ca))
		})
	}
}

// silence is longer than the pause after which the streams of the tests are resumed
// elsewhere.
const silence = 2500 * time.Millisecond

// A stream whose upstream is silent for over a second stays there, with another one
// at hand. Guards against work that is begun again while a sound upstream still has it.
func TestShortSilence(t *testing.T) {
	ts := newTestSite(t, 1)
	for _, id := range []string{"e1", "e2"} {
		up := ts.upstream(id, "pool")
		up.Events.Store(2)
		up.Gap.Store(int64(1200 * time.Millisecond))
	}
	ts.waitReady()
	ca := ts.call()
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Contains(t, body, "token 2")
	assert.Equal(t, 1, ts.executions(ca))
}

// A stream is resumed with the only repeat that the budget allows although three upstreams
// can't be reached first. Guards against taking a repeat for a send that never arrived.
func TestUnreachedUpstreamsTakeNoRepeat(t *testing.T) {
	ts := newTestSite(t, 0)
	ts.bounds.RetryExtra, ts.bounds.RetryRatio = 2, 0 // less the margin of the budget: one
	ts.startEntry()
	en := ts.entries[0]
	sound := ts.upstream("e1", "pool")
	ts.waitReady()
	sound.Hang.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 { // so that idle engines are chosen before this one
		ca := ts.call()
		go func() {
			if res, err := ts.send(ctx, en, ca, http.MethodPost, "/once/stream/", ""); err == nil {
				_ = res.Body.Close()
			}
		}()
		ts.waitFor(func() bool { return ts.executions(ca) == 1 }, "not sent")
	}
	sound.Hang.Store(false)
	broken := ts.upstream("e2", "pool")
	cut := make(chan struct{})
	answer := http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(wr, event(1)) // fails only if the caller disconnected
		_ = http.NewResponseController(wr).Flush()
		<-cut
		panic(http.ErrAbortHandler)
	})
	broken.Answer.Store(&answer)
	ts.waitReady()
	ca := ts.call()
	res, err := ts.send(ctx, en, ca, http.MethodPost, "/draft/stream/", "")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	for _, id := range []string{"e3", "e4", "e5"} {
		ts.unreachable(id, "pool")
	}
	ts.waitReady()
	close(cut)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	assert.Contains(t, string(body), "token 5")
	assert.Equal(t, 2, ts.executions(ca))
}

// A request that fails at the only upstream leaves the repeat to others. Guards against
// taking a repeat for which there is no upstream.
func TestNoOtherUpstreamTakesNoRepeat(t *testing.T) {
	ts := newTestSite(t, 0)
	ts.bounds.RetryExtra, ts.bounds.RetryRatio = 2, 0 // less the margin of the budget: one
	ts.startEntry()
	ts.upstream("e1", "pool").Reset.Store(true)
	ts.waitReady()
	ca := ts.call()
	res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusBadGateway, res)
	assert.Equal(t, 1, ts.executions(ca))
	assert.Equal(t, 1, ts.entries[0].budget.Take("pool", 1))
}
