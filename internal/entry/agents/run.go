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

// Run makes one attempt at a call and returns its result. Sink takes the
// parts of a streamed answer in order and must not block. A result without a
// Fault is whole. The Fault's verdict is NotRun only with a proof: the call was
// never sent, or the agent says that it did not start.
func (po *Pool) Run(ctx context.Context, upstream string, ca citronstream.Call, sink func([]byte)) citronstream.Result {
	ag, ok := (*po.byName.Load())[upstream]
	if !ok {
		return failed(upstream, citronstream.NotRun, citronstream.CodeUnavailable, "no upstream "+upstream)
	}
	li := ag.dial.Link()
	if li == nil {
		return ofKey(&ca, failed(upstream, citronstream.NotRun, citronstream.CodeUnavailable, "no link to the agent of "+upstream))
	}
	if ca.Idempotent || po.keeper == nil {
		return po.exchange(ctx, ag, li, ca, sink)
	}
	return ofKey(&ca, po.keyed(ctx, ag, li, ca))
}

// ofKey makes a verdict speak of the caller's key. That this attempt did not
// run says nothing of an earlier request with the key, unless the owner of the
// key has looked it up.
func ofKey(ca *citronstream.Call, re citronstream.Result) citronstream.Result {
	if ca.Idempotent || !ca.KeyGiven || re.KeyChecked || re.Fault == nil || re.Fault.Verdict != citronstream.NotRun {
		return re
	}
	fa := *re.Fault
	fa.Verdict = citronstream.MayHaveRun
	re.Fault = &fa
	return re
}

// keyed makes an attempt at a call that must not be repeated. The keeper
// knows of it before the agent does.
func (po *Pool) keyed(ctx context.Context, ag *agent, li *link.Link, ca citronstream.Call) citronstream.Result {
	name := ag.up.Name
	key := tracker.Call{Service: ca.Service, Request: claim.Request{Workspace: ca.Workspace, Key: ca.Key, KeyGiven: ca.KeyGiven, Digest: ca.Digest}}
	if err := po.keeper.Begin(name, po.epoch(name), key); err != nil {
		return citronstream.Result{AttemptID: ca.AttemptID, Upstream: name, Fault: citronstream.FaultOf(err)}
	}
	re := po.exchange(ctx, ag, li, ca, nil)
	if re.Fault != nil && re.Fault.Verdict == citronstream.MayHaveRun && !re.Unflushed {
		switch re.Fault.Code {
		case citronstream.CodeLinkLost, citronstream.CodeDeadline, citronstream.CodeCanceled, citronstream.CodeInternal:
			po.keeper.Lost(name, key)
			return re
		}
	}
	ans := claim.Answer{Status: re.Status, Body: re.Body, Replayed: re.Replayed, Unflushed: re.Unflushed}
	if re.Fault != nil {
		po.keeper.End(name, key, ans, re.Fault)
	} else {
		po.keeper.End(name, key, ans, nil)
	}
	return re
}

func (po *Pool) epoch(upstream string) uint64 {
	if no := po.routes.Snapshot().Node(upstream); no != nil {
		if lo, ok := no.Reported(); ok {
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
		re, err = po.settle(ctx, ag, li, fl, &ca)
	}
	if err != nil {
		return po.ended(ctx, ag, li, &ca, err)
	}
	return po.accept(fl, &ca, re, ag.up.Name)
}

// accept checks that a result is that of this attempt and whole.
func (po *Pool) accept(fl *flight, ca *citronstream.Call, re citronstream.Result, upstream string) citronstream.Result {
	po.clockSeen(re.Clock)
	if re.Load != nil {
		po.routes.Report(*re.Load)
	}
	po.observe(upstream, re.Version)
	if re.AttemptID != ca.AttemptID || (re.Fault == nil && !fl.whole(ca, &re)) {
		po.counts.Corrupt.Add(1)
		po.event(citronstream.Event{Kind: "ResultCorrupt", RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: upstream})
		return failed(upstream, citronstream.MayHaveRun, citronstream.CodeInternal, "the answer is not whole")
	}
	return re
}

// queryPause keeps a query from being repeated in a tight loop on a link that
// has just ended.
const queryPause = 10 * time.Millisecond

// settle asks the agent over a new link what became of an attempt. An agent
// that was replaced knows nothing, so its answer is no proof.
func (po *Pool) settle(ctx context.Context, ag *agent, old *link.Link, fl *flight, ca *citronstream.Call) (citronstream.Result, error) {
	boot := bootOf(old)
	for {
		po.counts.Queried.Add(1)
		waitCtx, cancel := context.WithCancel(ctx)
		timer := po.clk.AfterFunc(reconnectWait, cancel)
		li, err := ag.dial.Wait(waitCtx)
		timer.Stop()
		cancel()
		if err != nil || bootOf(li) != boot {
			po.counts.Unsettled.Add(1)
			re := failed(ag.up.Name, citronstream.MayHaveRun, citronstream.CodeLinkLost, "the agent that had the call is gone")
			re.AttemptID = ca.AttemptID // accept drops a result of another attempt
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
			po.counts.Settled.Add(1)
		}
		if !errors.Is(err, link.ErrLost) {
			return re, err
		}
		select { // the dialer may not have dropped the broken link yet
		case <-ctx.Done():
		case <-po.clk.After(queryPause):
		}
	}
}

func bootOf(li *link.Link) string {
	he, _ := li.Session().(citronstream.Hello)
	return he.Boot
}

// ended turns an error into a result. When ctx ended, the agent is asked to
// cancel and its answer gives the verdict.
func (po *Pool) ended(ctx context.Context, ag *agent, sent *link.Link, ca *citronstream.Call, err error) citronstream.Result {
	var fa *citronstream.Fault
	if errors.As(err, &fa) {
		return citronstream.Result{AttemptID: ca.AttemptID, Upstream: ag.up.Name, Fault: fa}
	}
	code, text := citronstream.CodeDeadline, "no answer within the deadline"
	if errors.Is(context.Cause(ctx), context.Canceled) {
		code, text = citronstream.CodeCanceled, "the caller went away"
	}
	return failed(ag.up.Name, po.cancel(ag, bootOf(sent), ca), code, text)
}

// cancel asks the process that the call was sent to, which boot names, to give
// it up. The word of a process that was started after it is no proof.
func (po *Pool) cancel(ag *agent, boot string, ca *citronstream.Call) citronstream.Verdict {
	po.counts.Canceled.Add(1)
	li := ag.dial.Link()
	if li == nil || bootOf(li) != boot {
		return citronstream.MayHaveRun
	}
	ctx, cancel := context.WithCancel(po.ctx)
	defer cancel()
	defer po.clk.AfterFunc(cancelWait, cancel).Stop()
	var re citronstream.CancelReply
	if err := li.Call(ctx, citronstream.MethodCancel, citronstream.Cancel{AttemptID: ca.AttemptID}, &re); err != nil {
		return citronstream.MayHaveRun
	}
	return re.Verdict
}

func failed(upstream string, ve citronstream.Verdict, code citronstream.Code, text string) citronstream.Result {
	return citronstream.Result{Upstream: upstream, Fault: citronstream.NewFault(ve, code, "%s", text)}
}
