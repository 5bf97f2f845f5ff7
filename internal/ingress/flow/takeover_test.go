package flow

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/limit/deathdetect"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/siteretrybudget"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// silentAttempt is an attempt at a silent upstream, and another upstream that answers with
// a handler. Time passes only by advance.
type silentAttempt struct {
	t       *testing.T
	clk     *clockwork.FakeClock
	rt      *request
	to      *takeover
	arrived chan struct{} // a request has arrived at the other upstream
	ended   chan struct{} // the other upstream no longer works on it
}

func newSilentAttempt(t *testing.T, answer http.HandlerFunc) *silentAttempt {
	rt := stalledRequest(t)
	sa := &silentAttempt{t: t, clk: rt.fl.clk.(*clockwork.FakeClock), rt: rt, arrived: make(chan struct{}), ended: make(chan struct{})}
	var arrivals atomic.Int32
	other := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if arrivals.Add(1) == 1 {
			close(sa.arrived)
			defer close(sa.ended)
		}
		answer(wr, rq)
	}))
	t.Cleanup(other.Close)
	rt.fl.Pool = conns.New(rt.fl.clk)
	rt.fl.Deaths = deathdetect.New(t.Context(), rt.fl.clk, func(context.Context, string) error { return nil }, func(poison.Report) {})
	rt.fl.Parts = partquarantine.New(rt.fl.clk, citronstream.DefaultLimits())
	rt.CallerRequest = &citronstream.CallerRequest{ID: "r1"}
	rt.rq = httptest.NewRequest(http.MethodPost, "/", nil)
	rt.rq.Header = site.CallerHeader(rt.ID)
	rt.visit, _ = rt.fl.Parts.Enter(nil)
	rt.routes = &view.Routes{Routing: &citronstream.Routing{}}
	rt.route.Repeat, rt.route.Attempts = citronstream.RepeatResume, 3
	rt.stages = newStages(rt)
	rt.visited = make(map[string]bool)
	rt.worst = citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "none")
	rt.fl.View.Members().Node("m/b").Address = strings.TrimPrefix(other.URL, "http://")

	at := rt.newAttempt(t.Context(), rt.fl.View.Members().Node("m/a"), nil, time.Time{})
	now := sa.clk.Now()
	at.sentAt.Store(&now)
	sa.to = rt.startTakeover(at)
	require.NotNil(t, sa.to)
	return sa
}

// stall lets so much time pass that the other upstream is tried.
func (sa *silentAttempt) stall() {
	sa.clk.Advance(sa.to.wait)
	require.Eventually(sa.t, func() bool {
		sa.to.mu.Lock()
		defer sa.to.mu.Unlock()
		return sa.to.settled != nil
	}, 10*time.Second, time.Millisecond, "no other upstream was tried")
}

// passToSend sets the function that is called once the other upstream has been chosen.
func (sa *silentAttempt) passToSend(pass func(ctx context.Context)) {
	var calls atomic.Int32
	sa.rt.fl.Pass = func(ctx context.Context) {
		if calls.Add(1) > 1 { // the first call is the one before the choice
			pass(ctx)
		}
	}
}

// addOther adds an upstream, at the address of the other one, and repeats to try it.
func (sa *silentAttempt) addOther() {
	vi := sa.rt.fl.View
	vi.Apply([]citronstream.Change{{Row: citronstream.Row{Key: "m/c", Version: 3}}}, view.SourceStore)
	vi.Members().Node("m/c").Address = vi.Members().Node("m/b").Address
	sa.rt.fl.Budget = siteretrybudget.New(sa.clk, citronstream.Bounds{RetryWindow: 10 * time.Second, RetryExtra: 10}, func() int { return 1 })
}

// assertNotTried asserts that no second other upstream is tried.
func (sa *silentAttempt) assertNotTried() {
	sa.t.Helper()
	assert.Never(sa.t, func() bool {
		sa.to.mu.Lock()
		defer sa.to.mu.Unlock()
		return len(sa.rt.tried) > 2
	}, 5*time.Millisecond, time.Millisecond, "another upstream is tried")
}

func (sa *silentAttempt) assertGoesOn(progress bool) {
	sa.t.Helper()
	assert.True(sa.t, sa.to.awake(progress), "the attempt goes on")
	assert.NoError(sa.t, sa.to.at.ctx.Err())
	assert.Nil(sa.t, sa.to.stop())
}

func (sa *silentAttempt) assertTakenOver() {
	sa.t.Helper()
	assert.False(sa.t, sa.to.awake(true), "the attempt is over")
	assert.ErrorIs(sa.t, context.Cause(sa.to.at.ctx), errStalled)
	next := sa.to.stop()
	require.NotNil(sa.t, next)
	sa.rt.abandon(next)
}

func answerStatus(status int, headers ...string) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		wr.Header().Set(site.HeaderID, rq.Header.Get(site.HeaderID))
		for i := 0; i < len(headers); i += 2 {
			wr.Header().Set(headers[i], headers[i+1])
		}
		wr.WriteHeader(status)
	}
}

// Guards against giving up a silent upstream for one that does not take the request.
func TestReplacementNotAccepted(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"refused":      answerStatus(http.StatusServiceUnavailable, "X-Citronstream-Not-Executed", "1"),
		"misdirected":  answerStatus(http.StatusMisdirectedRequest),
		"failed":       answerStatus(http.StatusInternalServerError),
		"invalid head": answerStatus(http.StatusOK),
		"broken":       func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			sa := newSilentAttempt(t, answer)
			sa.stall()
			sa.assertGoesOn(false)
			assert.Equal(t, 1, sa.rt.deliveries)
		})
	}
}

// Guards against giving up a silent upstream for one that can't be reached, and against
// losing the repeat that was taken for it.
func TestReplacementNotReached(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK))
	sa.rt.fl.View.Members().Node("m/b").Address = "127.0.0.1:1"
	sa.stall()
	sa.assertGoesOn(false)
	assert.Equal(t, 1, sa.rt.unreached)
	assert.False(t, sa.rt.nextRetry.IsZero(), "the repeat is in hand")
}

// Guards against dropping an upstream that goes on while another one is tried, and against
// work that goes on there.
func TestProgressWhileReplacementIsTried(t *testing.T) {
	sa := newSilentAttempt(t, func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
	sa.stall()
	<-sa.arrived
	sa.assertGoesOn(true)
	<-sa.ended
	assert.Equal(t, 1, sa.rt.sends)
}

// Guards against giving up a stream that has gone on, in a pause that is shorter than allowed.
func TestPauseAfterProgress(t *testing.T) {
	const step = 100 * time.Millisecond
	sa := newSilentAttempt(t, func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
	sa.addOther()
	sa.stall()
	<-sa.arrived
	require.True(t, sa.to.awake(true))
	sa.to.await()
	for passed := step; passed < sa.to.gap; passed += step {
		sa.clk.Advance(step)
		sa.assertNotTried()
	}
	sa.assertGoesOn(true)
}

// Guards against an attempt that nothing watches: the one before it has ended, and its
// upstream does not answer.
func TestEndWhileReplacementIsSilent(t *testing.T) {
	sa := newSilentAttempt(t, func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
	sa.to.gap = 0 // a plain request
	sa.stall()
	<-sa.arrived
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sa.to.fails()
	}()
	select {
	case <-ended:
	case <-clockwork.NewRealClock().After(5 * time.Second):
		require.Fail(t, "the request waits for an answer that does not come")
	}
	sa.assertTakenOver()
}

// Guards against sending each request of a route without a target twice.
func TestNoTakeoverWithoutATarget(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK))
	sa.rt.route.Stream, sa.rt.route.Target = false, 0
	assert.Nil(t, sa.rt.startTakeover(sa.to.at))
}

// Guards against a plain request that waits for two silent upstreams while a third one may
// be tried.
func TestSecondSilentUpstream(t *testing.T) {
	sa := newSilentAttempt(t, func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
	sa.to.gap, sa.rt.route.Stream = 0, false
	sa.stall()
	<-sa.arrived
	require.NoError(t, sa.clk.BlockUntilContext(t.Context(), 1), "no time of acceptance")
	sa.clk.Advance(sa.to.wait)
	<-sa.to.at.ctx.Done()
	sa.assertTakenOver()
}

// Guards against a request with a suspect prompt part that runs at two engines.
func TestSuspectStaysAtItsUpstream(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK))
	sa.rt.visit, _ = sa.rt.fl.Parts.Enter([]citronstream.PromptPart{{ID: 1}})
	sa.rt.visit.Broke()
	sa.to.mu.Lock()
	begun := sa.to.begin()
	sa.to.mu.Unlock()
	assert.False(t, begun)
	assert.Len(t, sa.rt.tried, 1)
}

// Guards against attempts that are used up by ones that were not made.
func TestProgressBeforeReplacementIsSent(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK))
	sa.passToSend(func(ctx context.Context) { <-ctx.Done() })
	sa.stall()
	sa.assertGoesOn(true)
	assert.Zero(t, sa.rt.unreached)
}

// Guards against events that wait behind a comment for as long as another upstream is tried.
func TestCommentWhileReplacementIsTried(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	sa := newSilentAttempt(t, answerStatus(http.StatusServiceUnavailable))
	sa.passToSend(func(ctx context.Context) { <-ctx.Done() })
	goOn := make(chan struct{})
	sa.answerStream(func(send func(text string)) {
		<-goOn
		send(": comment\n\n")
		send(event)
	})
	written := make(eventWriter, 2)
	sa.rt.wr = written
	relayed := make(chan result, 1)
	go func() { relayed <- sa.rt.relayStream(sa.to.at, sa.to) }()
	sa.stall()
	close(goOn)
	select {
	case text := <-written:
		assert.Equal(t, event, text)
	case <-clockwork.NewRealClock().After(5 * time.Second):
		assert.Fail(t, "the event is not relayed")
	}
	sa.to.at.cancel(nil)
	assert.Nil(t, sa.to.stop())
	<-relayed
	sa.to.at.ans.Close()
}

// eventWriter passes on what is written.
type eventWriter chan string

func (ew eventWriter) Header() http.Header { return make(http.Header) }

func (ew eventWriter) WriteHeader(int) {}

func (ew eventWriter) Flush() {}

func (ew eventWriter) Write(data []byte) (int, error) {
	ew <- string(data)
	return len(data), nil
}

// answerStream lets the silent upstream send the head of a stream, and then what it is told.
func (sa *silentAttempt) answerStream(stream func(send func(text string))) {
	head := answerStatus(http.StatusOK, "Content-Type", "text/event-stream")
	up := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		head(wr, rq)
		flush := http.NewResponseController(wr).Flush
		_ = flush() // fails only if the attempt has ended
		stream(func(text string) {
			_, _ = io.WriteString(wr, text)
			_ = flush()
		})
		<-rq.Context().Done()
	}))
	sa.t.Cleanup(up.Close)
	at := sa.to.at
	at.nd.Address = strings.TrimPrefix(up.URL, "http://")
	var err error
	at.ans, err = sa.rt.fl.Pool.Send(at.ctx, at.nd.Address, sa.rt.upstreamRequest(at, citronstream.ForwardOptions{Priority: -1}))
	require.NoError(sa.t, err)
}

// Guards against two engines that work on one request for longer than is allowed.
func TestUnansweredReplacementTakesOver(t *testing.T) {
	const allowed = 400 * time.Millisecond
	sa := newSilentAttempt(t, func(_ http.ResponseWriter, rq *http.Request) { <-rq.Context().Done() })
	sa.stall()
	<-sa.arrived
	require.NoError(t, sa.clk.BlockUntilContext(t.Context(), 1), "no time of acceptance")
	sa.clk.Advance(allowed)
	<-sa.to.at.ctx.Done()
	sa.assertTakenOver()
}

// Guards against waiting for a silent upstream when another one has begun to answer.
func TestAnsweredReplacementTakesOver(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK, site.HeaderSignature, "s", "Content-Type", "text/event-stream"))
	sa.stall()
	<-sa.to.at.ctx.Done()
	sa.assertTakenOver()
}

// Guards against a process that ends by a panic beside the goroutine of a request.
func TestPanicOfATakeover(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK))
	sa.passToSend(func(context.Context) { panic("broken") })
	sa.stall()
	sa.assertGoesOn(false)
	require.Eventually(t, func() bool { return sa.rt.fl.Panics() == 1 }, 10*time.Second, time.Millisecond, "the panic is counted")
}

// Guards against a process that was paused and chooses the other upstream by what it knew
// before.
func TestPassBeforeReplacementIsChosen(t *testing.T) {
	sa := newSilentAttempt(t, answerStatus(http.StatusOK))
	passed := make(chan struct{})
	sa.rt.fl.Pass = func(context.Context) {
		sa.rt.fl.View.Apply([]citronstream.Change{{Row: citronstream.Row{Key: "m/b", Version: 3}, Deleted: true}}, view.SourceStore)
		close(passed)
	}
	sa.clk.Advance(sa.to.wait)
	<-passed
	sa.assertNotTried()
	sa.assertGoesOn(true)
	assert.Len(t, sa.rt.tried, 1)
}
