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
	ru       *Runner
	budget   *retrybudget.Request
	deadline time.Time // the deadline of this call
	exclude  []string
	output   []byte // output that the caller already has
	blocks   []uint64
}

// run makes attempts until one succeeds, the failure is final, or the budget is spent.
func (att *attempts) run(ctx context.Context, ca citronstream.Call, sink func([]byte)) Outcome {
	if att.ru.holds != nil {
		if until, held := att.ru.holds.Held(ca.Digest); held {
			att.ru.counts.Held.Add(1)
			out := refused(citronstream.NotRun, citronstream.CodeQuarantined, "this content made upstreams crash and is quarantined")
			out.Fault.RetryAfter = until.Sub(att.ru.clk.Now())
			return out
		}
		ca.Suspect = att.ru.holds.Suspect(ca.Digest)
	}
	if att.ru.prefix != nil {
		att.blocks = att.ru.prefix.Blocks(ca.Service, ca.Body)
	}
	ca.Version = att.ru.version()
	ran := false // an attempt before the last may have run
	for try := 1; ; try++ {
		re := att.tryOnce(ctx, &ca, sink)
		if re.Fault == nil {
			return att.success(&ca, re)
		}
		ran = ran || re.Fault.Verdict != citronstream.NotRun
		if !retryable(&ca, &re) || !att.waitRetry(ctx, re, try) {
			return att.failure(&ca, re, ran)
		}
		// An upstream without the model is not excluded: its load report already
		// keeps it from being picked, and soon it may be the only one with the model.
		if re.Upstream != "" && re.Fault.Code != citronstream.CodeNotReady && (ca.Idempotent || re.Fault.Code == citronstream.CodeNotOwner) {
			att.exclude = append(att.exclude, re.Upstream)
		}
		if len(att.output) > 0 {
			att.ru.counts.Resumed.Add(1)
			ca.Prefix, ca.ResumeFrom = string(att.output), len(att.output)
		}
	}
}

// tryOnce makes one attempt.
func (att *attempts) tryOnce(ctx context.Context, ca *citronstream.Call, sink func([]byte)) citronstream.Result {
	ru := att.ru
	picker := ru.pickers(ca.Service)
	if picker == nil {
		return noRoute(ca)
	}
	upstream, ok := att.route(ctx, picker, ca)
	if !ok {
		ru.counts.NoRoute.Add(1)
		return noRoute(ca)
	}
	if att.hedgeable(ca) {
		return att.hedged(ctx, ca, picker, upstream)
	}
	return att.send(ctx, ca, picker, upstream, func(data []byte) {
		att.output = append(att.output, data...)
		if sink != nil {
			sink(data)
		}
	})
}

// send sends the call to an upstream under a new attempt identifier.
func (att *attempts) send(ctx context.Context, ca *citronstream.Call, picker citronstream.Picker, upstream string, sink func([]byte)) citronstream.Result {
	ru := att.ru
	ca.AttemptID = citronstream.NewID()
	ca.SentAt = ru.clk.Now()
	ca.Left = att.deadline.Sub(ca.SentAt)
	if ca.Left <= 0 {
		return notSent(ca, citronstream.CodeDeadline, "no time is left for "+ca.Service)
	}
	ru.event(ca, "AttemptSent", upstream, nil)
	picker.Sent(upstream, ca.Rank, ca.Cost)
	if len(att.blocks) > 0 {
		ru.prefix.Note(upstream, att.blocks)
	}
	re := ru.agents.Run(ctx, upstream, *ca, sink)
	took := ru.clk.Now().Sub(ca.SentAt)
	picker.Ended(upstream, ca.Rank, ca.Cost, took, faultError(re.Fault))
	ru.event(ca, "AttemptEnded", upstream, &re)
	if re.Fault == nil && ru.times != nil && !re.Replayed {
		// Queueing time is left out: a burst of one rank must not raise the estimates of the others.
		ru.times.Observe(ca.Service, ca.Cost, took-re.Queued)
	}
	if ru.meter != nil && !re.Replayed {
		ru.meter.Count(ca, &re)
	}
	return re
}

// routePollInterval is the interval at which a call without an upstream looks for one.
const routePollInterval = 20 * time.Millisecond

// routeReserve is the time before the deadline at which a call gives up waiting.
const routeReserve = 200 * time.Millisecond

// route picks an upstream, and waits for one while the deadline allows: a restarted
// upstream or a slot that changes its owner is available again within 1 to 2 s.
// Waiting sends nothing, so it takes nothing from the retry budget.
func (att *attempts) route(ctx context.Context, picker citronstream.Picker, ca *citronstream.Call) (string, bool) {
	ru := att.ru
	for {
		if upstream, ok := att.pick(picker, ca); ok {
			return upstream, true
		}
		if att.deadline.Sub(ru.clk.Now()) < routeReserve || (len(att.exclude) > 0 && ca.Idempotent) {
			return "", false
		}
		if !ca.Idempotent && ru.refreshSlots != nil {
			ru.refreshSlots(ca.Service)
		}
		select {
		case <-ctx.Done():
			return "", false
		case <-ru.clk.After(routePollInterval):
		}
	}
}

// pick returns the upstream that the policy picks, or the owner of the key for a call
// that must not be repeated.
func (att *attempts) pick(picker citronstream.Picker, ca *citronstream.Call) (string, bool) {
	if !ca.Idempotent && att.ru.owners != nil {
		return att.ru.owners.Owner(ca.Service, ca.Workspace, ca.Key, att.exclude)
	}
	return picker.Pick(att.request(ca))
}

func (att *attempts) request(ca *citronstream.Call) citronstream.PickRequest {
	return citronstream.PickRequest{
		Service: ca.Service, Zone: att.ru.zone, Model: ca.Model, Rank: ca.Rank, Cost: ca.Cost, Exclude: att.exclude, Suspect: ca.Suspect,
		Blocks: att.blocks,
	}
}

// waitRetry takes an attempt from the budget and waits before the next attempt. A retry
// after a refusal by a leaving upstream takes none: it adds no load, and a drain must
// not fail a request because others have used up the budget.
func (att *attempts) waitRetry(ctx context.Context, re citronstream.Result, try int) bool {
	if re.Fault.Code == citronstream.CodeLeaving && re.Fault.Verdict == citronstream.NotRun {
		return ctx.Err() == nil
	}
	wait := att.ru.budget.Backoff(try)
	if att.ru.clk.Now().Add(wait).After(att.deadline) || ctx.Err() != nil || !att.budget.TakeExtra() {
		return false
	}
	att.ru.counts.Retries.Add(1)
	select {
	case <-ctx.Done():
		return false
	case <-att.ru.clk.After(wait):
		return true
	}
}

// retryable reports whether another attempt is safe and may succeed. A call that is
// not idempotent is sent again after MayHaveRun only with its key, to the owner of
// the key's slot, which knows whether it ran.
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

func (att *attempts) success(ca *citronstream.Call, re citronstream.Result) Outcome {
	body := re.Body
	if ca.Streams {
		body = att.output
	}
	return Outcome{Status: re.Status, Body: body, Usage: re.Usage, Upstream: re.Upstream, Replayed: re.Replayed}
}

// failure returns the last failure with the verdict over all attempts.
func (att *attempts) failure(ca *citronstream.Call, re citronstream.Result, ran bool) Outcome {
	fa := *re.Fault
	if ran && fa.Verdict == citronstream.NotRun {
		fa.Verdict = citronstream.MayHaveRun
	}
	return Outcome{Status: re.Status, Body: re.Body, Upstream: re.Upstream, Usage: re.Usage, Fault: &fa}
}

func noRoute(ca *citronstream.Call) citronstream.Result {
	return notSent(ca, citronstream.CodeUnavailable, "no upstream of "+ca.Service+" can take the call")
}

// notSent returns the failure of a call that was sent to no agent. If the caller chose
// the key, an earlier request with it may have run.
func notSent(ca *citronstream.Call, code citronstream.Code, text string) citronstream.Result {
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
