package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/ingress/flow"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// eventBytes is the length of a large event.
const eventBytes = 200 << 10

// eventSite is a limited site with an engine that sends a small event, then a large one,
// and ends when it is told to.
func eventSite(t *testing.T, change func(si *citronstream.Site)) (ts *testSite, ga *Gateway, end chan struct{}) {
	end = make(chan struct{})
	ts, ga = limitedSite(t, change)
	answer := http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set("Content-Type", eventStream)
		_, _ = io.WriteString(wr, event(1)) // fails only if the caller disconnected, as below
		wr.(http.Flusher).Flush()
		_, _ = fmt.Fprintf(wr, "id: 2\ndata: %s\n\n", strings.Repeat("x", eventBytes))
		wr.(http.Flusher).Flush()
		select {
		case <-end:
		case <-rq.Context().Done():
		}
	})
	ts.upstream("e1", "pool").Answer.Store(&answer)
	ts.waitReady()
	return ts, ga, end
}

// stream sends a request and returns its response as soon as it begins.
func (ts *testSite) stream(id string) *http.Response {
	rq, err := http.NewRequest(http.MethodPost, "http://"+ts.entries[0].site.Callers+"/draft/stream/", strings.NewReader("prompt"))
	require.NoError(ts.t, err)
	rq.Host, rq.Header = "h", site.CallerHeader(id)
	res, err := ts.client.Do(rq)
	require.NoError(ts.t, err)
	return res
}

// Guards against events of streams that take memory which the account does not know of.
func TestEventsAreAccounted(t *testing.T) {
	ts, ga, end := eventSite(t, nil)
	var open []*http.Response
	for i := range 5 {
		res := ts.stream(fmt.Sprint("r", i))
		ts.assertStatus(http.StatusOK, res)
		defer func() { _ = res.Body.Close() }()
		open = append(open, res)
	}
	ts.waitFor(func() bool { return ga.memory.Used() >= len(open)*eventBytes }, "the events are not accounted")
	close(end)
	for _, res := range open {
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		assert.Greater(t, len(body), eventBytes)
	}
	ts.waitFor(func() bool { return ga.memory.Used() <= len(open)*(22<<10) }, "memory is not given back")
	assert.Zero(t, ga.hits())
}

// Guards against a stream that goes on without memory, and against one that ends as if it
// were complete.
func TestEventWithoutMemory(t *testing.T) {
	ts, ga, end := eventSite(t, func(si *citronstream.Site) { si.Clients.Memory = 160 << 10 })
	defer close(end)
	res := ts.stream("r")
	ts.assertStatus(http.StatusOK, res)
	body, err := io.ReadAll(res.Body)
	assert.Error(t, err, "the stream is cut")
	assert.Equal(t, event(1), string(body))
	_ = res.Body.Close()
	assert.EqualValues(t, 1, ga.limits.Count(flow.LimitEvents))
	ts.waitFor(func() bool { return ga.memory.Used() <= 22<<10 }, "memory is not given back")
}
