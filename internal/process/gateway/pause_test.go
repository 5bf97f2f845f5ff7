package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refuses makes an upstream refuse all requests and ask for a pause.
func refuses(up *site.Upstream, pause string) {
	up.RetryAfter.Store(pause)
	up.Refuse.Store(true)
}

// arrivals returns how many requests have reached an upstream.
func (ts *testSite) arrivals(up *site.Upstream) (count int) {
	for _, ar := range ts.log.All() {
		if ar.Upstream == up.ID {
			count++
		}
	}
	return count
}

// Guards against requests to an upstream in the pause that it has asked for, and against a
// pause that counts as its failure.
func TestPauseOfAnUpstream(t *testing.T) {
	ts := newTestSite(t, 1)
	up := ts.upstream("d1", "desk")
	ts.upstream("d2", "desk")
	ts.waitReady()
	en := ts.entries[0]
	refuses(up, "20")
	look := func() {
		res, _ := ts.roundTrip(en, ts.call(), http.MethodGet, "/look/", "")
		ts.assertStatus(http.StatusOK, res)
	}
	ts.waitFor(func() bool { look(); return ts.arrivals(up) > 0 }, "the upstream was not used")
	before := ts.arrivals(up)
	for range 100 {
		look()
	}
	assert.Equal(t, before, ts.arrivals(up))
	nd := en.view.Members().Node(up.ID)
	require.NotNil(t, nd)
	assert.Zero(t, nd.FailureRate())
	assert.Len(t, en.view.Members().Service("desk"), 2)
	_, paused := en.view.SelfReports()
	assert.Equal(t, 1, paused)
}

// Guards against requests that wait for a pause which ends after their target, and against
// those that are refused without the time to come back.
func TestAllUpstreamsPause(t *testing.T) {
	ts := newTestSite(t, 1)
	up := ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	refuses(up, "8")
	for range 2 {
		ca := ts.call()
		res, body := ts.roundTrip(en, ca, http.MethodGet, "/look/", "")
		ts.assertStatus(http.StatusServiceUnavailable, res)
		if len(ts.log.Of(ca.id)) > 0 {
			continue // the request that was refused by the upstream
		}
		assert.Contains(t, body, "ask for a pause")
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, 1.0)
	}
	assert.Equal(t, 1, ts.arrivals(up))
}

// Guards against requests that are refused though they reach their target after the pause.
func TestShortPause(t *testing.T) {
	ts := newTestSite(t, 1)
	up := ts.upstream("e1", "pool")
	ts.waitReady()
	en := ts.entries[0]
	refuses(up, "0.4")
	began := ts.clk.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ts.arrivals(up) == 0 {
			ts.clk.Sleep(pollInterval)
		}
		up.Refuse.Store(false)
	}()
	res, body := ts.roundTrip(en, ts.call(), http.MethodPost, "/draft/stream/", "") // its target is 4 s
	<-done
	ts.assertStatus(http.StatusOK, res)
	assert.Contains(t, body, "token")
	assert.GreaterOrEqual(t, ts.clk.Since(began), 400*time.Millisecond)
	assert.Equal(t, 2, ts.arrivals(up))
}
