package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request reaches its upstream as the caller sent it, with the gateway's headers
// and without the caller's key.
func TestPassedOnUnchanged(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	ca := ts.call(site.HeaderWorkspace, "other", site.HeaderHold, "h", "X-Own", "1")
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/a%2Fb/x?q=%20+1", "the body")
	ts.assertStatus(http.StatusOK, res)
	assert.Equal(t, "answer to "+ca.id, body)
	assert.Equal(t, "d1.sig", res.Header.Get(site.HeaderSignature))
	arrivals := ts.log.Of(ca.id)
	require.Len(t, arrivals, 1)
	ar := arrivals[0]
	assert.Equal(t, []string{"POST", "/order/a%2Fb/x?q=%20+1", "the body"}, []string{ar.Method, ar.Target, ar.Body})
	assert.Equal(t, "w", ar.Header.Get(site.HeaderWorkspace))
	assert.Equal(t, "d1", ar.Header.Get(site.HeaderMember))
	assert.Equal(t, "1", ar.Header.Get("X-Own"))
	assert.Empty(t, ar.Header.Get(site.HeaderKey))
	assert.Empty(t, ar.Header.Get(site.HeaderHold))
}

// Requests that the configuration does not allow are refused without being sent to
// an upstream.
func TestDenials(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	en := ts.entries[0]
	for _, one := range []struct {
		status int
		target string
		ca     *call
	}{
		{http.StatusNotFound, "/none/", ts.call()},
		{http.StatusNotFound, "/order", ts.call()},
		{http.StatusUnauthorized, "/order/", ts.call(site.HeaderKey, site.OtherKey)},
		{http.StatusUnauthorized, "/order/", ts.call(site.HeaderKey, "")},
		{http.StatusBadRequest, "/order/", ts.call(site.HeaderID, "")},
		{http.StatusOK, "/open/", ts.call(site.HeaderKey, "")},
	} {
		res, _ := ts.roundTrip(en, one.ca, http.MethodPost, one.target, "")
		assert.Equal(t, one.status, res.StatusCode, one.target)
	}
	res, _ := ts.roundTrip(en, ts.call(), http.MethodPost, "/order/", strings.Repeat("x", 100001))
	ts.assertStatus(http.StatusRequestEntityTooLarge, res)
	assert.Len(t, ts.log.All(), 1)
}

// Without a configuration, requests are refused as not ready rather than as denied.
func TestNotReadyWithoutConfiguration(t *testing.T) {
	ts := newTestSite(t, 0)
	ts.st.Unconfigure()
	en := ts.startEntry()
	ca := ts.call()
	res, _ := ts.roundTrip(en, ca, http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	ready, err := http.Get("http://" + en.site.Ready + "/readiness")
	require.NoError(t, err)
	_ = ready.Body.Close()
	ts.assertStatus(http.StatusServiceUnavailable, ready)
}

// A non-idempotent request runs at most once, whatever happens to its response, and
// the status does not claim that it did not run.
func TestAtMostOnce(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two := ts.upstream("d1", "desk"), ts.upstream("d2", "desk")
	ts.waitReady()
	for name, set := range map[string]func(on bool){
		"reset":    func(on bool) { one.Reset.Store(on); two.Reset.Store(on) },
		"unmarked": func(on bool) { one.Unmarked.Store(on); two.Unmarked.Store(on) },
		"unsigned": func(on bool) { one.Unsigned.Store(on); two.Unsigned.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			set(true)
			defer set(false)
			ca := ts.call()
			res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
			assert.Equal(t, http.StatusBadGateway, res.StatusCode)
			assert.Empty(t, res.Header.Get(site.HeaderSignature))
			assert.Equal(t, 1, ts.executions(ca))
		})
	}
}

// An idempotent request is retried at another upstream, up to its number of attempts.
func TestIdempotentRequestIsRetried(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two := ts.upstream("d1", "desk"), ts.upstream("d2", "desk")
	ts.waitReady()
	one.Reset.Store(true)
	two.Status.Store(http.StatusInternalServerError)
	ca := ts.call()
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodGet, "/look/", "")
	assert.LessOrEqual(t, len(ts.log.Of(ca.id)), 2)
	ts.assertStatus(http.StatusInternalServerError, res)
	assert.Equal(t, "answer to "+ca.id, body)
	two.Status.Store(0)
	for range 5 {
		ca = ts.call()
		res, _ = ts.roundTrip(ts.entries[0], ca, http.MethodGet, "/look/", "")
		ts.assertStatus(http.StatusOK, res)
	}
}

// If all upstreams refuse, the caller gets a refusal with Retry-After.
func TestRefusal(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two := ts.upstream("d1", "desk"), ts.upstream("d2", "desk")
	ts.waitReady()
	one.Refuse.Store(true)
	ca := ts.call()
	res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusOK, res)
	two.Refuse.Store(true)
	ca = ts.call()
	res, _ = ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	assert.Zero(t, ts.executions(ca))
	assert.Len(t, ts.log.Of(ca.id), 2)
}

// If the address now belongs to another upstream, that one does not run the request.
func TestReusedAddress(t *testing.T) {
	ts := newTestSite(t, 1)
	up := ts.upstream("d1", "desk")
	ts.waitReady()
	up.ID = "d9"
	ca := ts.call()
	res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/order/", "")
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.Zero(t, ts.executions(ca))
}

// A request that reached another upstream at a reused address is sent again to the
// right one, also on a route with a single attempt.
func TestReusedAddressIsNoAttempt(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two := ts.upstream("d1", "desk"), ts.upstream("d2", "desk")
	ts.waitReady()
	one.ID = "d9"
	for range 8 {
		ca := ts.call()
		res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/short/", "")
		ts.assertStatus(http.StatusOK, res)
		assert.Equal(t, 1, ts.executions(ca))
	}
	assert.Equal(t, "d2", two.ID)
}

// The caller gets an answer at the route's timeout, which says that the request may have run.
func TestTimeout(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk").Hang.Store(true)
	ts.waitReady()
	ca := ts.call()
	res, _ := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/short/", "")
	ts.assertStatus(http.StatusGatewayTimeout, res)
	assert.Equal(t, 1, ts.executions(ca))
	arrivals := ts.log.Of(ca.id)
	require.Len(t, arrivals, 1)
	assert.Less(t, len(arrivals[0].Header.Get(site.HeaderLeft)), 4, "the upstream gets the remaining time")
}

// When a caller disconnects, its request is cancelled at the upstream.
func TestCallerLeaves(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk").Hang.Store(true)
	ts.waitReady()
	ca := ts.call()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if res, err := ts.send(ctx, ts.entries[0], ca, http.MethodPost, "/order/", ""); err == nil {
			_ = res.Body.Close()
		}
	}()
	ts.waitFor(func() bool { return ts.executions(ca) == 1 }, "not sent")
	cancel()
	select {
	case <-ts.log.Of(ca.id)[0].Ended:
	case <-ts.clk.After(testTimeout):
		t.Fatal("the upstream still runs the request of a disconnected caller")
	}
}

// Events are forwarded without delay.
func TestStream(t *testing.T) {
	ts := newTestSite(t, 1)
	up := ts.upstream("p1", "pool")
	ts.waitReady()
	up.Events.Store(2)
	up.Gap.Store(int64(time.Hour))
	res, err := ts.send(context.Background(), ts.entries[0], ts.call(), http.MethodPost, "/draft/stream/", "")
	require.NoError(t, err)
	first := make([]byte, len("id: 1\ndata: token 1\n\n"))
	_, err = io.ReadFull(res.Body, first)
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: token 1\n\n", string(first))
	_ = res.Body.Close()
}

// A resumable stream continues at another upstream after its last complete event,
// with the response header of the first upstream.
func TestStreamIsResumed(t *testing.T) {
	ts := newTestSite(t, 1)
	one, two := ts.upstream("p1", "pool"), ts.upstream("p2", "pool")
	ts.waitReady()
	one.CutAfter.Store(3)
	two.CutAfter.Store(3)
	ca := ts.call()
	go func() {
		ts.waitFor(func() bool { return len(ts.log.Of(ca.id)) == 1 }, "not sent")
		if ts.log.Of(ca.id)[0].Upstream == "p1" {
			two.CutAfter.Store(0)
		} else {
			one.CutAfter.Store(0)
		}
	}()
	one.Gap.Store(int64(50 * time.Millisecond))
	two.Gap.Store(int64(50 * time.Millisecond))
	res, body := ts.roundTrip(ts.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	ts.assertStatus(http.StatusOK, res)
	assert.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n", body)
	arrivals := ts.log.Of(ca.id)
	require.Len(t, arrivals, 2)
	assert.Equal(t, arrivals[0].Upstream+".sig", res.Header.Get(site.HeaderSignature))
	assert.Equal(t, "3", arrivals[1].Header.Get(site.HeaderLastEvent))
}

// A caller must be able to tell that a stream which can't be resumed is incomplete.
func TestStreamIsTruncated(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("p1", "pool").CutAfter.Store(2)
	ts.upstream("p2", "pool").CutAfter.Store(2)
	ts.waitReady()
	ca := ts.call()
	res, err := ts.send(context.Background(), ts.entries[0], ca, http.MethodPost, "/once/stream/", "")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n", string(raw), "only complete events")
	assert.Equal(t, 1, ts.executions(ca))
}
