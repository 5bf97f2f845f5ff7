package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/pipeline"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTimeout bounds waits; no result depends on its length.
const testTimeout = 20 * time.Second

// answering is an upstream that answers with a number of bytes once it is released.
type answering struct {
	bytes    int
	released chan struct{}
}

func (an *answering) Pick(citronstream.PickRequest) (string, bool)     { return "up", true }
func (an *answering) Sent(string, int, float64)                        {}
func (an *answering) Ended(string, int, float64, time.Duration, error) {}
func (an *answering) Run(ctx context.Context, _ string, ca citronstream.Call, _ func([]byte)) citronstream.Result {
	select {
	case <-an.released:
	case <-ctx.Done():
		return citronstream.Result{AttemptID: ca.AttemptID, Upstream: "up", Fault: citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "canceled")}
	}
	return citronstream.Result{AttemptID: ca.AttemptID, Upstream: "up", Status: http.StatusOK, Body: make([]byte, an.bytes)}
}

// startLimited starts a server with small limits.
func startLimited(t *testing.T, up *answering, edit func(li *citronstream.Limits)) *Server {
	fl := &citronstream.Fleet{
		Limits:     citronstream.DefaultLimits(),
		Ranks:      []citronstream.Rank{{Name: "urgent", Deadline: citronstream.Duration(time.Minute)}},
		Workspaces: []citronstream.Workspace{{Name: "w"}},
		Services:   []citronstream.Service{{Name: "s", Kind: citronstream.KindPlain, Calls: []citronstream.ServiceCall{{Name: "c", Idempotent: true}}}},
	}
	fl.Limits.MaxBodyBytes, fl.Limits.MaxCallerMemory = 64<<10, 8<<20
	edit(&fl.Limits)
	clk, ca := clockwork.NewRealClock(), catalog.New(fl)
	runner := pipeline.New(clk, "z", up, func(string) citronstream.Picker { return up }, retrybudget.New(clk, fl.Limits))
	se := New(clk, "127.0.0.1:0", runner, func() *catalog.Catalog { return ca }, fl.Limits)
	require.NoError(t, se.Start(context.Background()))
	t.Cleanup(se.Stop)
	return se
}

// send opens a connection and sends a request.
func send(t *testing.T, se *Server, rest string) (net.Conn, *bufio.Reader) {
	nc, err := net.Dial("tcp", se.http.Listener().Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	require.NoError(t, nc.SetDeadline(clockwork.NewRealClock().Now().Add(testTimeout)))
	_, err = io.WriteString(nc, "POST /v1/services/s/c HTTP/1.1\r\nHost: h\r\nX-Workspace: w\r\n"+rest)
	require.NoError(t, err)
	return nc, bufio.NewReader(nc)
}

// assertProblem asserts that a request is refused with a problem document.
func assertProblem(t *testing.T, br *bufio.Reader, status int, verdict citronstream.Verdict) {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	var doc document
	require.NoError(t, json.NewDecoder(res.Body).Decode(&doc))
	assert.Equal(t, status, res.StatusCode)
	assert.Equal(t, verdict, doc.Verdict)
	assert.Equal(t, status == http.StatusServiceUnavailable, res.Header.Get("Retry-After") != "")
}

func body(length int) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
}

// Guards against refusals of bodies that have another status or verdict than documented.
func TestRefusedBodies(t *testing.T) {
	up := &answering{released: make(chan struct{})}
	close(up.released)
	t.Run("too large", func(t *testing.T) {
		se := startLimited(t, up, func(*citronstream.Limits) {})
		_, br := send(t, se, body(64<<10+1))
		assertProblem(t, br, http.StatusRequestEntityTooLarge, citronstream.NotRun)
		assert.EqualValues(t, 1, se.LimitCount(LimitBodyBytes))
	})
	t.Run("stalled", func(t *testing.T) {
		se := startLimited(t, up, func(li *citronstream.Limits) { li.StallTimeout = citronstream.Duration(50 * time.Millisecond) })
		_, br := send(t, se, "Content-Length: 2\r\n\r\nx")
		assertProblem(t, br, http.StatusRequestTimeout, citronstream.NotRun)
		assert.EqualValues(t, 1, se.LimitCount(LimitBodyStall))
	})
	t.Run("no memory", func(t *testing.T) {
		se := startLimited(t, up, func(li *citronstream.Limits) { li.MaxCallerMemory = 128 << 10 })
		_, br := send(t, se, body(64<<10))
		assertProblem(t, br, http.StatusServiceUnavailable, citronstream.NotRun)
		assert.EqualValues(t, 1, se.LimitCount(LimitBodyMemory))
	})
	t.Run("unknown token", func(t *testing.T) {
		se := startLimited(t, up, func(*citronstream.Limits) {})
		_, br := send(t, se, "Authorization: Bearer other\r\nX-Workspace: v\r\nContent-Length: 60000\r\n\r\nx")
		assertProblem(t, br, http.StatusUnauthorized, citronstream.NotRun)
	})
}

// Guards against an answer without memory that is called not run.
func TestAnswerWithoutMemory(t *testing.T) {
	up := &answering{bytes: 1 << 20, released: make(chan struct{})}
	close(up.released)
	se := startLimited(t, up, func(li *citronstream.Limits) { li.MaxCallerMemory = 1 << 20 })
	_, br := send(t, se, body(10))
	assertProblem(t, br, http.StatusBadGateway, citronstream.Ran)
	assert.EqualValues(t, 1, se.LimitCount(LimitAnswerMemory))
}

// streaming is an upstream that streams an answer of one part.
type streaming struct {
	*answering
	bytes int
}

func (st *streaming) Run(ctx context.Context, _ string, ca citronstream.Call, sink func([]byte)) citronstream.Result {
	sink(make([]byte, st.bytes))
	if ctx.Err() != nil {
		return citronstream.Result{AttemptID: ca.AttemptID, Upstream: "up", Fault: citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeCanceled, "canceled")}
	}
	return citronstream.Result{AttemptID: ca.AttemptID, Upstream: "up", Status: http.StatusOK}
}

// Guards against a stream without memory for its first part that is answered with 503, which
// promises that its request has not run.
func TestStreamWithoutMemory(t *testing.T) {
	fl := &citronstream.Fleet{
		Limits:    citronstream.DefaultLimits(),
		Services:  []citronstream.Service{{Name: "s", Kind: citronstream.KindEngine, Calls: []citronstream.ServiceCall{{Name: "c", Idempotent: true, Streams: true}}}},
		Pipelines: []citronstream.Pipeline{{Name: "p", Stages: []citronstream.Stage{{Name: "last", Service: "s", Call: "c"}}}},
	}
	fl.Limits.MaxCallerMemory = 1 << 20
	clk, up := clockwork.NewRealClock(), &streaming{answering: &answering{}, bytes: 2 << 20}
	se := New(clk, "", pipeline.New(clk, "z", up, func(string) citronstream.Picker { return up }, retrybudget.New(clk, fl.Limits)), nil, fl.Limits)
	bu, err := stagebody.New([]byte(`{"prompt":"p","stream":true}`))
	require.NoError(t, err)
	re := &request{ca: catalog.New(fl), Request: pipeline.Request{ID: "r", Workspace: &citronstream.Workspace{}, Deadline: time.Minute}}
	wr := httptest.NewRecorder()
	memory := se.memory.Open()
	out := se.stream(t.Context(), wr, memory, re, "p", bu)
	assert.Equal(t, http.StatusBadGateway, wr.Code, wr.Body.String())
	require.NotNil(t, out.Fault)
	assert.Equal(t, citronstream.MayHaveRun, out.Fault.Verdict)
	memory.Close()
	assert.Zero(t, se.memory.Used())
}

// Guards against clients that stop short of the end of their bodies and take the places of
// requests in flight, and against a drain that waits for them.
func TestIncompleteBodiesAreNotInFlight(t *testing.T) {
	up := &answering{released: make(chan struct{})}
	se := startLimited(t, up, func(li *citronstream.Limits) { li.MaxConcurrent = 1 })
	incomplete, late := send(t, se, "Content-Length: 2\r\n\r\nx")
	_, ran := send(t, se, body(2))
	require.Eventually(t, func() bool { return se.InFlight() == 1 }, testTimeout, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- se.Drain(t.Context()) }()
	require.Eventually(t, se.leaving.Load, testTimeout, time.Millisecond)
	close(up.released)
	res, err := http.ReadResponse(ran, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
	require.NoError(t, <-drained)
	_, err = io.WriteString(incomplete, "x")
	require.NoError(t, err)
	assertProblem(t, late, http.StatusServiceUnavailable, citronstream.NotRun)
}

// Guards against work that goes on for a caller who has disconnected.
func TestDisconnected(t *testing.T) {
	up := &answering{released: make(chan struct{})}
	defer close(up.released)
	se := startLimited(t, up, func(*citronstream.Limits) {})
	nc, _ := send(t, se, body(2))
	require.Eventually(t, func() bool { return se.InFlight() == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, nc.Close())
	assert.Eventually(t, func() bool { return se.counts.Disconnected.Load() == 1 && se.InFlight() == 0 }, testTimeout, time.Millisecond)
}
