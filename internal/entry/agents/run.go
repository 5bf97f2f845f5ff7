package agents

import (
	"context"
	"errors"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/tracker"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// Run makes one attempt at a call and returns its result. Sink receives
// the parts of a streamed answer in order and must not block. A result without a
// Fault is complete. The Fault's verdict is NotRun only if the call was never sent,
// or the agent has confirmed that it did not start.
func (po *Pool) Run(ctx context.Context, upstream string, ca citronstream.Call, sink func([]byte)) citronstream.Result {
	ag, ok := (*po.byName.Load())[upstream]
	if !ok {
		return failed(upstream, citronstream.NotRun, citronstream.CodeUnavailable, "no upstream "+upstream)
	}
	li := ag.dial.Link()
	if li == nil {
		return verdictForKey(&ca, failed(upstream, citronstream.NotRun, citronstream.CodeUnavailable, "no link to the agent of "+upstream))
	}
	if ca.Idempotent || po.tracker == nil {
		return po.exchange(ctx, ag, li, ca, sink)
	}
	return verdictForKey(&ca, po.runKeyed(ctx, ag, li, ca))
}

// verdictForKey changes NotRun to MayHaveRun if the caller chose the key: an earlier
// request with the key may have run, unless the owner of the key has looked it up.
func verdictForKey(ca *citronstream.Call, re citronstream.Result) citronstream.Result {
	if ca.Idempotent || !ca.KeyGiven || re.KeyChecked || re.Fault == nil || re.Fault.Verdict != citronstream.NotRun {
		return re
	}
	fa := *re.Fault
	fa.Verdict = citronstream.MayHaveRun
	re.Fault = &fa
	return re
}

// runKeyed makes an attempt at a call that must not be repeated. The tracker is
// told of it before the agent is.
func (po *Pool) runKeyed(ctx context.Context, ag *agent, li *link.Link, ca citronstream.Call) citronstream.Result {
	name := ag.up.Name
	key := tracker.Call{Service: ca.Service, Request: claim.Request{Workspace: ca.Workspace, Key: ca.Key, KeyGiven: ca.KeyGiven, Digest: ca.Digest}}
	if err := po.tracker.Begin(name, po.epoch(name), key); err != nil {
		return citronstream.Result{AttemptID: ca.AttemptID, Upstream: name, Fault: citronstream.FaultOf(err)}
	}
	re := po.exchange(ctx, ag, li, ca, nil)
	if re.Fault != nil && re.Fault.Verdict == citronstream.MayHaveRun && !re.Unflushed {
		switch re.Fault.Code {
		case citronstream.CodeLinkLost, citronstream.CodeDeadline, citronstream.CodeCanceled, citronstream.CodeInternal:
			po.tracker.Lost(name, key)
			return re
		}
	}
	ans := claim.Answer{Status: re.Status, Body: re.Body, Replayed: re.Replayed, Unflushed: re.Unflushed}
	if re.Fault != nil {
		po.tracker.End(name, key, ans, re.Fault)
	} else {
		po.tracker.End(name, key, ans, nil)
	}
	return re
}

func (po *Pool) epoch(upstream string) uint64 {
	if nd := po.routes.Snapshot().Node(upstream); nd != nil {
		if lo, ok := nd.Reported(); ok {
			return lo.Epoch
		}
	}
	return 0
}

// exchange sends a call over the link and waits for its result.
func (po *Pool) exchange(ctx context.Context, ag *agent, li *link.Link, ca citronstream.Call, sink func([]byte)) citronstream.Result {
	po.counts.Attempts.Add(1)
	fl := newFlight(sink)
	po.flights.Store(ca.AttemptID, fl)
	defer func() {
		fl.close()
		po.flights.Delete(ca.AttemptID)
	}()
	if po.rec != nil {
		ca.Clock = po.rec.Now()
	}
	var re citronstream.Result
	err := li.Call(ctx, citronstream.MethodStart, &ca, &re)
	if errors.Is(err, link.ErrLost) {
		re, err = po.resolve(ctx, ag, li, fl, &ca)
	}
	if err != nil {
		return po.failure(ctx, ag, li, &ca, err)
	}
	return po.checkResult(fl, &ca, re, ag.up.Name)
}

// checkResult checks that a result belongs to this attempt and is complete.
func (po *Pool) checkResult(fl *flight, ca *citronstream.Call, re citronstream.Result, upstream string) citronstream.Result {
	po.observeClock(re.Clock)
	if re.Load != nil {
		po.routes.Report(*re.Load)
	}
	po.observe(upstream, re.Version)
	if re.AttemptID != ca.AttemptID || (re.Fault == nil && !fl.complete(ca, &re)) {
		po.counts.Corrupt.Add(1)
		po.event(citronstream.Event{Kind: "ResultCorrupt", RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: upstream})
		return failed(upstream, citronstream.MayHaveRun, citronstream.CodeInternal, "the answer is incomplete or corrupt")
	}
	return re
}

// queryPause keeps a query from being repeated in a tight loop on a link that
// has just ended.
const queryPause = 10 * time.Millisecond

// resolve queries the agent over a new link for the outcome of an attempt. A new
// agent process does not know the attempt, so it is not asked.
func (po *Pool) resolve(ctx context.Context, ag *agent, old *link.Link, fl *flight, ca *citronstream.Call) (citronstream.Result, error) {
	boot := bootID(old)
	for {
		po.counts.Queried.Add(1)
		waitCtx, cancel := context.WithCancel(ctx)
		timer := po.clk.AfterFunc(reconnectTimeout, cancel)
		li, err := ag.dial.Wait(waitCtx)
		timer.Stop()
		cancel()
		if err != nil || bootID(li) != boot {
			po.counts.Unresolved.Add(1)
			re := failed(ag.up.Name, citronstream.MayHaveRun, citronstream.CodeLinkLost, "the agent process that had the call did not reconnect")
			re.AttemptID = ca.AttemptID // checkResult rejects a result of another attempt
			return re, ctx.Err()
		}
		have, next := fl.position()
		left := ca.Left
		if deadline, ok := ctx.Deadline(); ok {
			left = deadline.Sub(po.clk.Now())
		}
		var re citronstream.Result
		query := citronstream.Query{AttemptID: ca.AttemptID, Have: have, NextSeq: next, Left: left}
		err = li.Call(ctx, citronstream.MethodQuery, query, &re)
		if err == nil {
			po.counts.Resolved.Add(1)
		}
		if !errors.Is(err, link.ErrLost) {
			return re, err
		}
		select { // the dialer may still return the broken link
		case <-ctx.Done():
		case <-po.clk.After(queryPause):
		}
	}
}

func bootID(li *link.Link) string {
	he, _ := li.Session().(citronstream.Hello)
	return he.Boot
}

// failure turns an error into a result. If ctx has ended, it asks the agent to
// cancel the call, and the answer is the verdict.
func (po *Pool) failure(ctx context.Context, ag *agent, sent *link.Link, ca *citronstream.Call, err error) citronstream.Result {
	var fa *citronstream.Fault
	if errors.As(err, &fa) {
		return citronstream.Result{AttemptID: ca.AttemptID, Upstream: ag.up.Name, Fault: fa}
	}
	code, text := citronstream.CodeDeadline, "no answer within the deadline"
	if errors.Is(context.Cause(ctx), context.Canceled) {
		code, text = citronstream.CodeCanceled, "cancelled by the caller"
	}
	return failed(ag.up.Name, po.cancel(ag, bootID(sent), ca), code, text)
}

// cancel asks the agent process to which the call was sent, identified by boot, to
// cancel it. A later process does not know the call, so it is not asked.
func (po *Pool) cancel(ag *agent, boot string, ca *citronstream.Call) citronstream.Verdict {
	po.counts.Canceled.Add(1)
	li := ag.dial.Link()
	if li == nil || bootID(li) != boot {
		return citronstream.MayHaveRun
	}
	ctx, cancel := context.WithCancel(po.ctx)
	defer cancel()
	defer po.clk.AfterFunc(cancelTimeout, cancel).Stop()
	var re citronstream.CancelReply
	if err := li.Call(ctx, citronstream.MethodCancel, citronstream.Cancel{AttemptID: ca.AttemptID}, &re); err != nil {
		return citronstream.MayHaveRun
	}
	return re.Verdict
}

func failed(upstream string, ve citronstream.Verdict, code citronstream.Code, text string) citronstream.Result {
	return citronstream.Result{Upstream: upstream, Fault: citronstream.NewFault(ve, code, "%s", text)}
}
