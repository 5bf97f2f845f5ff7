package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
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

// Guards against jobs of a stage that wait for upstreams which are all in a pause beyond the
// target of their requests, at the owner of the queue or because another gateway does not
// know of the pause, and against refusals without the time until it ends.
func TestAllStageUpstreamsPause(t *testing.T) {
	ts := newTestSite(t, 2)
	_, cut, _ := ts.addStageUpstreams()
	ts.waitReady()
	owner, other := ts.ownerAndOther("cut")
	refuses(cut, "20")
	ask := func(en *testEntry) {
		t.Helper()
		began := ts.clk.Now()
		res, _ := ts.roundTrip(en, ts.call(site.HeaderPieces, "1,1", site.HeaderPieceKey, "k"), http.MethodPost, "/staged/stream/", "")
		ts.assertStatus(http.StatusServiceUnavailable, res)
		after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		assert.NoError(t, err)
		assert.Greater(t, after, 6.0, "the target")
		assert.Less(t, ts.clk.Since(began), 6*time.Second)
	}
	ask(owner)
	before := ts.arrivals(cut)
	assert.Positive(t, before)
	ts.waitFor(func() bool { return other.broker.Pause("cut") > 0 }, "the pause was not told")
	ask(owner)
	ask(other)
	assert.Equal(t, before, ts.arrivals(cut))
	_, wh, _ := ts.where(other, http.MethodPost, citronstream.WhereQuery{Host: "h", Path: "/staged/stream/", Key: "key"})
	require.NotEmpty(t, wh.Queues)
	assert.Positive(t, wh.Queues[0].PausedMs)
	assert.False(t, wh.Admission.Admit)
}

// Guards against jobs that are refused though their requests reach their target after the
// pause of all upstreams of a stage.
func TestShortPauseOfAStage(t *testing.T) {
	ts := newTestSite(t, 2)
	_, cut, _ := ts.addStageUpstreams()
	ts.waitReady()
	refuses(cut, "0.4")
	go func() {
		for ts.arrivals(cut) == 0 {
			ts.clk.Sleep(pollInterval)
		}
		cut.Refuse.Store(false)
	}()
	res, body := ts.roundTrip(ts.entries[0], ts.call(site.HeaderPieces, "1,1", site.HeaderPieceKey, "k"), http.MethodPost, "/staged/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Contains(t, body, "token")
}
