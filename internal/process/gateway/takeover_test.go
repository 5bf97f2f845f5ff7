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

// Guards against a stream that is cut because its silent upstream was given up before any
// other one was reached.
func TestSilentUpstreamOutlivesUnreachedOnes(t *testing.T) {
	ts := newTestSite(t, 1)
	goOn := make(chan struct{})
	answer := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(wr, event(1)) // fails only if the caller disconnected
		_ = http.NewResponseController(wr).Flush()
		select {
		case <-goOn:
			_, _ = io.WriteString(wr, event(2))
		case <-rq.Context().Done():
		}
	})
	ts.upstream("e1", "pool").Answer.Store(&answer)
	ts.waitReady()
	ca := ts.call()
	res, err := ts.send(context.Background(), ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	for _, id := range []string{"e2", "e3", "e4", "e5"} {
		ts.unreachable(id, "pool")
	}
	ts.clk.Sleep(2 * silence)
	close(goOn)
	body, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	assert.Equal(t, allEvents(2), string(body))
	assert.Equal(t, 1, ts.executions(ca))
}

// Guards against a failure for the caller of a slow upstream because it was given up for
// one that refuses.
func TestSlowAnswerOutlivesARefusal(t *testing.T) {
	ts := newTestSite(t, 1)
	for _, ids := range [][2]string{{"d1", "d2"}, {"d2", "d1"}} {
		answer := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			ts.upstreams[ids[1]].Refuse.Store(true)
			select {
			case <-ts.clk.After(1500 * time.Millisecond): // five times the target
				_, _ = io.WriteString(wr, "done") // fails only if the caller disconnected
			case <-rq.Context().Done():
			}
		})
		ts.upstream(ids[0], "desk").Answer.Store(&answer)
	}
	ts.waitReady()
	ca := ts.call()
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodGet, "/look/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Equal(t, "done", body)
}
