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

// A request reaches its upstream as the caller sent it, with the system's own
// headers and without the caller's key.
func TestPassedOnUnchanged(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("d1", "desk")
	wo.waitReady()
	ca := wo.call(site.HeaderWorkspace, "other", site.HeaderHold, "h", "X-Own", "1")
	res, body := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/order/a%2Fb/x?q=%20+1", "the body")
	wo.assertStatus(http.StatusOK, res)
	assert.Equal(t, "answer to "+ca.id, body)
	assert.Equal(t, "d1.sig", res.Header.Get(site.HeaderSignature))
	arrivals := wo.log.Of(ca.id)
	require.Len(t, arrivals, 1)
	ar := arrivals[0]
	assert.Equal(t, []string{"POST", "/order/a%2Fb/x?q=%20+1", "the body"}, []string{ar.Method, ar.Target, ar.Body})
	assert.Equal(t, "w", ar.Header.Get(site.HeaderWorkspace))
	assert.Equal(t, "d1", ar.Header.Get(site.HeaderMember))
	assert.Equal(t, "1", ar.Header.Get("X-Own"))
	assert.Empty(t, ar.Header.Get(site.HeaderKey))
	assert.Empty(t, ar.Header.Get(site.HeaderHold))
}

// What the configuration does not allow is refused without an upstream, and
// nothing is refused so before there is a configuration.
func TestDenials(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("d1", "desk")
	wo.waitReady()
	en := wo.entries[0]
	for _, one := range []struct {
		status int
		target string
		ca     *call
	}{
		{http.StatusNotFound, "/none/", wo.call()},
		{http.StatusNotFound, "/order", wo.call()},
		{http.StatusUnauthorized, "/order/", wo.call(site.HeaderKey, site.OtherKey)},
		{http.StatusUnauthorized, "/order/", wo.call(site.HeaderKey, "")},
		{http.StatusBadRequest, "/order/", wo.call(site.HeaderID, "")},
		{http.StatusOK, "/open/", wo.call(site.HeaderKey, "")},
	} {
		res, _ := wo.roundTrip(en, one.ca, http.MethodPost, one.target, "")
		assert.Equal(t, one.status, res.StatusCode, one.target)
	}
	res, _ := wo.roundTrip(en, wo.call(), http.MethodPost, "/order/", strings.Repeat("x", 100001))
	wo.assertStatus(http.StatusRequestEntityTooLarge, res)
	assert.Len(t, wo.log.All(), 1)
}

func TestNotReadyWithoutConfiguration(t *testing.T) {
	wo := newTestSite(t, 0)
	wo.st.Unconfigure()
	en := wo.startEntry()
	ca := wo.call()
	res, _ := wo.roundTrip(en, ca, http.MethodPost, "/order/", "")
	wo.assertStatus(http.StatusServiceUnavailable, res)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	ready, err := http.Get("http://" + en.site.Ready + "/readiness")
	require.NoError(t, err)
	_ = ready.Body.Close()
	wo.assertStatus(http.StatusServiceUnavailable, ready)
}

// A request that may not be repeated runs at most once whatever becomes of its
// answer, and no status promises that it did not run.
func TestAtMostOnce(t *testing.T) {
	wo := newTestSite(t, 1)
	one, two := wo.upstream("d1", "desk"), wo.upstream("d2", "desk")
	wo.waitReady()
	for name, set := range map[string]func(on bool){
		"reset":    func(on bool) { one.Reset.Store(on); two.Reset.Store(on) },
		"unmarked": func(on bool) { one.Unmarked.Store(on); two.Unmarked.Store(on) },
		"unsigned": func(on bool) { one.Unsigned.Store(on); two.Unsigned.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			set(true)
			defer set(false)
			ca := wo.call()
			res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/order/", "")
			assert.Equal(t, http.StatusBadGateway, res.StatusCode)
			assert.Empty(t, res.Header.Get(site.HeaderSignature))
			assert.Equal(t, 1, wo.executions(ca))
		})
	}
}

// An idempotent request is tried at another upstream, within its attempts.
func TestIdempotentRequestIsRetried(t *testing.T) {
	wo := newTestSite(t, 1)
	one, two := wo.upstream("d1", "desk"), wo.upstream("d2", "desk")
	wo.waitReady()
	one.Reset.Store(true)
	two.Status.Store(http.StatusInternalServerError)
	ca := wo.call()
	res, body := wo.roundTrip(wo.entries[0], ca, http.MethodGet, "/look/", "")
	assert.LessOrEqual(t, len(wo.log.Of(ca.id)), 2)
	wo.assertStatus(http.StatusInternalServerError, res)
	assert.Equal(t, "answer to "+ca.id, body)
	two.Status.Store(0)
	for range 5 {
		ca = wo.call()
		res, _ = wo.roundTrip(wo.entries[0], ca, http.MethodGet, "/look/", "")
		wo.assertStatus(http.StatusOK, res)
	}
}

// A refusal of all upstreams is passed on as one that says when to come back.
func TestRefusal(t *testing.T) {
	wo := newTestSite(t, 1)
	one, two := wo.upstream("d1", "desk"), wo.upstream("d2", "desk")
	wo.waitReady()
	one.Refuse.Store(true)
	ca := wo.call()
	res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/order/", "")
	wo.assertStatus(http.StatusOK, res)
	two.Refuse.Store(true)
	ca = wo.call()
	res, _ = wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/order/", "")
	wo.assertStatus(http.StatusServiceUnavailable, res)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	assert.Zero(t, wo.executions(ca))
	assert.Len(t, wo.log.Of(ca.id), 2)
}

// Another upstream at the address of the one meant does not run the request.
func TestReusedAddress(t *testing.T) {
	wo := newTestSite(t, 1)
	up := wo.upstream("d1", "desk")
	wo.waitReady()
	up.ID = "d9"
	ca := wo.call()
	res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/order/", "")
	wo.assertStatus(http.StatusServiceUnavailable, res)
	assert.Zero(t, wo.executions(ca))
}

// A request that met another upstream at the address goes to one that is meant,
// also where it may be sent to one upstream only.
func TestReusedAddressIsNoAttempt(t *testing.T) {
	wo := newTestSite(t, 1)
	one, two := wo.upstream("d1", "desk"), wo.upstream("d2", "desk")
	wo.waitReady()
	one.ID = "d9"
	for range 8 {
		ca := wo.call()
		res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/short/", "")
		wo.assertStatus(http.StatusOK, res)
		assert.Equal(t, 1, wo.executions(ca))
	}
	assert.Equal(t, "d2", two.ID)
}

// The final answer comes at the route's timeout, and says that the work may have run.
func TestTimeout(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("d1", "desk").Hang.Store(true)
	wo.waitReady()
	ca := wo.call()
	res, _ := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/short/", "")
	wo.assertStatus(http.StatusGatewayTimeout, res)
	assert.Equal(t, 1, wo.executions(ca))
	arrivals := wo.log.Of(ca.id)
	require.Len(t, arrivals, 1)
	assert.Less(t, len(arrivals[0].Header.Get(site.HeaderLeft)), 4, "the upstream gets the time that is left")
}

// A caller that leaves ends the work at the upstream.
func TestCallerLeaves(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("d1", "desk").Hang.Store(true)
	wo.waitReady()
	ca := wo.call()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		if res, err := wo.send(ctx, wo.entries[0], ca, http.MethodPost, "/order/", ""); err == nil {
			_ = res.Body.Close()
		}
	}()
	wo.waitFor(func() bool { return wo.executions(ca) == 1 }, "not sent")
	cancel()
	select {
	case <-wo.log.Of(ca.id)[0].Ended:
	case <-wo.clk.After(testTimeout):
		t.Fatal("the upstream still works for a caller that left")
	}
}

// Events are passed on as they come.
func TestStream(t *testing.T) {
	wo := newTestSite(t, 1)
	up := wo.upstream("p1", "pool")
	wo.waitReady()
	up.Events.Store(2)
	up.Gap.Store(int64(time.Hour))
	res, err := wo.send(context.Background(), wo.entries[0], wo.call(), http.MethodPost, "/draft/stream/", "")
	require.NoError(t, err)
	first := make([]byte, len("id: 1\ndata: token 1\n\n"))
	_, err = io.ReadFull(res.Body, first)
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: token 1\n\n", string(first))
	_ = res.Body.Close()
}

// A stream that may be resumed goes on at another upstream after its last
// whole event, under the head of the first one.
func TestStreamIsResumed(t *testing.T) {
	wo := newTestSite(t, 1)
	one, two := wo.upstream("p1", "pool"), wo.upstream("p2", "pool")
	wo.waitReady()
	one.CutAfter.Store(3)
	two.CutAfter.Store(3)
	ca := wo.call()
	go func() {
		wo.waitFor(func() bool { return len(wo.log.Of(ca.id)) == 1 }, "not sent")
		if wo.log.Of(ca.id)[0].Upstream == "p1" {
			two.CutAfter.Store(0)
		} else {
			one.CutAfter.Store(0)
		}
	}()
	one.Gap.Store(int64(50 * time.Millisecond))
	two.Gap.Store(int64(50 * time.Millisecond))
	res, body := wo.roundTrip(wo.entries[0], ca, http.MethodPost, "/draft/stream/", "")
	wo.assertStatus(http.StatusOK, res)
	assert.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n", body)
	arrivals := wo.log.Of(ca.id)
	require.Len(t, arrivals, 2)
	assert.Equal(t, arrivals[0].Upstream+".sig", res.Header.Get(site.HeaderSignature))
	assert.Equal(t, "3", arrivals[1].Header.Get(site.HeaderLastEvent))
}

// A stream that may not be resumed must look cut to its caller.
func TestStreamIsTruncated(t *testing.T) {
	wo := newTestSite(t, 1)
	wo.upstream("p1", "pool").CutAfter.Store(2)
	wo.upstream("p2", "pool").CutAfter.Store(2)
	wo.waitReady()
	ca := wo.call()
	res, err := wo.send(context.Background(), wo.entries[0], ca, http.MethodPost, "/once/stream/", "")
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n", string(raw), "only whole events")
	assert.Equal(t, 1, wo.executions(ca))
}
