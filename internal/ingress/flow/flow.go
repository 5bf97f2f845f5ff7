// Package flow carries a caller's request through its stages to an upstream
// and its answer back.
package flow

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/limit/comeback"
	"github.com/citronstream/citronstream/internal/limit/deathwatch"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/sharebudget"
	"github.com/citronstream/citronstream/internal/observe/requests"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/stage/broker"
	"github.com/citronstream/citronstream/internal/stage/patience"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
	"github.com/go-logr/logr"
)

// Parts are what a flow works with.
type Parts struct {
	Zone string
	// RowLife is how long the platform lists an upstream after its last sign of life.
	RowLife time.Duration
	View    *view.View
	Pool    *conns.Pool
	Broker  *broker.Broker
	Engines *engines.Picker
	Budget  *sharebudget.Budget
	Holds   *poison.Holds
	Refused *comeback.Registry
	Deaths  *deathwatch.Watch
	// Observe is told of each request's end; it may be nil.
	Observe func(rq requests.Request)
}

// Flow serves requests.
type Flow struct {
	Parts
	clk      citronstream.Clock
	log      logr.Logger
	times    *times
	patience *patience.Patience // of the inputs of requests
	inFlight atomic.Int64
	leaving  atomic.Int64 // since when, in ns since 1970; 0 while the process stays
	finished context.Context
	finish   context.CancelFunc
	// abandoned ends when the process has no time left for its requests.
	abandoned context.Context
	abandon   context.CancelFunc
}

// New returns a flow.
func New(clk citronstream.Clock, log logr.Logger, pa Parts) *Flow {
	fl := &Flow{Parts: pa, clk: clk, log: log, times: newTimes(clk), patience: patience.New()}
	fl.finished, fl.finish = context.WithCancel(context.Background())
	fl.abandoned, fl.abandon = context.WithCancel(context.Background())
	return fl
}

// InFlight returns the number of requests that have been read and not answered.
func (fl *Flow) InFlight() int { return int(fl.inFlight.Load()) }

// acceptLast is how long a leaving process takes requests. Those that come
// later could not be finished within the grace period, and the platform sends
// new connections elsewhere by then.
const acceptLast = 3 * time.Second

// Leave makes each answer the last on its connection, and refuses requests after a while.
func (fl *Flow) Leave() { fl.leaving.Store(fl.clk.Now().UnixNano()) }

// Finish refuses the requests that still wait for their stages, before the
// process ends: they have not run, and their callers can go elsewhere.
func (fl *Flow) Finish() { fl.finish() }

// Abandon ends all requests: those without an answer get one that promises
// nothing, which tells their callers more than a connection that ends.
func (fl *Flow) Abandon() { fl.abandon() }

// closed reports whether the process has stopped to take requests.
func (fl *Flow) closed(now time.Time) bool {
	since := fl.leaving.Load()
	return since > 0 && now.UnixNano()-since > int64(acceptLast)
}

// errCallerGone is the cause of a context whose caller has left.
var errCallerGone = errors.New("the caller has left")

// ServeHTTP implements http.Handler.
func (fl *Flow) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	fl.inFlight.Add(1)
	defer fl.inFlight.Add(-1)
	if fl.leaving.Load() > 0 {
		wr.Header().Set("Connection", "close")
	}
	rt := &request{fl: fl, wr: wr, rq: rq, at: fl.clk.Now()}
	out := rt.serve()
	rt.record(out)
	if out.abort {
		panic(http.ErrAbortHandler) // the caller must see that the answer is cut
	}
}

// request is one request on its way.
type request struct {
	*citronstream.CallerRequest
	fl     *Flow
	wr     http.ResponseWriter
	rq     *http.Request
	body   []byte
	digest uint64

	routes    *view.Routes
	route     *citronstream.Route
	service   string // of the upstream that runs the request
	workspace string
	rank      int

	at     time.Time // arrival
	first  time.Time // arrival of the caller's first attempt, as far as known
	target time.Time // time by which the answer or its first event has its full value
	end    time.Time // time of the final answer

	stages   *stages
	tried    map[string]bool // IDs of the upstreams that were sent the request
	sends    int             // upstreams that were sent the request
	arrivals int             // the same, and others at their addresses
	last     *node.Node
	started  bool // the head of an answer was written to the caller
	// lastEvent is the identifier of the last event that the caller has.
	lastEvent int64
	stageEnd  time.Time
}

// outcome is how a request ended.
type outcome struct {
	status int
	reason string
	fault  *citronstream.Fault
	abort  bool // the answer was cut
}

// serve runs the request and writes its answer.
func (rt *request) serve() outcome {
	if out, ok := rt.admit(); !ok {
		return out
	}
	ctx, cancel := context.WithCancelCause(rt.rq.Context())
	defer cancel(nil)
	timer := rt.fl.clk.AfterFunc(rt.end.Sub(rt.at), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	stop := context.AfterFunc(rt.rq.Context(), func() { cancel(errCallerGone) })
	defer stop()
	left := context.AfterFunc(rt.fl.abandoned, func() { cancel(errFinished) })
	defer left()
	rt.stages = newStages(rt)
	defer rt.stages.release()
	if fa := rt.prepare(ctx); fa != nil {
		return rt.refuse(ctx, fa)
	}
	rt.stageEnd = rt.fl.clk.Now()
	return rt.forward(ctx)
}

// errFinished is the cause of stages that end with the process.
var errFinished = errors.New("this process is leaving")

// prepare makes the results that the request takes.
func (rt *request) prepare(ctx context.Context) *citronstream.Fault {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(rt.fl.finished, func() { cancel(errFinished) })
	defer stop()
	return rt.stages.run(ctx)
}

// left is the time to the final answer.
func (rt *request) left() time.Duration { return rt.end.Sub(rt.fl.clk.Now()) }

// gone reports whether the caller has left.
func gone(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errCallerGone) || errors.Is(context.Cause(ctx), context.Canceled)
}

// send builds the request for an upstream.
func (rt *request) send(no *node.Node, fo citronstream.ForwardOptions) *conns.Request {
	fo.Left, fo.Member, fo.Workspace = rt.left(), no.ID, rt.workspace
	return &conns.Request{
		Method: rt.rq.Method, Target: rt.rq.RequestURI, Host: rt.rq.Host,
		Header: platform.UpstreamHeader(rt.rq.Header, &fo), Body: rt.body, ID: rt.ID, Parse: platform.ParseAnswer,
	}
}
