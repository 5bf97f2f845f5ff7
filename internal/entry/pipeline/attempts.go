package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
)

// attempts runs one call, with retries within the request's budget.
type attempts struct {
	ru      *Runner
	budget  *retrybudget.Request
	end     time.Time // the deadline of this call
	exclude []string
	output  []byte // output that the caller already has
	blocks  []uint64
}

// run makes attempts until one succeeds, the failure is final, or the budget is spent.
func (at *attempts) run(ctx context.Context, ca citronstream.Call, sink func([]byte)) Outcome {
	if at.ru.holds != nil {
		if until, held := at.ru.holds.Held(ca.Digest); held {
			at.ru.counts.Held.Add(1)
			out := refused(citronstream.NotRun, citronstream.CodeQuarantined, "this content killed upstreams and is held")
			out.Fault.RetryAfter = until.Sub(at.ru.clk.Now())
			return out
		}
		ca.Suspect = at.ru.holds.Suspect(ca.Digest)
	}
	if at.ru.prefix != nil {
		at.blocks = at.ru.prefix.Blocks(ca.Service, ca.Body)
	}
	ca.Version = at.ru.version()
	ran := false // an attempt before the last may have run
	for try := 1; ; try++ {
		re := at.once(ctx, &ca, sink)
		if re.Fault == nil {
			return at.success(&ca, re)
		}
		ran = ran || re.Fault.Verdict != citronstream.NotRun
		if !retryable(&ca, &re) || !at.again(ctx, re, try) {
			return at.failure(&ca, re, ran)
		}
		// An upstream that has not loaded the model says so in its load report,
		// which keeps it from being picked; it may be the only one soon.
		if re.Upstream != "" && re.Fault.Code != citronstream.CodeNotReady && (ca.Idempotent || re.Fault.Code == citronstream.CodeNotOwner) {
			at.exclude = append(at.exclude, re.Upstream)
		}
		if len(at.output) > 0 {
			at.ru.counts.Resumed.Add(1)
			ca.Prefix, ca.ResumeFrom = string(at.output), len(at.output)
		}
	}
}

// once makes one attempt.
func (at *attempts) once(ctx context.Context, ca *citronstream.Call, sink func([]byte)) citronstream.Result {
	ru := at.ru
	picker := ru.pickers(ca.Service)
	if picker == nil {
		return noRoute(ca)
	}
	upstream, ok := at.route(ctx, picker, ca)
	if !ok {
		ru.counts.NoRoute.Add(1)
		return noRoute(ca)
	}
	if at.hedgeable(ca) {
		return at.hedged(ctx, ca, picker, upstream)
	}
	return at.send(ctx, ca, picker, upstream, func(data []byte) {
		at.output = append(at.output, data...)
		if sink != nil {
			sink(data)
		}
	})
}

// send sends the call to an upstream under a new attempt identifier.
func (at *attempts) send(ctx context.Context, ca *citronstream.Call, picker citronstream.Picker, upstream string, sink func([]byte)) citronstream.Result {
	ru := at.ru
	ca.AttemptID = citronstream.NewID()
	ca.SentAt = ru.clk.Now()
	ca.Left = at.end.Sub(ca.SentAt)
	if ca.Left <= 0 {
		return unasked(ca, citronstream.CodeDeadline, "no time is left for "+ca.Service)
	}
	ru.event(ca, "AttemptSent", upstream, nil)
	picker.Sent(upstream, ca.Rank, ca.Cost)
	if len(at.blocks) > 0 {
		ru.prefix.Note(upstream, at.blocks)
	}
	re := ru.agents.Run(ctx, upstream, *ca, sink)
	took := ru.clk.Now().Sub(ca.SentAt)
	picker.Ended(upstream, ca.Rank, ca.Cost, took, faultError(re.Fault))
	ru.event(ca, "AttemptEnded", upstream, &re)
	if re.Fault == nil && ru.times != nil && !re.Replayed {
		// Without the time in the queue: a flood of one rank must not raise the estimates of the others.
		ru.times.Observe(ca.Service, ca.Cost, took-re.Queued)
	}
	if ru.meter != nil && !re.Replayed {
		ru.meter.Count(ca, &re)
	}
	return re
}

// routePoll is how often a call without an upstream looks for one.
const routePoll = 20 * time.Millisecond

// routeReserve is the time before the deadline at which a call gives up waiting.
const routeReserve = 200 * time.Millisecond

// route picks an upstream, and waits for one while the deadline allows: a
// restarted upstream or a slot that passes on is back within a second or two.
// Waiting sends nothing, so it takes none of the retry budget.
func (at *attempts) route(ctx context.Context, picker citronstream.Picker, ca *citronstream.Call) (string, bool) {
	ru := at.ru
	for {
		if upstream, ok := at.pick(picker, ca); ok {
			return upstream, true
		}
		if at.end.Sub(ru.clk.Now()) < routeReserve || (len(at.exclude) > 0 && ca.Idempotent) {
			return "", false
		}
		if !ca.Idempotent && ru.poke != nil {
			ru.poke(ca.Service)
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-ru.clk.After(routePoll):
		}
	}
}

// pick asks the policy, or the owner of the key for a call that must not be repeated.
func (at *attempts) pick(picker citronstream.Picker, ca *citronstream.Call) (string, bool) {
	if !ca.Idempotent && at.ru.owners != nil {
		return at.ru.owners.Owner(ca.Service, ca.Workspace, ca.Key, at.exclude)
	}
	return picker.Pick(at.request(ca))
}

func (at *attempts) request(ca *citronstream.Call) citronstream.PickRequest {
	return citronstream.PickRequest{
		Service: ca.Service, Zone: at.ru.zone, Model: ca.Model, Rank: ca.Rank, Cost: ca.Cost, Exclude: at.exclude, Suspect: ca.Suspect,
		Blocks: at.blocks,
	}
}

// again spends the budget and waits before the next attempt. A refusal by an
// upstream that leaves is free: it adds no load, and a drain must not fail a
// request because others have spent the budget.
func (at *attempts) again(ctx context.Context, re citronstream.Result, try int) bool {
	if re.Fault.Code == citronstream.CodeLeaving && re.Fault.Verdict == citronstream.NotRun {
		return ctx.Err() == nil
	}
	wait := at.ru.budget.Backoff(try)
	if at.ru.clk.Now().Add(wait).After(at.end) || ctx.Err() != nil || !at.budget.TakeExtra() {
		return false
	}
	at.ru.counts.Retries.Add(1)
	select {
	case <-ctx.Done():
		return false
	case <-at.ru.clk.After(wait):
		return true
	}
}

// retryable says whether another attempt is safe and may help. A call that
// is not idempotent is sent again after MayHaveRun only under its key, to the
// owner of the key's slot, which knows whether it ran.
func retryable(ca *citronstream.Call, re *citronstream.Result) bool {
	fa := re.Fault
	if re.Status >= 400 && re.Status < 500 && re.Status != http.StatusTooManyRequests {
		return false
	}
	switch fa.Code {
	case citronstream.CodeBadRequest, citronstream.CodeQuarantined, citronstream.CodeDeadline, citronstream.CodeCanceled,
		citronstream.CodeKeyReuse, citronstream.CodeInDoubt, citronstream.CodeNotFound, citronstream.CodeTooLarge, citronstream.CodeUnauthorized:
		return false
	}
	if fa.Verdict == citronstream.NotRun || ca.Idempotent {
		return true
	}
	switch fa.Code {
	case citronstream.CodeLinkLost, citronstream.CodeNotOwner, citronstream.CodeUnavailable:
		return fa.Verdict == citronstream.MayHaveRun && ca.Key != ""
	}
	return false
}

func (at *attempts) success(ca *citronstream.Call, re citronstream.Result) Outcome {
	body := re.Body
	if ca.Streams {
		body = at.output
	}
	return Outcome{Status: re.Status, Body: body, Usage: re.Usage, Upstream: re.Upstream, Replayed: re.Replayed}
}

// failure gives the verdict over all attempts.
func (at *attempts) failure(ca *citronstream.Call, re citronstream.Result, ran bool) Outcome {
	fa := *re.Fault
	if ran && fa.Verdict == citronstream.NotRun {
		fa.Verdict = citronstream.MayHaveRun
	}
	return Outcome{Status: re.Status, Body: re.Body, Upstream: re.Upstream, Usage: re.Usage, Fault: &fa}
}

func noRoute(ca *citronstream.Call) citronstream.Result {
	return unasked(ca, citronstream.CodeUnavailable, "no upstream of "+ca.Service+" can take the call")
}

// unasked is the failure of a call that was sent to no agent. An earlier
// request with a key that the caller chose may have run.
func unasked(ca *citronstream.Call, code citronstream.Code, text string) citronstream.Result {
	verdict := citronstream.NotRun
	if !ca.Idempotent && ca.KeyGiven {
		verdict = citronstream.MayHaveRun
		text += "; the owner of the key was not asked"
	}
	return citronstream.Result{Fault: citronstream.NewFault(verdict, code, "%s", text)}
}

func (ru *Runner) event(ca *citronstream.Call, kind, upstream string, re *citronstream.Result) {
	if ru.rec == nil {
		return
	}
	ev := citronstream.Event{Kind: kind, RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: upstream, Cost: ca.Cost}
	if re != nil {
		ev.Verdict = citronstream.VerdictOf(faultError(re.Fault)).String()
		if re.Fault != nil {
			ev.Detail = string(re.Fault.Code)
		}
	}
	ru.rec.Record(ev)
}
