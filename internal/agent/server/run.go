package server

import (
	"context"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/attempts"
)

// runLimit bounds a non-idempotent call, which is not cut at its deadline:
// its outcome must be known and recorded.
const runLimit = 30 * time.Second

// admit takes a call into the queue, or refuses it.
func (se *Server) admit(ca citronstream.Call, to attempts.Peer) {
	at, fresh := se.attempts.Add(ca)
	if !fresh {
		to.Reply(se.seal(citronstream.Result{
			AttemptID: ca.AttemptID,
			Fault:     citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "attempt %s was settled before", ca.AttemptID),
		}))
		return
	}
	at.Attach(to, 0, 0)
	se.counts.Taken.Add(1)
	if se.recall(at) {
		return
	}
	if ca.KeyGiven && !ca.Idempotent && se.fences.bars(&ca) {
		se.refused(at, citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "a later request with this key was refused as not run"))
		return
	}
	if err := se.enqueue(at); err != nil {
		se.counts.Refused.Add(1)
		se.refuse(at, err)
		return
	}
	se.dispatch()
}

func (se *Server) enqueue(at *attempts.Attempt) error {
	ca := &at.Call
	se.mu.Lock()
	leaving, down := se.leaving, se.down
	se.mu.Unlock()
	switch {
	case leaving:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeLeaving, "upstream %s is leaving", se.up.Name)
	case down:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUnavailable, "upstream %s is down", se.up.Name)
	case se.unloaded(ca.Model):
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "upstream %s has not loaded %s", se.up.Name, ca.Model)
	case ca.Service != se.up.Service:
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeStale, "upstream %s serves %s, not %s", se.up.Name, se.up.Service, ca.Service)
	}
	suspect := ca.Suspect
	if se.holds != nil {
		if until, held := se.holds.Held(ca.Digest); held {
			fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeQuarantined, "this content killed upstreams and is held")
			fa.RetryAfter = until.Sub(se.clk.Now())
			return fa
		}
		suspect = suspect || se.holds.Suspect(ca.Digest)
	}
	displaced, err := se.queue.Push(citronstream.Item{
		ID: ca.AttemptID, Rank: ca.Rank, Workspace: ca.Workspace, Cost: ca.Cost,
		Deadline: at.Deadline, Suspect: suspect, Value: at,
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

// recall answers a resend of a key that has run, without a place in the queue.
func (se *Server) recall(at *attempts.Attempt) bool {
	if at.Call.Idempotent || se.once == nil {
		return false
	}
	output, re, ok := se.once.Recall(&at.Call)
	if ok {
		_ = at.Emit(output)
		se.finish(at, re)
	}
	return ok
}

// refuse ends an attempt that did not run. For a key that the caller chose
// the verdict speaks of the key, so it is looked up first.
func (se *Server) refuse(at *attempts.Attempt, err error) {
	fa := citronstream.FaultOf(err)
	if at.Call.Idempotent || !at.Call.KeyGiven || se.once == nil || fa.Verdict != citronstream.NotRun {
		se.refused(at, fa)
		return
	}
	se.runs.Add(1)
	go func() {
		defer se.runs.Done()
		// The fence stands before the look: what comes later is barred, what came before is seen.
		undo := se.fences.put(&at.Call, se.clk.Now())
		of := *fa
		if of.Verdict = se.once.Verdict(se.ctx, &at.Call); se.twin(at) {
			of.Verdict = citronstream.MayHaveRun
		}
		if of.Verdict != citronstream.NotRun {
			undo()
		}
		se.refused(at, &of)
	}()
}

// twin says whether another attempt at the same key waits or runs here.
func (se *Server) twin(at *attempts.Attempt) bool {
	for _, other := range se.attempts.Live() {
		if other != at && other.Call.Key == at.Call.Key && other.Call.Workspace == at.Call.Workspace {
			return true
		}
	}
	return false
}

func (se *Server) refused(at *attempts.Attempt, fa *citronstream.Fault) {
	se.event(citronstream.Event{
		Kind: "CallRefused", RequestID: at.Call.RequestID, AttemptID: at.Call.AttemptID,
		Upstream: se.up.Name, Verdict: fa.Verdict.String(), Detail: string(fa.Code),
	})
	se.finish(at, citronstream.Result{Fault: fa, KeyChecked: !at.Call.Idempotent})
}

// finish ends an attempt and sends its result.
func (se *Server) finish(at *attempts.Attempt, re citronstream.Result) {
	load := se.Load()
	re.Load = &load
	if at.Finish(se.seal(re)) {
		se.attempts.Ended(at)
	}
}

// seal adds what each result carries.
func (se *Server) seal(re citronstream.Result) citronstream.Result {
	re.Upstream, re.Version, re.Clock = se.up.Name, se.version(), se.clockNow()
	return re
}

// withdraw cancels an attempt and says what it had come to.
func (se *Server) withdraw(id string) citronstream.Verdict {
	at, ok := se.attempts.Get(id)
	if !ok {
		se.counts.Buried.Add(1)
		return citronstream.NotRun
	}
	if at.Call.Idempotent || at.Phase() == attempts.Waiting {
		at.Cancel()
	}
	se.counts.Canceled.Add(1)
	if se.queue.Remove(id) {
		se.refuse(at, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "cancelled while it waited"))
		if at.Call.KeyGiven && !at.Call.Idempotent {
			return citronstream.MayHaveRun // the key is not looked up for a caller that is gone
		}
		return citronstream.NotRun
	}
	return citronstream.MayHaveRun
}

// dispatch starts waiting calls while the upstream has room. It runs where a
// call arrives or ends, which spares a call the wake-up of the loop, and does
// not block.
func (se *Server) dispatch() {
	se.starting.Lock()
	defer se.starting.Unlock()
	for !se.ended && se.room() {
		it, expired, ok := se.queue.Pop()
		for _, old := range expired {
			se.counts.Expired.Add(1)
			se.refuse(old.Value.(*attempts.Attempt),
				citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline, "the deadline can't be met any more"))
		}
		if !ok {
			return
		}
		at := it.Value.(*attempts.Attempt)
		if !at.Run() {
			se.queue.Done(it, 0, 0)
			se.refuse(at, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "cancelled while it waited"))
			continue
		}
		se.mu.Lock()
		se.running[it.ID] = at
		se.cost += it.Cost
		inc := se.inc
		se.mu.Unlock()
		se.runs.Add(1)
		go se.run(it, at, inc)
	}
}

func (se *Server) room() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	return len(se.running) < se.up.Capacity && !se.down
}

// run runs one attempt to its end. Server.runs counts these goroutines.
func (se *Server) run(it citronstream.Item, at *attempts.Attempt, inc uint64) {
	defer se.runs.Done()
	ca := &at.Call
	started := se.clk.Now()
	ctx, cancel := se.runContext(at)
	defer cancel()
	se.event(citronstream.Event{Kind: "CallStarted", RequestID: ca.RequestID, AttemptID: ca.AttemptID, Upstream: se.up.Name})
	re := se.execute(ctx, at, inc)
	took := se.clk.Now().Sub(started)
	re.Queued = started.Sub(at.Arrived)
	re.Usage.Busy = took
	if re.Usage.Cost == 0 && (re.Fault == nil || re.Usage.TokensOut > 0) {
		re.Usage.Cost = corrected(ca, re.Usage)
	}
	if re.Fault == nil && se.holds != nil {
		se.holds.Finished(ca.Digest)
	}
	se.mu.Lock()
	delete(se.running, it.ID)
	se.cost -= it.Cost
	se.throughput(re.Usage.Cost, took)
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
	se.finish(at, re)
	se.dispatch()
}

func verdictOf(re citronstream.Result) citronstream.Verdict {
	if re.Fault != nil {
		return re.Fault.Verdict
	}
	return citronstream.Ran
}

func (se *Server) runContext(at *attempts.Attempt) (context.Context, context.CancelFunc) {
	limit := at.Deadline.Sub(se.clk.Now())
	if !at.Call.Idempotent {
		limit = se.runLimit
	}
	ctx, cancel := context.WithCancel(se.ctx)
	timer := se.clk.AfterFunc(limit, cancel)
	at.OnCancel(cancel)
	return ctx, func() {
		at.OnCancel(nil) // the table keeps ended attempts
		timer.Stop()
		cancel()
	}
}

// execute runs the call at the upstream, through the at-most-once record if it is not idempotent.
func (se *Server) execute(ctx context.Context, at *attempts.Attempt, inc uint64) citronstream.Result {
	if at.Call.Idempotent || se.once == nil {
		return se.atUpstream(ctx, at, inc, at.Emit)
	}
	output, re := se.once.Do(ctx, at.Call, func(ctx context.Context) ([]byte, citronstream.Result) {
		var output []byte
		re := se.atUpstream(ctx, at, inc, func(data []byte) error {
			output = append(output, data...)
			return nil
		})
		return output, re
	})
	_ = at.Emit(output)
	re.KeyChecked = true
	return re
}

func (se *Server) atUpstream(ctx context.Context, at *attempts.Attempt, inc uint64, emit func([]byte) error) citronstream.Result {
	re, err := se.protocol.Run(ctx, se.up.Address, at.Call, emit)
	if err == nil {
		return re
	}
	re.Fault = citronstream.FaultOf(err)
	if ctx.Err() != nil {
		switch {
		case at.Withdrawn():
			re.Fault = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUnavailable, "withdrawn: another suspect runs at %s", se.up.Name)
		case re.Fault.Verdict != citronstream.NotRun:
			re.Fault = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "cut at the deadline or cancelled")
		}
		return re
	}
	if re.Fault.Verdict != citronstream.Ran && se.deathOf(inc, re.Fault.Verdict != citronstream.NotRun) {
		re.Died = true
		re.Fault.Code = citronstream.CodeUpstreamDied
	}
	return re
}

// corrected is the cost of a call by the tokens that it used.
func corrected(ca *citronstream.Call, us citronstream.Usage) float64 {
	if us.TokensIn+us.TokensOut == 0 {
		return ca.Cost
	}
	return ca.Cost + ca.CostPerToken*float64(us.TokensIn+us.TokensOut-ca.TokensExpected)
}

// throughput keeps a decayed figure of the cost units a second that the
// upstream does when all its capacity is used. The caller holds mu.
func (se *Server) throughput(cost float64, took time.Duration) {
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
