package flow

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/route/engines"
	"github.com/citronstream/citronstream/internal/route/spread"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
)

const (
	// maxUnreached is the most upstreams tried that could not be reached. They count as no attempt.
	maxUnreached = 4
	// silentFactor times the target is how long an answer may take before
	// another upstream is asked, for requests that may run twice.
	silentFactor = 3
	// firstFactor times the usual time to a first event, and firstExtra, are
	// the same for a stream. A long prompt takes several times the usual one.
	firstFactor = 4
	firstExtra  = time.Second
	// maxBody bounds an answer that is kept until it is complete.
	maxBody = 8 << 20
)

// result is the end of one attempt.
type result struct {
	done    bool // the caller has the answer, or its part of one
	out     outcome
	fault   *citronstream.Fault
	reached bool  // the upstream was handed the request
	strayed bool  // another upstream was, and did not run it
	gone    bool  // an input was gone
	kept    *kept // the upstream's own failure, for the case that no better answer comes
}

// kept is a complete answer that was not passed on.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to upstreams until one has answered.
func (rt *request) forward(ctx context.Context) outcome {
	rt.tried = make(map[string]bool)
	rt.fl.Budget.First(rt.service)
	worst := citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "no upstream of service %s is known", rt.service)
	var fallback *kept
	for unreached := 0; unreached < maxUnreached; {
		if rt.arrivals > 0 && !rt.again() {
			break
		}
		no, demand := rt.pick()
		if no == nil {
			break
		}
		re := rt.attempt(ctx, no, demand)
		if re.done {
			return re.out
		}
		rt.tried[no.ID] = true
		if re.reached || re.strayed {
			rt.arrivals++
		}
		if re.reached {
			rt.sends++
		} else {
			unreached++
		}
		if re.kept != nil {
			fallback = re.kept
		}
		if re.fault != nil && (worst.Verdict == citronstream.NotRun || re.fault.Verdict != citronstream.NotRun) {
			worst = re.fault
		}
		if ctx.Err() != nil || re.fault.Verdict != citronstream.NotRun && !rt.route.Repeat.Idempotent() {
			break
		}
		if re.gone {
			if fa := rt.refresh(ctx); fa != nil {
				return rt.refuse(ctx, fa)
			}
		}
	}
	if fallback != nil && !rt.started && ctx.Err() == nil {
		return rt.pass(fallback, "upstream failed")
	}
	return rt.refuse(ctx, worst)
}

// again reports whether the request may be sent to one more upstream.
func (rt *request) again() bool {
	return rt.sends < rt.route.Attempts && rt.fl.Budget.Take(rt.service, 1) == 1
}

// refresh makes inputs again that were gone.
func (rt *request) refresh(ctx context.Context) *citronstream.Fault {
	rt.stages.repair.Lock()
	defer rt.stages.repair.Unlock()
	return rt.stages.remake(ctx, rt.stages.finals())
}

// prefer returns the engine that the request would get if its stages were done,
// nil for other services. Needs is the time that they still take.
func (rt *request) prefer(needs time.Duration) *node.Node {
	if !rt.routes.Services[rt.service].Engine {
		return nil
	}
	demand := rt.demand(nil)
	demand.Slack -= needs
	return rt.fl.Engines.Prefer(rt.fl.View.Members().Service(rt.service), demand)
}

// pick chooses an upstream. An engine is counted, which attempt ends.
func (rt *request) pick() (*node.Node, *engines.Request) {
	nodes := rt.fl.View.Members().Service(rt.service)
	if rt.routes.Services[rt.service].Engine {
		demand := rt.demand(rt.tried)
		if no := rt.fl.Engines.Pick(nodes, demand); no != nil {
			return no, &demand
		}
		return rt.any(nodes), nil
	}
	if no := spread.Pick(nodes, rt.fl.Zone, rt.tried, rt.fl.clk.Now()); no != nil {
		return no, nil
	}
	return rt.any(nodes), nil
}

// any returns an upstream that was not tried, also one that seems broken.
func (rt *request) any(nodes []*node.Node) *node.Node {
	var left []*node.Node
	for _, no := range nodes {
		if !rt.tried[no.ID] {
			left = append(left, no)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left[rand.IntN(len(left))]
}

// attempt sends the request to one upstream and passes its answer on.
func (rt *request) attempt(ctx context.Context, no *node.Node, demand *engines.Request) result {
	rt.last = no
	no.Begin()
	defer no.End()
	begun := false
	if demand != nil {
		defer func() { rt.fl.Engines.End(no, *demand, begun) }()
	}
	fo := citronstream.ForwardOptions{Priority: -1}
	if demand != nil {
		fo.Priority = rt.rank
	}
	if rt.started {
		fo.LastEvent = strconv.FormatInt(rt.lastEvent, 10)
	}
	var fa *citronstream.Fault
	if fo.Inputs, fa = rt.stages.inputs(ctx); fa != nil {
		return result{fault: fa}
	}
	given := rt.giveUpEarly(no, demand)
	defer given()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := rt.limit(cancel)
	defer silence.Stop()
	sent := rt.fl.clk.Now()
	an, err := rt.fl.Pool.Send(ctx, no.Address, rt.send(no, fo))
	if err != nil {
		return rt.broken(ctx, no, citronstream.FaultOf(err))
	}
	defer an.Close()
	re, ok := rt.judge(no, an)
	if given() {
		rt.fl.patience.Learn(re.gone)
	}
	if !ok {
		return re
	}
	if rt.route.Stream && an.Status < http.StatusMultipleChoices {
		return rt.stream(ctx, no, an, silence, func() {
			begun = true
			took := rt.fl.clk.Since(sent)
			rt.fl.times.began(rt.route.Name, took)
			if demand != nil {
				rt.fl.Engines.First(no, *demand)
			}
		})
	}
	return rt.whole(ctx, no, an, sent)
}

// engineShare is the part of an engine's places up to which a request is taken
// to be admitted as it comes, so that its inputs are read at once.
const engineShare = 0.5

// giveUpEarly releases the inputs of a request once its engine had time to read
// them. The function that it returns ends that, and reports whether they were released.
func (rt *request) giveUpEarly(no *node.Node, demand *engines.Request) func() bool {
	bytes, rate := rt.stages.finalBytes()
	wait := rt.fl.patience.Time(bytes, rate)
	if demand == nil || wait == 0 || float64(rt.fl.Engines.Running(no)) > engineShare*float64(no.Slots) {
		return func() bool { return false }
	}
	timer := rt.fl.clk.AfterFunc(wait, rt.stages.release)
	stopped, released := false, false
	return func() bool {
		if !stopped {
			stopped, released = true, !timer.Stop()
		}
		return released
	}
}

// errSilent is the cause of an attempt that gave no sign for too long.
var errSilent = errors.New("the upstream is silent")

// limit bounds the silence of an upstream where another one may be asked.
func (rt *request) limit(cancel context.CancelCauseFunc) *silence {
	si := &silence{cancel: cancel}
	if !rt.route.Repeat.Idempotent() || rt.sends+1 >= rt.route.Attempts {
		return si
	}
	wait := silentFactor * rt.route.Target
	if rt.route.Stream {
		wait = firstFactor*rt.fl.times.expected(rt.route.Name) + firstExtra
		si.gap = max(gapFactor*rt.route.MaxGap, minGap)
	}
	si.timer = rt.fl.clk.AfterFunc(wait, func() { cancel(errSilent) })
	return si
}

// silence cancels an attempt that gives no sign for too long.
type silence struct {
	cancel context.CancelCauseFunc
	timer  interface {
		Stop() bool
		Reset(d time.Duration) bool
	}
	gap time.Duration
}

// Stop ends the watch.
func (si *silence) Stop() {
	if si.timer != nil {
		si.timer.Stop()
	}
}

// event notes an event of a stream.
func (si *silence) event() {
	if si.timer != nil && si.gap > 0 {
		si.timer.Reset(si.gap)
	}
}

// broken judges an attempt without a complete answer.
func (rt *request) broken(ctx context.Context, no *node.Node, fa *citronstream.Fault) result {
	now := rt.fl.clk.Now()
	re := result{fault: fa, reached: fa.Verdict != citronstream.NotRun}
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		no.Broke(now)
		re.fault = citronstream.NewFault(fa.Verdict, citronstream.CodeUpstreamFailed, "upstream %s is silent", no.ID)
	case ctx.Err() != nil:
		// The caller left or its time passed; that says nothing of the upstream.
	default:
		no.Broke(now)
		rt.fl.Pool.Drop(no.Address)
		if re.reached {
			rt.fl.Deaths.Broke(no, rt.digest)
		}
	}
	if !gone(ctx) {
		rt.fl.log.Info("attempt failed", "request", rt.ID, "upstream", no.ID, "listed", no.Revision, "verdict", re.fault.Verdict.String(), "cause", re.fault.Text, "sends", rt.sends)
	}
	return re
}

// judge looks at the head of an answer. False means that it can't be passed on.
func (rt *request) judge(no *node.Node, an *conns.Answer) (result, bool) {
	switch {
	case an.Head.Refused:
		_, _ = io.Copy(io.Discard, io.LimitReader(an, maxBody)) // only to keep the connection
		strayed := an.Status == http.StatusMisdirectedRequest
		re := result{reached: !strayed, strayed: strayed, gone: an.Status == http.StatusConflict}
		re.fault = citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "upstream %s refused with status %d", no.ID, an.Status)
		if strayed {
			no.Dead(rt.fl.clk.Now(), rt.fl.RowLife)
			rt.fl.Pool.Drop(no.Address)
		}
		rt.fl.log.Info("attempt refused", "request", rt.ID, "upstream", no.ID, "listed", no.Revision, "status", an.Status, "sends", rt.sends)
		return re, false
	case promises(an.Status):
		return rt.spoiled(no, "a status that promises without the mark of a refusal"), false
	case an.Head.Encoded:
		return rt.spoiled(no, "an encoded body"), false
	case an.Head.RequestID != "" && an.Head.RequestID != rt.ID:
		return rt.spoiled(no, "the answer to another request"), false
	case an.Status < http.StatusMultipleChoices && (!an.Head.Signed || an.Head.RequestID != rt.ID):
		return rt.spoiled(no, "no signature"), false
	}
	return result{}, true
}

// promises reports whether a status says that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// spoiled is an answer that isn't the upstream's to this request.
func (rt *request) spoiled(no *node.Node, why string) result {
	no.Failed()
	rt.fl.log.Info("answer spoiled", "request", rt.ID, "upstream", no.ID, "reason", why, "sends", rt.sends)
	return result{reached: true, fault: citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamFailed, "upstream %s: %s", no.ID, why)}
}

// whole keeps an answer until it is complete and passes it on.
func (rt *request) whole(ctx context.Context, no *node.Node, an *conns.Answer, sent time.Time) result {
	body, err := io.ReadAll(io.LimitReader(an, maxBody+1))
	if err != nil {
		return rt.broken(ctx, no, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "the answer was cut: %v", err))
	}
	if len(body) > maxBody {
		return rt.spoiled(no, "the answer is too long")
	}
	ke := &kept{status: an.Status, header: platform.AnswerHeader(an.Header), body: body}
	if an.Status >= http.StatusInternalServerError {
		no.Failed()
		if rt.route.Repeat.Idempotent() {
			return result{reached: true, kept: ke, fault: citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "upstream %s answered %d", no.ID, an.Status)}
		}
		return result{done: true, out: rt.pass(ke, "upstream failed")}
	}
	took := rt.fl.clk.Since(sent)
	no.Done(float64(took) / float64(max(rt.fl.times.expected(rt.route.Name), time.Millisecond)))
	rt.fl.times.began(rt.route.Name, took)
	rt.fl.Holds.Finished(rt.digest)
	return result{done: true, out: rt.pass(ke, "served")}
}

// pass writes a complete answer to the caller.
func (rt *request) pass(ke *kept, reason string) outcome {
	header := rt.wr.Header()
	for name, values := range ke.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(ke.body)))
	rt.started = true
	rt.wr.WriteHeader(ke.status)
	if _, err := rt.wr.Write(ke.body); err != nil {
		return outcome{status: ke.status, reason: "caller left", abort: true}
	}
	return outcome{status: ke.status, reason: reason}
}
