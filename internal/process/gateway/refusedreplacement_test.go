package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a stream that is cut because its silent upstream was given up for one that
// refuses.
func TestReplacementThatRefuses(t *testing.T) {
	ts := newTestSite(t, 1)
	for _, ids := range [][2]string{{"e1", "e2"}, {"e2", "e1"}} {
		up := ts.upstream(ids[0], "pool")
		answer := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			ts.upstreams[ids[1]].Refuse.Store(true)
			wr.Header().Set("Content-Type", eventStream)
			_, _ = wr.Write([]byte(event(1))) // fails only if the caller disconnected
			_ = http.NewResponseController(wr).Flush()
			select {
			case <-ts.clk.After(silence):
				_, _ = wr.Write([]byte(event(2)))
			case <-rq.Context().Done():
			}
		})
		up.Answer.Store(&answer)
	}
	ts.waitReady()
	res, body := ts.roundTrip(ts.entries[0], ts.call(), http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Contains(t, body, "token 2")
}
