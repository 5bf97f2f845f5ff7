package server

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
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

// slowCaller is a response whose writes wait until it is released.
type slowCaller struct {
	header   http.Header
	released chan struct{}
	body     bytes.Buffer
}

func (sc *slowCaller) Header() http.Header { return sc.header }
func (sc *slowCaller) WriteHeader(int)     {}

func (sc *slowCaller) Write(data []byte) (int, error) {
	<-sc.released
	return sc.body.Write(data)
}

// longAnswer is an upstream that sends parts until the caller has missed one, lets the
// caller read and sends more to the end of its answer, though it was cancelled.
type longAnswer struct {
	se     *Server
	caller *slowCaller
}

func (la *longAnswer) Pick(citronstream.PickRequest) (string, bool)     { return "up", true }
func (la *longAnswer) Sent(string, int, float64)                        {}
func (la *longAnswer) Ended(string, int, float64, time.Duration, error) {}
func (la *longAnswer) Run(_ context.Context, _ string, ca citronstream.Call, sink func([]byte)) citronstream.Result {
	sent := 0
	send := func() {
		sink([]byte(fmt.Sprintf("%d ", sent)))
		sent++
	}
	for la.se.counts.SlowReaders.Load() == 0 {
		send()
	}
	close(la.caller.released)
	for range unsentChunks {
		send()
	}
	return citronstream.Result{AttemptID: ca.AttemptID, Upstream: "up", Status: http.StatusOK}
}

// Guards against a stream that goes on, or ends as complete, after a part that a slow
// caller has not got.
func TestSlowCaller(t *testing.T) {
	fl := &citronstream.Fleet{
		Limits:    citronstream.DefaultLimits(),
		Services:  []citronstream.Service{{Name: "s", Kind: citronstream.KindEngine, Calls: []citronstream.ServiceCall{{Name: "c", Idempotent: true, Streams: true}}}},
		Pipelines: []citronstream.Pipeline{{Name: "p", Stages: []citronstream.Stage{{Name: "last", Service: "s", Call: "c"}}}},
	}
	clk := clockwork.NewRealClock()
	caller := &slowCaller{header: http.Header{}, released: make(chan struct{})}
	la := &longAnswer{caller: caller}
	la.se = New(clk, "", pipeline.New(clk, "z", la, func(string) citronstream.Picker { return la }, retrybudget.New(clk, fl.Limits)), nil, fl.Limits)
	bu, err := stagebody.New([]byte(`{"prompt":"p","stream":true}`))
	require.NoError(t, err)
	re := &request{ca: catalog.New(fl), Request: pipeline.Request{ID: "r", Workspace: &citronstream.Workspace{}, Deadline: time.Minute}}
	out := la.se.stream(t.Context(), caller, nil, re, "p", bu)
	text := caller.body.String()
	require.NotNil(t, out.Fault)
	assert.NotContains(t, text, "[DONE]")
	for next := 0; ; next++ {
		if !strings.Contains(text, fmt.Sprintf(`"text":"%d "`, next)) {
			assert.NotContains(t, text, fmt.Sprintf(`"text":"%d "`, next+1), "a part is missing")
			assert.Equal(t, next, strings.Count(text, `"text"`), "parts after one that is missing")
			break
		}
	}
}
