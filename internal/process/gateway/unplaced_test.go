package gateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A stream that no other upstream can go on with, as an event without an identifier came
// last, stays with its silent upstream. Guards against giving up an upstream whose stream
// can't be resumed.
func TestSilenceAfterAnEventWithoutIdentifier(t *testing.T) {
	ts := newTestSite(t, 1)
	answer := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set("Content-Type", "text/event-stream")
		for _, text := range []string{"id: 1\ndata: token 1\n\n", "data: no token\n\n"} {
			_, _ = io.WriteString(wr, text) // fails only if the caller disconnected
			wr.(http.Flusher).Flush()
		}
		select {
		case <-ts.clk.After(silence):
		case <-rq.Context().Done():
			return
		}
		_, _ = io.WriteString(wr, "id: 2\ndata: token 2\n\n")
	})
	for _, id := range []string{"e1", "e2"} {
		ts.upstream(id, "pool").Answer.Store(&answer)
	}
	ts.waitReady()
	ca := ts.call()
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Contains(t, body, "token 2")
	assert.Equal(t, 1, ts.executions(ca))
}
