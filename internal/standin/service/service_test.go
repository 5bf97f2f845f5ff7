package service

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// bound limits how long a test waits for an event; no result depends on its length.
const bound = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	se  *Server
	log *record.Log
	clk *clockwork.FakeClock
	cl  *http.Client
	ctx context.Context
}

// start returns a service whose calls take 10 ms of a fake clock.
func start(t *testing.T, opts ...Option) fixture {
	clk := clockwork.NewFakeClock()
	log := record.New(clk)
	se := New(clk, "desk-1", log, append([]Option{WithTime(10*time.Millisecond, 0)}, opts...)...)
	life, stop := context.WithCancel(context.Background())
	require.NoError(t, se.Start(life, "127.0.0.1:0"))
	tr := &http.Transport{}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(func() { stop(); <-se.Done(); tr.CloseIdleConnections(); cancel() })
	return fixture{se: se, log: log, clk: clk, cl: &http.Client{Transport: tr}, ctx: ctx}
}

type response struct {
	status int
	body   string
	err    error
}

// post sends a call and returns a channel with its response.
func (fx fixture) post(body string) <-chan response {
	replies := make(chan response, 1)
	go func() {
		req, _ := http.NewRequestWithContext(fx.ctx, http.MethodPost, "http://"+fx.se.Address()+"/orders", strings.NewReader(body))
		req.GetBody = nil
		res, err := fx.cl.Do(req)
		if err != nil {
			replies <- response{err: err}
			return
		}
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		replies <- response{status: res.StatusCode, body: string(data), err: err}
	}()
	return replies
}

// awaitTimers waits until n calls wait for their service time to pass.
func (fx fixture) awaitTimers(t *testing.T, n int) {
	t.Helper()
	require.NoError(t, fx.clk.BlockUntilContext(fx.ctx, n))
}

func (fx fixture) assertOutcomes(t *testing.T, outcomes ...string) {
	t.Helper()
	got := []string{}
	for _, ex := range fx.log.All() {
		got = append(got, ex.Outcome)
	}
	assert.Equal(t, outcomes, got)
}

func TestFaults(t *testing.T) {
	t.Run("slow", func(t *testing.T) {
		fx := start(t)
		fx.se.Slow(3)
		got := fx.post("{}")
		fx.awaitTimers(t, 1)
		fx.clk.Advance(29 * time.Millisecond)
		fx.assertOutcomes(t, record.Running)
		fx.clk.Advance(time.Millisecond)
		assert.Equal(t, 200, (<-got).status)
		assert.Equal(t, 30*time.Millisecond, fx.log.All()[0].EndedAt.Sub(fx.log.All()[0].StartedAt))
	})
	t.Run("fail", func(t *testing.T) {
		fx := start(t)
		fx.se.Fail(1)
		assert.Equal(t, 500, (<-fx.post("{}")).status)
		fx.assertOutcomes(t, record.Failed)
	})
	// A kill that lets a response through would make a dead upstream look alive.
	t.Run("kill ends running calls, restart serves again", func(t *testing.T) {
		fx := start(t)
		got := fx.post("{}")
		fx.awaitTimers(t, 1)
		fx.se.Kill()
		assert.Error(t, (<-got).err)
		assert.Error(t, (<-fx.post("{}")).err)
		require.Eventually(t, func() bool { return fx.log.All()[0].Outcome == record.Killed }, bound, time.Millisecond)
		require.NoError(t, fx.se.Restart())
		require.Error(t, fx.se.Restart(), "the server is already running")
		fx.se.Fail(1)
		assert.Equal(t, 500, (<-fx.post("{}")).status)
	})
	t.Run("poison kills", func(t *testing.T) {
		fx := start(t)
		assert.Error(t, (<-fx.post("citronstream-poison")).err)
		assert.False(t, fx.se.Running())
		fx.assertOutcomes(t, record.Poisoned)
	})
	t.Run("pause holds calls until resumed", func(t *testing.T) {
		fx := start(t)
		fx.se.Pause(true)
		fx.se.Fail(1) // a call that is not held fails at once
		got := fx.post("{}")
		require.Eventually(t, func() bool { return fx.se.Connections() == 1 }, bound, time.Millisecond)
		assert.Zero(t, fx.log.Len())
		fx.se.Pause(false)
		assert.Equal(t, 500, (<-got).status)
	})
	// A call completes although its connection is silent.
	t.Run("silent", func(t *testing.T) {
		fx := start(t)
		got := fx.post("{}")
		fx.awaitTimers(t, 1)
		fx.se.Silent()
		fx.clk.Advance(10 * time.Millisecond)
		require.Eventually(t, func() bool { return fx.log.All()[0].Outcome == record.Done }, bound, time.Millisecond)
		again := fx.post("{}")
		fx.awaitTimers(t, 1)
		fx.clk.Advance(10 * time.Millisecond)
		assert.Equal(t, 200, (<-again).status)
		assert.Empty(t, got)
		fx.se.Kill()
		assert.Error(t, (<-got).err)
	})
}

func TestCapacityAndLoad(t *testing.T) {
	fx := start(t, WithCapacity(2), WithLoadReport())
	replies := []<-chan response{fx.post("{}"), fx.post("{}"), fx.post("{}")}
	fx.awaitTimers(t, 2)
	load := func() string {
		res, err := fx.cl.Get("http://" + fx.se.Address() + "/load")
		require.NoError(t, err)
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		return strings.TrimSpace(string(body))
	}
	require.Eventually(t, func() bool { return load() == `{"Running":2,"Waiting":1,"Capacity":2}` }, bound, time.Millisecond)
	fx.clk.Advance(10 * time.Millisecond)
	fx.awaitTimers(t, 1)
	fx.clk.Advance(10 * time.Millisecond)
	for _, got := range replies {
		assert.Equal(t, 200, (<-got).status)
	}
	fx.assertOutcomes(t, record.Done, record.Done, record.Done)
}
