// Package pipeline runs a caller's request: it runs the stages in their order, picks
// an upstream for each, and retries within the budget.
package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/entry/stagebody"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
	"github.com/citronstream/citronstream/internal/limit/throttle"
)

// Agents runs one attempt at an upstream.
type Agents interface {
	Run(ctx context.Context, upstream string, ca citronstream.Call, sink func([]byte)) citronstream.Result
}

// Owners finds the upstream that owns the slot of an idempotency key. Upstreams in
// exclude have answered that they do not own it.
type Owners interface {
	Owner(service, workspace, key string, exclude []string) (string, bool)
}

// Holds is the table of request contents that made upstreams crash.
type Holds interface {
	Held(digest uint64) (time.Time, bool)
	Suspect(digest uint64) bool
}

// Times estimates how long stages take.
type Times interface {
	// P50 returns the median time of a call.
	P50(service string, cost float64) time.Duration
	Observe(service string, cost float64, took time.Duration)
}

// Prefixes keeps hints about the prompt prefixes that upstreams have cached.
type Prefixes interface {
	// Blocks returns the hashes of the prompt's leading blocks, nil for a
	// service without prefix caches.
	Blocks(service string, body []byte) []uint64
	// Note records that an upstream was sent a prompt.
	Note(upstream string, blocks []uint64)
}

// Meter counts what a stage consumed.
type Meter interface {
	Count(ca *citronstream.Call, re *citronstream.Result)
}

// Request is a caller's request.
type Request struct {
	ID        string
	Workspace *citronstream.Workspace
	Rank      int
	Deadline  time.Duration // from now
	Body      []byte
	Key       string
	KeyGiven  bool
	Trace     string
	At        time.Time // arrival at this entry
}

// Outcome is the end of a request.
type Outcome struct {
	Status   int
	Body     []byte
	Usage    citronstream.Usage
	Upstream string
	Replayed bool
	Fault    *citronstream.Fault
}

// Counts are the counters of a Runner.
type Counts struct {
	Requests, Retries, Hedges, Resumed, Refused, NoRoute, Held atomic.Uint64
}

// Runner runs requests.
type Runner struct {
	clk          citronstream.Clock
	agents       Agents
	pickers      func(service string) citronstream.Picker
	owners       Owners
	holds        Holds
	times        Times
	meter        Meter
	budget       *retrybudget.Budget
	rec          citronstream.Recorder
	zone         string
	version      func() uint64
	refreshSlots func(service string)
	prefix       Prefixes
	throttle     *throttle.Throttle
	counts       Counts
}

// Option changes a Runner.
type Option func(*Runner)

// WithOwners sets the source of the owners of keys.
func WithOwners(ow Owners) Option { return func(ru *Runner) { ru.owners = ow } }

// WithHolds sets the table of request contents that made upstreams crash.
func WithHolds(ho Holds) Option { return func(ru *Runner) { ru.holds = ho } }

// WithTimes sets the estimator of stage times.
func WithTimes(ti Times) Option { return func(ru *Runner) { ru.times = ti } }

// WithMeter sets the meter of what stages consume.
func WithMeter(me Meter) Option { return func(ru *Runner) { ru.meter = me } }

// WithRecorder sets the recorder of timeline events.
func WithRecorder(rec citronstream.Recorder) Option { return func(ru *Runner) { ru.rec = rec } }

// WithThrottle sets the throttle, which rejects requests of a kind that is being
// refused by the upstreams.
func WithThrottle(th *throttle.Throttle) Option { return func(ru *Runner) { ru.throttle = th } }

// WithRefreshSlots sets a function that tells a service's agents that a slot has no owner.
func WithRefreshSlots(poke func(service string)) Option {
	return func(ru *Runner) { ru.refreshSlots = poke }
}

// WithPrefixes sets the prefix-cache hints.
func WithPrefixes(pr Prefixes) Option { return func(ru *Runner) { ru.prefix = pr } }

// WithVersion sets the source of the configuration version.
func WithVersion(version func() uint64) Option { return func(ru *Runner) { ru.version = version } }

// New returns a Runner for an entry in the zone.
func New(clk citronstream.Clock, zone string, agents Agents, pickers func(service string) citronstream.Picker,
	budget *retrybudget.Budget, opts ...Option,
) *Runner {
	ru := &Runner{
		clk: clk, zone: zone, agents: agents, pickers: pickers, budget: budget,
		version: func() uint64 { return 0 },
	}
	for _, opt := range opts {
		opt(ru)
	}
	return ru
}

// Counts returns the counters.
func (ru *Runner) Counts() *Counts { return &ru.counts }

// Pipeline runs all stages. Sink receives the parts of the last stage's
// answer if that stage streams; it must not block.
func (ru *Runner) Pipeline(ctx context.Context, ca *catalog.Catalog, name string, rq Request, bu *stagebody.Builder, sink func([]byte)) Outcome {
	pi, after := ca.Pipeline(name)
	if pi == nil {
		return refused(citronstream.NotRun, citronstream.CodeNotFound, "no pipeline %q", name)
	}
	ru.counts.Requests.Add(1)
	ctx, cancel := ru.deadline(ctx, rq.Deadline)
	defer cancel()
	ex := &execution{
		ru: ru, ca: ca, pi: pi, rq: rq, bu: bu, sink: sink, budget: ru.budget.Request(),
		deadline: ru.clk.Now().Add(rq.Deadline), results: make([]Outcome, len(pi.Stages)), done: make([]chan struct{}, len(pi.Stages)),
	}
	ex.estimate()
	if ex.remaining[0] > rq.Deadline {
		return ru.refuse(ca, pi, &rq, "the stages take longer than the deadline")
	}
	kind := throttle.Kind{Workspace: rq.Workspace.Name, Rank: rq.Rank, Target: name}
	if ru.throttle != nil && !ru.throttle.Admit(kind) {
		return ru.refuse(ca, pi, &rq, "requests of this kind are being refused")
	}
	ex.run(ctx, cancel, after)
	out := ex.outcome()
	if ru.throttle != nil {
		ru.throttle.Ended(kind, out.Fault != nil && (out.Fault.Code == citronstream.CodeOverloaded || out.Fault.Code == citronstream.CodeDeadline))
	}
	return out
}

// refusalRetryAfter is the time after which a refused caller is asked to try again.
const refusalRetryAfter = time.Second

// refuse answers a request before any stage has run. An earlier request with
// the caller's key may have run a stage that must not be repeated.
func (ru *Runner) refuse(ca *catalog.Catalog, pi *citronstream.Pipeline, rq *Request, text string) Outcome {
	ru.counts.Refused.Add(1)
	out := refused(citronstream.NotRun, citronstream.CodeOverloaded, "%s", text)
	out.Fault.RetryAfter = refusalRetryAfter
	for _, st := range pi.Stages {
		if rq.KeyGiven && !ca.Call(st.Service, st.Call).Idempotent {
			out.Fault.Verdict = citronstream.MayHaveRun
		}
	}
	return out
}

// Service runs one call of a service.
func (ru *Runner) Service(ctx context.Context, ca *catalog.Catalog, service, call string, rq Request) Outcome {
	sc := ca.Call(service, call)
	if sc == nil {
		return refused(citronstream.NotRun, citronstream.CodeNotFound, "no call %q of service %q", call, service)
	}
	ru.counts.Requests.Add(1)
	ctx, cancel := ru.deadline(ctx, rq.Deadline)
	defer cancel()
	att := &attempts{ru: ru, budget: ru.budget.Request(), deadline: ru.clk.Now().Add(rq.Deadline)}
	one := citronstream.Call{
		RequestID: rq.ID, Workspace: rq.Workspace.Name, Owner: rq.Workspace.Owner, Rank: rq.Rank, Service: service, Call: call,
		Path: sc.Path, Idempotent: sc.Idempotent, Key: rq.Key, KeyGiven: rq.KeyGiven, Body: rq.Body,
		Digest: citronstream.Digest(rq.Body), Trace: rq.Trace, RequestAt: rq.At,
	}
	estimateCost(&one, sc, 0)
	return att.run(ctx, one, nil)
}

func (ru *Runner) deadline(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := ru.clk.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

func refused(ve citronstream.Verdict, code citronstream.Code, format string, args ...any) Outcome {
	return Outcome{Fault: citronstream.NewFault(ve, code, format, args...)}
}

// cost returns the cost units of a call without its tokens; a call without a figure counts as 1.
func cost(sc *citronstream.ServiceCall) float64 {
	if sc.Cost > 0 {
		return sc.Cost
	}
	return 1
}

// bytesPerToken is the typical size of a token of text.
const bytesPerToken = 4

// estimateCost sets a call's estimated cost. MaxTokens bounds the tokens of
// the answer.
func estimateCost(ca *citronstream.Call, sc *citronstream.ServiceCall, maxTokens int) {
	ca.Cost = cost(sc)
	if sc.CostPer1KTokens > 0 {
		ca.CostPerToken = sc.CostPer1KTokens / 1000
		ca.TokensExpected = len(ca.Body)/bytesPerToken + maxTokens
		ca.Cost += ca.CostPerToken * float64(ca.TokensExpected)
	}
}
