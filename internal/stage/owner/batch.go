package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// start sends a batch. The caller holds the lock.
func (ow *Owner) start(sv *server, batch []batchPart, now time.Time) {
	var items []citronstream.BatchItem
	inputs := 0
	ctx, cancel := context.WithCancel(ow.ctx)
	cl := &call{sv: sv, parts: batch, cancel: cancel, began: now, expects: ow.paceNow(sv, now)}
	if pace, weight := sv.Pace(now); weight >= minFresh {
		cl.said, cl.forecast = pace, sv.said.forecast(pace, ow.lasting.value())
	}
	for _, pa := range batch {
		jb := pa.jb
		jb.calls = append(jb.calls, cl)
		jb.pending = jb.pending[len(pa.indexes):]
		for _, index := range pa.indexes {
			items = append(items, citronstream.BatchItem{
				RequestID: jb.ID, Stage: jb.Stage, Piece: jb.Pieces[index],
				Left: jb.at.Add(jb.Left).Sub(now), Key: jb.Key, Inputs: jb.Inputs,
			})
			cl.bytes += jb.Bytes
			inputs += jb.InputBytes
		}
	}
	ow.waiting = slices.DeleteFunc(ow.waiting, func(jb *job) bool { return len(jb.pending) == 0 })
	cl.normal = expected(&ow.spec, len(items))
	sv.batches = append(sv.batches, cl)
	sv.running++
	sv.used += cl.bytes
	ow.counts.Batches++
	ow.counts.Items += uint64(len(items))
	sv.Begin()
	fetchTime := ow.fetchTimes.Time(inputs, ow.spec.LinkRate)
	ow.calls.Go(func() { ow.runBatch(ctx, cl, items, fetchTime) })
}

// inputsRead records that an upstream has read the inputs of a running batch.
func (ow *Owner) inputsRead(cl *call) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	cl.read = true
	for _, pa := range cl.parts {
		ow.releaseInputs(pa.jb)
	}
}

// releaseInputs reports the inputs of a job as read once no piece is left to read them.
func (ow *Owner) releaseInputs(jb *job) {
	if jb.ended || jb.inputsGone || len(jb.Inputs) == 0 || len(jb.pending) > 0 || slices.ContainsFunc(jb.calls, func(cl *call) bool { return !cl.read }) {
		return
	}
	jb.inputsGone = true
	jb.fetched()
}

// expected returns the time of a batch at an upstream of normal speed.
func expected(spec *citronstream.BatchSpec, items int) time.Duration {
	return spec.CallTime + time.Duration(items)*spec.ItemTime
}

func (ow *Owner) runBatch(ctx context.Context, cl *call, items []citronstream.BatchItem, fetchTime time.Duration) {
	ow.mu.Lock()
	spec := ow.spec
	ow.mu.Unlock()
	sv, normal := cl.sv, expected(&spec, len(items))
	ow.calls.Go(func() { ow.watch(ctx, cl, normal) })
	began := ow.clk.Now()
	stop := func() bool { return true }
	if fetchTime > 0 {
		stop = ow.clk.AfterFunc(fetchTime, func() { ow.inputsRead(cl) }).Stop
	}
	results, refused, err := ow.batcher.Run(ctx, sv.Node, items)
	released := !stop()
	cl.cancel()
	took := ow.clk.Since(began)
	sv.End()

	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	ow.vacate(cl, now)
	cl.detach()
	switch {
	case refused && err != nil:
		for _, pa := range cl.parts {
			alone, late := pa.jb.missing(pa.indexes)
			ow.requeue(pa.jb, append(alone, late...))
		}
	case refused:
		ow.counts.Refused++
		if _, paused := sv.Self.Paused(now); !paused {
			sv.refused = true
			ow.shares(sv, now)
			ow.contested(sv, maxBackoff, now)
		}
		ow.retry(cl.parts, "refused", now)
	case err != nil:
		ow.counts.Broken++
		if _, paused := sv.Self.Paused(now); !paused { // asking for a pause is no failure
			sv.ConnectionBroke(now)
		}
		ow.log.Info("batch failed", "service", ow.service, "upstream", sv.ID, "items", len(items), "took", took.Round(time.Millisecond).String(), "reason", err.Error())
		ow.retry(cl.parts, "broken", now)
	default:
		sv.RequestDone(float64(took) / float64(normal))
		sv.pace.done(float64(took)/float64(normal), now)
		if cl.said > 0 {
			ow.lasting.done(&sv.said, float64(took)/float64(normal), cl.said)
			sv.said.done(float64(took)/float64(normal), cl.said, cl.forecast)
		}
		ow.meets(sv, cl, float64(took)/float64(normal), now)
		ow.rate.addDone(now, len(items))
		ow.applyResults(cl, results, now)
		if released {
			ow.fetchTimes.Adjust(slices.ContainsFunc(results, func(re citronstream.ItemResult) bool { return re.Fault == citronstream.ItemInputLost }))
		}
	}
	ow.dispatch()
}

// watch has a batch taken over whose answer is not to be expected any more. A slow upstream
// that works on it is waited for: it would finish the batch all the same, and then begin with
// the next one that it was sent. Normal is the expected time of the batch.
func (ow *Owner) watch(ctx context.Context, cl *call, normal time.Duration) {
	sv, began := cl.sv, ow.clk.Now()
	ow.mu.Lock()
	usual := time.Duration(max(1, ow.paceNow(sv, began)) * float64(normal))
	ow.mu.Unlock()
	limit := func(factor float64, normal time.Duration) time.Duration {
		return time.Duration(factor*float64(normal)) + timeoutExtra
	}
	overdue, lost, unreached := false, false, false
	for wait := limit(checkFactor, usual); ow.sleep(ctx, wait); wait = checkInterval {
		if !lost {
			working, err := ow.batcher.Working(ctx, sv.Node)
			now := ow.clk.Now()
			took := now.Sub(began)
			if ctx.Err() != nil {
				return
			}
			if !overdue {
				ow.log.Info("batch overdue", "service", ow.service, "upstream", sv.ID, "took", took.Round(time.Millisecond).String(), "usual", usual.Round(time.Millisecond).String(), "working", working, "reason", fmt.Sprint(err))
			}
			lost, unreached = err == nil && !working, err != nil
			if lost && !ow.sleep(ctx, answerGrace) {
				return
			}
			if working && err == nil {
				ow.mu.Lock()
				sv.pace.overdue(float64(took)/float64(normal), now)
				ow.mu.Unlock()
			}
			overdue = overdue || lost || unreached && took >= limit(timeoutFactor, usual) || took >= max(limit(workingFactor, normal), limit(timeoutFactor, usual))
		}
		if overdue {
			ow.replace(ctx, cl, lost, unreached)
		}
	}
}

// sleep waits, and reports whether ctx has not ended.
func (ow *Owner) sleep(ctx context.Context, wait time.Duration) bool {
	timer := ow.clk.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// applyResults records the results of a batch and ends or requeues its jobs.
func (ow *Owner) applyResults(cl *call, results []citronstream.ItemResult, now time.Time) {
	sv, at := cl.sv, 0
	ow.sizeFactor = max(1, ow.sizeFactor*sizeDecay)
	for _, pa := range cl.parts {
		jb := pa.jb
		failed := batchPart{jb: jb}
		for _, index := range pa.indexes {
			re := results[at]
			at++
			if re.Fault == citronstream.ItemDone {
				ow.storeResult(sv, jb, index, re.Handle, now)
				continue
			}
			failed.indexes = append(failed.indexes, index)
			switch re.Fault {
			case citronstream.ItemInputLost:
				jb.inputsGone = true
			case citronstream.ItemNoMemory:
				ow.counts.NoMemory++
				sv.unknownBytes, sv.unknownAt = sv.unknownNow(now, ow.spec.ResultLife)+jb.Bytes, now
				if !now.Before(sv.foreignUntil) { // else results of another owner may take the memory
					ow.sizeFactor = min(ow.sizeFactor*sizeGrowth, maxSizeFactor)
				}
			}
		}
		if jb.remaining == 0 {
			ow.endJob(jb, citronstream.JobResult{Handles: jb.handles})
			continue
		}
		ow.retry([]batchPart{failed}, "failed", now)
		ow.releaseInputs(jb)
		ow.letGo(jb)
	}
}

// storeResult records a result. If its job has ended, or has another one for the piece, it
// is released at once.
func (ow *Owner) storeResult(sv *server, jb *job, index int, handle string, now time.Time) {
	unused := jb.ended || jb.has(index)
	if unused {
		ow.counts.Unused++
		ow.release(sv.Node, []string{handle}, jb.Bytes)
	}
	sv.results[handle] = result{bytes: jb.Bytes, until: now.Add(ow.spec.ResultLife)}
	sv.used += jb.Bytes
	if !unused {
		jb.handles[index] = handle
		jb.remaining--
		ow.withdraw(jb, []int{index})
	}
}

// retry requeues pieces of a call that has ended, within the limits of their jobs and the
// retry budget. A job fails if one of its pieces can't be sent again and no call runs it.
func (ow *Owner) retry(batch []batchPart, reason string, now time.Time) {
	for _, pa := range batch {
		jb := pa.jb
		alone, late := jb.missing(pa.indexes)
		switch {
		case jb.ended || len(pa.indexes) == 0:
		case jb.inputsGone && !jb.allRunning(jb.unfinished()):
			ow.endJob(jb, citronstream.JobResult{InputLost: true})
		case jb.inputsGone:
			ow.withdraw(jb, jb.pending)
		case len(alone) > 0 && !ow.repeat(jb, alone, now):
			ow.log.Info("stage failed", "request", jb.ID, "stage", jb.Stage, "service", ow.service, "reason", reason, "repeats", jb.repeats)
			fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamFailed,
				"stage %d at service %s: %s, and no retry is left", jb.Stage, ow.service, reason)
			if first, paused := ow.pausedUntil(now); paused {
				fa.RetryAfter = first.Sub(now) + rand.N(returnSpread)
			}
			ow.endJob(jb, citronstream.JobResult{Fault: fa})
		default:
			ow.takeOver(jb, late, now)
		}
	}
}

// repeat queues pieces again if the limit of their job and the retry budget allow it, and
// reports whether they do.
func (ow *Owner) repeat(jb *job, indexes []int, now time.Time) bool {
	if jb.repeats+len(indexes) > maxRepeats*len(jb.Pieces) || !ow.budget.TakeAll(ow.service, len(indexes)) {
		return false
	}
	jb.repeats += len(indexes)
	ow.counts.Repeated += uint64(len(indexes))
	for _, index := range indexes {
		jb.repeatAt[index] = now
	}
	ow.requeue(jb, indexes)
	return true
}

// requeue queues pieces that reached no upstream, or that may be sent again.
func (ow *Owner) requeue(jb *job, indexes []int) {
	if jb.ended || len(indexes) == 0 {
		return
	}
	if len(jb.pending) == 0 {
		ow.waiting = append(ow.waiting, jb)
	}
	jb.pending = append(jb.pending, indexes...)
	slices.Sort(jb.pending)
}

// withdraw removes those of the pieces that wait from the queue, and returns their repeats.
func (ow *Owner) withdraw(jb *job, indexes []int) {
	if len(jb.pending) == 0 {
		return
	}
	for _, index := range slices.Clone(indexes) {
		at := slices.Index(jb.pending, index)
		if at < 0 {
			continue
		}
		jb.pending = slices.Delete(jb.pending, at, at+1)
		if taken := jb.repeatAt[index]; !taken.IsZero() {
			ow.budget.Return(ow.service, 1, taken)
			jb.repeats--
			jb.repeatAt[index] = time.Time{}
		}
	}
	if len(jb.pending) == 0 {
		ow.waiting = slices.DeleteFunc(ow.waiting, func(other *job) bool { return other == jb })
	}
}
