package server

import (
	"context"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
)

// runLimit bounds the run of a non-idempotent call. Such a call is not
// cancelled at its deadline, because its outcome must be recorded.
const runLimit = 30 * time.Second

// admit queues a call or refuses it.
func (se *Server) admit(ca citronstream.Call, rep attempts.Peer) {
	att, fresh := se.attempts.Add(ca)
	if !fresh {
		rep.Reply(se.addAgentFields(citronstream.Result{
			AttemptID: ca.AttemptID,
			Fault:     citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "attempt %s has ended or was cancelled before", ca.AttemptID),
		}))
		return
	}
	att.Attach(rep, 0, 0)
	se.counts.Accepted.Add(1)
	if se.answerFromCache(att) {
		return
	}
	if ca.KeyGiven && !ca.Idempotent && se.refusedKeys.rejects(&ca) {
		se.finishRefused(att, citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "a later request with this key was refused as not run"))
		return
	}
	if err := se.enqueue(att); err != nil {
		se.counts.Refused.Add(1)
		se.refuse(att, err)
		return
	}
	se.dispatch()
}

func (se *Server) enqueue(att *attempts.Attempt) error {
	ca := &att.Call
	se.mu.Lock()
	leaving, down := se.leaving, se.down
	se.mu.Unlock()
	switch {
	case leaving:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "upstream %s is leaving", se.up.Name)
	case down:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "upstream %s is down", se.up.Name)
	case se.modelMissing(ca.Model):
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "upstream %s has not loaded %s", se.up.Name, ca.Model)
	case ca.Service != se.up.Service:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "upstream %s serves %s, not %s", se.up.Name, se.up.Service, ca.Service)
	}
	suspect := ca.Suspect
	if se.holds != nil {
		if until, held := se.holds.Held(ca.Digest); held {
			fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeQuarantined, "this content made upstreams crash and is quarantined")
			fa.RetryAfter = until.Sub(se.clk.Now())
			return fa
		}
		suspect = suspect || se.holds.Suspect(ca.Digest)
	}
	displaced, err := se.queue.Push(citronstream.Item{
		ID: ca.AttemptID, Rank: ca.Rank, Workspace: ca.Workspace, Cost: ca.Cost,
		Deadline: att.Deadline, Suspect: suspect, Value: att,
	})
	for _, it := range displaced {
		se.counts.Refused.Add(1)
		se.refuse(it.Value.(*attempts.Attempt),
			citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "displaced from a full queue"))
	}
	if err == nil {
		se.event(citronstream.Event{Kind: "CallQueued", RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: se.up.Name, Cost: ca.Cost})
	}
	return err
}

// answerFromCache answers a repeated call from memory, without queueing it, if its
// key has run.
func (se *Server) answerFromCache(att *attempts.Attempt) bool {
	if att.Call.Idempotent || se.once == nil {
		return false
	}
	output, re, ok := se.once.Recall(&att.Call)
	if ok {
		_ = att.Emit(output)
		se.finish(att, re)
	}
	return ok
}

// refuse ends an attempt that did not run. If the caller chose the key, the
// verdict covers all requests with that key, so the key is looked up first.
func (se *Server) refuse(att *attempts.Attempt, err error) {
	fa := citronstream.FaultOf(err)
	if att.Call.Idempotent || !att.Call.KeyGiven || se.once == nil || fa.Verdict != citronstream.NotRun {
		se.finishRefused(att, fa)
		return
	}
	se.runs.Add(1)
	go func() {
		defer se.runs.Done()
		// The key is recorded before the lookup, so that each other call with it is
		// either rejected or found by the lookup.
		undo := se.refusedKeys.add(&att.Call, se.clk.Now())
		offr := *fa
		if offr.Verdict = se.once.Verdict(se.ctx, &att.Call); se.hasDuplicate(att) {
			offr.Verdict = citronstream.MayHaveRun
		}
		if offr.Verdict != citronstream.NotRun {
			undo()
			if offr.Code == citronstream.CodeLeaving {
				// A leaving agent gives up its slots. The entry repeats the call at the owner of
				// the key's slot, which knows whether it ran.
				offr.Code = citronstream.CodeNotOwner
			}
		}
		se.finishRefused(att, &offr)
	}()
}

// hasDuplicate reports whether another attempt with the same key waits or runs
// here.
func (se *Server) hasDuplicate(att *attempts.Attempt) bool {
	for _, other := range se.attempts.Live() {
		if other != att && other.Call.Key == att.Call.Key && other.Call.Workspace == att.Call.Workspace {
			return true
		}
	}
	return false
}

func (se *Server) finishRefused(att *attempts.Attempt, fa *citronstream.Fault) {
	se.event(citronstream.Event{
		Kind: "CallRefused", RequestID: att.Call.RequestID, AttemptID: att.Call.AttemptID,
		Upstream: se.up.Name, Verdict: fa.Verdict.String(), Detail: string(fa.Code),
	})
	se.finish(att, citronstream.Result{Fault: fa, KeyChecked: !att.Call.Idempotent})
}

// finish ends an attempt and sends its result.
func (se *Server) finish(att *attempts.Attempt, re citronstream.Result) {
	load := se.Load()
	re.Load = &load
	if att.Finish(se.addAgentFields(re)) {
		se.attempts.Ended(att)
	}
}

// addAgentFields sets the fields that every result carries.
func (se *Server) addAgentFields(re citronstream.Result) citronstream.Result {
	re.Upstream, re.Version, re.Clock = se.up.Name, se.version(), se.clockNow()
	return re
}

// cancelAttempt cancels an attempt and returns its verdict.
func (se *Server) cancelAttempt(id string) citronstream.Verdict {
	att, ok := se.attempts.GetOrTombstone(id)
	if !ok {
		se.counts.Unknown.Add(1)
		return citronstream.NotRun
	}
	if att.Call.Idempotent || att.Phase() == attempts.Waiting {
		att.Cancel()
	}
	se.counts.Canceled.Add(1)
	if se.queue.Remove(id) {
		se.refuse(att, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "cancelled while it waited"))
		if att.Call.KeyGiven && !att.Call.Idempotent {
			return citronstream.MayHaveRun // the caller has disconnected, so the key is not looked up
		}
		return citronstream.NotRun
	}
	return citronstream.MayHaveRun
}

// dispatch starts waiting calls while the upstream has free capacity. It runs
// on the goroutine that queues or ends a call, so that a call does not wait for
// the loop to wake up, and does not block.
func (se *Server) dispatch() {
	se.dispatchMu.Lock()
	defer se.dispatchMu.Unlock()
	for !se.ended && se.hasCapacity() {
		it, expired, ok := se.queue.Pop()
		for _, old := range expired {
			se.counts.Expired.Add(1)
			se.refuse(old.Value.(*attempts.Attempt),
				citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline, "the deadline can't be met any more"))
		}
		if !ok {
			return
		}
		att := it.Value.(*attempts.Attempt)
		if !att.Run() {
			se.queue.Done(it, 0, 0)
			se.refuse(att, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "cancelled while it waited"))
			continue
		}
		se.mu.Lock()
		se.running[it.ID] = att
		se.cost += it.Cost
		inc := se.incarnation
		se.mu.Unlock()
		se.runs.Add(1)
		go se.run(it, att, inc)
	}
}

func (se *Server) hasCapacity() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.running) < se.up.Capacity && !se.down
}

// run runs one attempt to its end. Server.runs waits for these goroutines.
func (se *Server) run(it citronstream.Item, att *attempts.Attempt, inc uint64) {
	defer se.runs.Done()
	ca := &att.Call
	started := se.clk.Now()
	ctx, cancel := se.runContext(att)
	defer cancel()
	se.event(citronstream.Event{Kind: "CallStarted", RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: se.up.Name})
	re := se.execute(ctx, att, inc)
	took := se.clk.Now().Sub(started)
	re.Queued = started.Sub(att.Arrived)
	re.Usage.Busy = took
	if re.Usage.Cost == 0 && (re.Fault == nil || re.Usage.TokensOut > 0) {
		re.Usage.Cost = actualCost(ca, re.Usage)
	}
	if re.Fault == nil && se.holds != nil {
		se.holds.Finished(ca.Digest)
	}
	se.mu.Lock()
	delete(se.running, it.ID)
	se.cost -= it.Cost
	se.updateRate(re.Usage.Cost, took)
	se.mu.Unlock()
	se.queue.Done(it, re.Usage.Cost, took)
	se.counts.Ran.Add(1)
	se.event(citronstream.Event{
		Kind: "CallEnded", RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: se.up.Name,
		Verdict: verdictOf(re).String(), Cost: re.Usage.Cost,
	})
	if se.meter != nil {
		se.meter.Count(ca, &re)
	}
	se.finish(att, re)
	se.dispatch()
}

func verdictOf(re citronstream.Result) citronstream.Verdict {
	if re.Fault != nil {
		return re.Fault.Verdict
	}
	return citronstream.Ran
}

func (se *Server) runContext(att *attempts.Attempt) (context.Context, context.CancelFunc) {
	limit := att.Deadline.Sub(se.clk.Now())
	if !att.Call.Idempotent {
		limit = se.runLimit
	}
	ctx, cancel := context.WithCancel(se.ctx)
	timer := se.clk.AfterFunc(limit, cancel)
	att.OnCancel(cancel)
	return ctx, func() {
		att.OnCancel(nil) // ended attempts stay in the table
		timer.Stop()
		cancel()
	}
}

// execute runs the call at the upstream. A non-idempotent call goes through the
// at-most-once record.
func (se *Server) execute(ctx context.Context, att *attempts.Attempt, inc uint64) citronstream.Result {
	if att.Call.Idempotent || se.once == nil {
		return se.runAtUpstream(ctx, att, inc, att.Emit)
	}
	output, re := se.once.Do(ctx, att.Call, func(ctx context.Context) ([]byte, citronstream.Result) {
		var output []byte
		re := se.runAtUpstream(ctx, att, inc, func(data []byte) error {
			output = append(output, data...)
			return nil
		})
		return output, re
	})
	_ = att.Emit(output)
	re.KeyChecked = true
	return re
}

func (se *Server) runAtUpstream(ctx context.Context, att *attempts.Attempt, inc uint64, emit func([]byte) error) citronstream.Result {
	re, err := se.protocol.Run(ctx, se.up.Address, att.Call, emit)
	if err == nil {
		return re
	}
	re.Fault = citronstream.FaultOf(err)
	if ctx.Err() != nil {
		switch {
		case att.Withdrawn():
			re.Fault = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUnavailable, "cancelled: another suspect call runs at %s", se.up.Name)
		case re.Fault.Verdict != citronstream.NotRun:
			re.Fault = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "cancelled, by the caller or at the deadline")
		}
		return re
	}
	if re.Fault.Verdict != citronstream.Ran && se.checkDeath(inc, re.Fault.Verdict != citronstream.NotRun) {
		re.Died = true
		re.Fault.Code = citronstream.CodeUpstreamDied
	}
	return re
}

// actualCost returns the cost of a call for the tokens that it used.
func actualCost(ca *citronstream.Call, us citronstream.Usage) float64 {
	if us.TokensIn+us.TokensOut == 0 {
		return ca.Cost
	}
	return ca.Cost + ca.CostPerToken*float64(us.TokensIn+us.TokensOut-ca.TokensExpected)
}

// updateRate updates the moving average of the cost units per second that the
// upstream completes at full capacity. The caller holds mu.
func (se *Server) updateRate(cost float64, took time.Duration) {
	const share = 0.05 // weight of the newest call
	if cost <= 0 || took <= 0 {
		return
	}
	rate := cost / took.Seconds() * float64(se.up.Capacity)
	if se.rate == 0 {
		se.rate = rate
	}
	se.rate += share * (rate - se.rate)
}
