// Package flow processes callers' requests: it computes the results of their
// stages, forwards them to an upstream and relays its response.
package flow

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/limit/bodybudget"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/citronstream/citronstream/internal/limit/coldrate"
	"github.com/citronstream/citronstream/internal/limit/deathdetect"
	"github.com/citronstream/citronstream/internal/limit/firstattempt"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/limit/servicefloor"
	"github.com/citronstream/citronstream/internal/limit/siteretrybudget"
	"github.com/citronstream/citronstream/internal/observe/requests"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/route/regions"
	"github.com/citronstream/citronstream/internal/route/zoneramp"
	"github.com/citronstream/citronstream/internal/stage/broker"
	"github.com/citronstream/citronstream/internal/stage/fetchtime"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
	"github.com/go-logr/logr"
)

// Dependencies are the components that a Flow uses.
type Dependencies struct {
	Zone string
	// Zones has the regions of the zones, for requests that are restricted to some.
	Zones regions.Zones
	// ListingTTL is how long the platform still lists an upstream after it was last
	// seen.
	ListingTTL time.Duration
	View       *view.View
	Pool       *conns.Pool
	Broker     *broker.Broker
	Engines    *engines.Picker
	Budget     *siteretrybudget.Budget
	Holds      *poison.Holds
	Parts      *partquarantine.Quarantine
	Refused    *firstattempt.Registry
	Deaths     *deathdetect.Detector
	// Cold bounds the requests to cold upstreams; nil if none is cold.
	Cold *coldrate.Limiter
	// Ramp moves the requests of evacuated zones within some time; nil moves them at once.
	Ramp *zoneramp.Ramp
	// Parse returns the function that parses the heads of an upstream's responses; it may
	// be nil.
	Parse func(nd *node.Node) func(status int, header http.Header) citronstream.AnswerHead
	// Suspended returns for how long the instance has been suspended; it may be nil. That
	// time does not count for timers, but it does for callers.
	Suspended func() time.Duration
	// Pass waits while what the process knows may be out of date, as it was paused; it
	// may be nil.
	Pass func(ctx context.Context)
	// Memory accounts what callers hold; nil bounds neither that nor the times below.
	Memory *callermemory.Account
	// BodyStall is the longest time in which a body may bring almost nothing, ReadStall
	// that in which a caller may read almost nothing of its answer.
	BodyStall, ReadStall time.Duration
	// MaxUpstream bounds the connections to upstreams that are in use; 0 for no bound.
	MaxUpstream int
	// ConnectionLimit returns how many connections to a plain upstream this process may use;
	// nil for no bound.
	ConnectionLimit func(spec *citronstream.ServiceSpec, nd *node.Node) int
	// OnLimit is called when a limit on bodies takes effect; it may be nil.
	OnLimit func(limit string)
	// Observe is called at the end of each request; it may be nil.
	Observe func(rq requests.Request)
}

// Flow serves requests.
type Flow struct {
	Dependencies
	clk          citronstream.Clock
	log          logr.Logger
	latencies    *latencies
	floor        *servicefloor.Floor
	waits        connWaits
	bodies       *bodybudget.Budget
	fetchTimes   *fetchtime.Estimator // of the final results that requests take
	inFlight     atomic.Int64
	connected    atomic.Int64 // connections to upstreams in use
	panics       atomic.Uint64
	began        time.Time
	leaving      atomic.Int64 // when Leave was called, in ns after began; 0 before
	graceEnd     atomic.Int64 // when CancelRequests will be called, in ns after began; set before leaving
	stagesCtx    context.Context
	cancelStages context.CancelFunc
	// requestsCtx is canceled by CancelRequests.
	requestsCtx    context.Context
	cancelRequests context.CancelFunc
}

// New returns a Flow.
func New(clk citronstream.Clock, log logr.Logger, pa Dependencies) *Flow {
	if pa.Suspended == nil {
		pa.Suspended = func() time.Duration { return 0 }
	}
	if pa.Cold == nil {
		pa.Cold = coldrate.New(clk, "", func(string) citronstream.ServiceSpec { return citronstream.ServiceSpec{} })
	}
	if pa.Ramp == nil {
		pa.Ramp = zoneramp.New(clk, 0)
	}
	if pa.Parse == nil {
		pa.Parse = func(*node.Node) func(int, http.Header) citronstream.AnswerHead { return platform.ParseAnswer }
	}
	if pa.Pass == nil {
		pa.Pass = func(context.Context) {}
	}
	if pa.OnLimit == nil {
		pa.OnLimit = func(string) {}
	}
	fl := &Flow{Dependencies: pa, clk: clk, began: clk.Now(), log: log, latencies: newLatencies(clk), floor: servicefloor.New(clk), bodies: bodybudget.New(bodybudget.WithMemory(pa.Memory)), fetchTimes: fetchtime.New()}
	fl.stagesCtx, fl.cancelStages = context.WithCancel(context.Background())
	fl.requestsCtx, fl.cancelRequests = context.WithCancel(context.Background())
	return fl
}

// InFlight returns the number of requests without a complete response.
func (fl *Flow) InFlight() int { return int(fl.inFlight.Load()) }

// Panics returns the number of requests that ended by a panic.
func (fl *Flow) Panics() uint64 { return fl.panics.Load() }

// CancelStages cancels the stages of all requests before the process ends. These
// requests are answered as not run, so that their callers can go elsewhere.
func (fl *Flow) CancelStages() { fl.cancelStages() }

// CancelRequests cancels all requests. Those without a response get one that leaves
// open whether they ran, which tells their callers more than a closed
// connection.
func (fl *Flow) CancelRequests() { fl.cancelRequests() }

// errCallerDisconnected is the cause of a context whose caller has disconnected.
var errCallerDisconnected = errors.New("the caller has disconnected")

// ServeHTTP implements http.Handler.
func (fl *Flow) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	fl.inFlight.Add(1)
	defer fl.inFlight.Add(-1)
	if fl.leaving.Load() > 0 {
		wr.Header().Set("Connection", "close")
	}
	rt := &request{CallerRequest: &citronstream.CallerRequest{}, fl: fl, wr: wr, rq: rq, bodies: fl.bodies.Open(), memory: fl.Memory.Open(), at: fl.clk.Now(), suspended: fl.Suspended(), stay: rand.Float64()}
	defer rt.bodies.Close()
	defer rt.memory.Close()
	out := rt.serveSafely()
	rt.record(out)
	if out.abort {
		rt.abort()
	}
}

// request is the state of one caller's request.
type request struct {
	*citronstream.CallerRequest
	fl     *Flow
	wr     http.ResponseWriter
	rq     *http.Request
	body   [][]byte
	bodies *bodybudget.Account // of the answers
	memory *callermemory.Holder
	// aborted is true when the body was told to give up.
	aborted atomic.Bool
	digest  uint64

	routes    *view.Routes
	route     *citronstream.Route
	service   string // that runs the request itself, after its stages
	workspace string
	regions   regions.Set // in which it may run and its body may be sent
	rank      int
	raised    bool // its kind is hardly served, so that it is taken for urgent

	at time.Time // arrival
	// suspended is the time for which the instance had been suspended at the arrival.
	suspended time.Duration
	first     time.Time // arrival of the caller's first attempt, if known
	// returned says that the caller was refused before and came back as told.
	returned bool
	// readTime is how long an engine takes to read the prompt; 0 for other upstreams.
	readTime time.Duration
	target   time.Time // time by which the response or its first event is due for full value
	end      time.Time // deadline of the response

	// visit is the request's part in the search for prompt parts that crash upstreams.
	visit *partquarantine.Visit

	stages     *stages
	tried      map[string]bool // IDs of the upstreams that were tried
	visited    map[string]bool // their addresses
	sends      int             // attempts that reached the chosen upstream
	deliveries int             // sends, and attempts answered by another upstream at the address
	stay       float64         // uses an evacuated zone while its share of the requests is greater
	turn       bool            // it is its turn to get a permit for a cold upstream
	connTurn   bool            // it is its turn to get a connection to a plain upstream
	unreached  int             // attempts that reached no upstream
	nextRetry  time.Time       // when the repeat in hand was taken from the retry budget; zero for none
	noRetry    string          // why no other upstream was tried; empty if it did not matter
	// checked is closed when the upstream whose connection broke last was probed; nil for none.
	checked  <-chan struct{}
	worst    *citronstream.Fault // that tells most about whether the request may have run
	fallback *response           // 5xx response of an upstream, used if no better one arrives
	last     *node.Node
	started  bool // the response header was written
	// lastEvent is the ID of the last event written to the caller.
	lastEvent  int64
	sparse     bool // the identifiers of its events do not rise by one
	unplaced   bool // an event without an identifier came after it, so that no upstream can go on there
	stageEnd   time.Time
	firstEvent time.Time
}

// outcome is how a request ended.
type outcome struct {
	status int
	reason string
	fault  *citronstream.Fault
	abort  bool // the response is incomplete
}

// callerLeft is the reason of requests whose caller disconnected.
const callerLeft = "caller left"

// ranks returns the rank of the request in queues and that of its route.
func (rt *request) ranks() (rank, routeRank int) {
	if rt.raised {
		return 0, 0
	}
	return rt.rank, rt.route.Rank
}

// urgency returns both ranks in one number, 0 for the most urgent.
func (rt *request) urgency() int {
	rank, routeRank := rt.ranks()
	return rank*citronstream.Ranks + min(routeRank, citronstream.Ranks-1)
}

// serve runs the request and writes its response.
func (rt *request) serve() outcome {
	defer func() {
		if rt.visit != nil {
			rt.visit.Leave()
		}
	}()
	out, ok := rt.admit()
	if !ok {
		return out
	}
	ctx, cancel := context.WithCancelCause(rt.rq.Context())
	defer cancel(nil)
	timer := rt.fl.clk.AfterFunc(rt.end.Sub(rt.fl.clk.Now()), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	stop := context.AfterFunc(rt.rq.Context(), func() { cancel(errCallerDisconnected) })
	defer stop()
	left := context.AfterFunc(rt.fl.requestsCtx, func() { cancel(errShutdown) })
	defer left()
	rt.estimateReadTime()
	rt.stages = newStages(rt)
	defer rt.stages.releaseAll()
	if fa := rt.checkRegions(); fa != nil {
		return rt.respondFault(ctx, fa)
	}
	if rt.outlivesGrace(func() time.Duration { return rt.stages.estimate(false) }) {
		return rt.refuseLeaving("the request would outlive this process")
	}
	if fa := rt.runStages(ctx); fa != nil {
		return rt.respondFault(ctx, fa)
	}
	rt.stageEnd = rt.fl.clk.Now()
	if rt.outlivesGrace(func() time.Duration { return rt.fl.latencies.expected(rt.route.Name, rt.readTime) }) {
		return rt.refuseLeaving("the stages ended too late for the rest to end before this process")
	}
	return rt.forward(ctx)
}

// errShutdown is the cause of contexts canceled by CancelStages or CancelRequests.
var errShutdown = errors.New("this process is shutting down")

// runStages computes the results that the request takes.
func (rt *request) runStages(ctx context.Context) *citronstream.Fault {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(rt.fl.stagesCtx, func() { cancel(errShutdown) })
	defer stop()
	return rt.stages.run(ctx)
}

// timeLeft returns the time to the deadline of the response or to the end of the process.
func (rt *request) timeLeft() time.Duration {
	left := rt.deadlineLeft()
	if grace, leaving := rt.fl.graceLeft(); leaving {
		left = min(left, grace)
	}
	return left
}

// deadlineLeft returns the time to the deadline of the response.
func (rt *request) deadlineLeft() time.Duration {
	return rt.end.Sub(rt.fl.clk.Now()) - (rt.fl.Suspended() - rt.suspended)
}

// timeAfterFirstEvent returns how long a response of the request's route takes at least
// from its first event to its end, 0 once it has begun.
func (rt *request) timeAfterFirstEvent() time.Duration {
	if !rt.route.Stream || rt.started {
		return 0
	}
	return rt.fl.latencies.rest(rt.route.Name)
}

// callerDisconnected reports whether ctx ended because the caller disconnected.
func callerDisconnected(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errCallerDisconnected) || errors.Is(context.Cause(ctx), context.Canceled)
}

// upstreamRequest builds the request for an attempt.
func (rt *request) upstreamRequest(at *attempt, fo citronstream.ForwardOptions) *conns.Request {
	fo.Left, fo.Member, fo.Workspace = rt.timeLeft(), at.nd.ID, rt.workspace
	written := func() {
		at.permit.Sent()
		if at.written != nil {
			at.written()
		}
	}
	return &conns.Request{
		Method: rt.rq.Method, Target: rt.rq.RequestURI, Host: rt.rq.Host, Written: written,
		Header: platform.UpstreamHeader(rt.rq.Header, &fo), Body: rt.body, ID: rt.ID, Fresh: at.fresh, Parse: rt.fl.Parse(at.nd),
	}
}
