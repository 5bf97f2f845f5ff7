package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// allEvents is the body of a complete stream.
func allEvents(count int) string {
	var text strings.Builder
	for id := 1; id <= count; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// withoutComments drops what a stalled upstream sends between events.
func withoutComments(body string) string {
	var kept strings.Builder
	for _, event := range strings.SplitAfter(body, "\n\n") {
		if event = strings.TrimLeft(event, "\n"); strings.HasPrefix(event, "id:") {
			kept.WriteString(event)
		}
	}
	return kept.String()
}

// A stream whose upstream stalls but goes on sending comments, empty lines and
// events of before is resumed at another upstream.
func TestDrippingStreamIsResumed(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two := ts.upstream("p1", "pool"), ts.upstream("p2", "pool")
	ts.waitReady()
	one.Drip.Store(2)
	two.Drip.Store(2)
	ca := ts.call()
	go func() {
		ts.waitFor(func() bool { return len(ts.log.Of(ca.id)) == 1 }, "not sent")
		ts.upstreams[map[string]string{"p1": "p2", "p2": "p1"}[ts.log.Of(ca.id)[0].Upstream]].Drip.Store(0)
	}()
	began := ts.clk.Now()
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Equal(t, allEvents(5), withoutComments(body))
	assert.Less(t, ts.clk.Since(began), 4*time.Second, "twice the allowed pause, at least a second, and the rest of the stream")
	require.Len(t, ts.log.Of(ca.id), 2)
}

// A stream that may not be resumed ends at its deadline when it stalls, as cut.
func TestDrippingStreamEnds(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("p1", "pool").Drip.Store(2)
	ts.waitReady()
	ca := ts.call(site.HeaderLeft, "1500")
	began := ts.clk.Now()
	res, err := ts.send(t.Context(), ts.entries[0], ca, http.MethodPost, "/once/stream/", "")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, allEvents(2), withoutComments(string(raw)))
	assert.Less(t, ts.clk.Since(began), 3*time.Second)
	assert.Equal(t, 1, ts.executions(ca))
}

// A slow stream whose pauses are within what its route allows is not cut.
func TestSlowStreamIsNotCut(t *testing.T) {
	ts := newTestSite(t, 1)
	for _, up := range []*site.Upstream{ts.upstream("p1", "pool"), ts.upstream("p2", "pool")} {
		up.Gap.Store(int64(490 * time.Millisecond))
		up.Events.Store(9)
	}
	ts.waitReady()
	ca := ts.call()
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Equal(t, allEvents(9), body)
	assert.Len(t, ts.log.Of(ca.id), 1)
}
