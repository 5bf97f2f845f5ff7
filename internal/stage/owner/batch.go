package owner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// start sends a batch. The caller holds the lock.
func (ow *Owner) start(sv *server, batch []batchPart, now time.Time) {
	var items []citronstream.BatchItem
	bytes, inputs := 0, 0
	for _, pa := range batch {
		jb := pa.jb
		jb.pending = jb.pending[len(pa.indexes):]
		for _, index := range pa.indexes {
			items = append(items, citronstream.BatchItem{
				RequestID: jb.ID, Stage: jb.Stage, Piece: jb.Pieces[index],
				Left: jb.at.Add(jb.Left).Sub(now), Key: jb.Key, Inputs: jb.Inputs,
			})
			bytes += jb.Bytes
			inputs += jb.InputBytes
		}
	}
	ow.waiting = slices.DeleteFunc(ow.waiting, func(jb *job) bool { return len(jb.pending) == 0 })
	sv.running++
	sv.used += bytes
	ow.counts.Batches++
	ow.counts.Items += uint64(len(items))
	sv.Begin()
	fetchTime := ow.fetchTimes.Time(inputs, ow.spec.LinkRate)
	ow.calls.Go(func() { ow.runBatch(sv, batch, items, bytes, fetchTime) })
}

// inputsRead records that an upstream has read the inputs of a running batch.
func (ow *Owner) inputsRead(batch []batchPart) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, pa := range batch {
		jb := pa.jb
		if jb.unread -= len(pa.indexes); jb.unread == 0 && !jb.ended && len(jb.Inputs) > 0 {
			jb.fetched()
		}
	}
}

// expected returns the time of a batch at an upstream of normal speed.
func expected(spec *citronstream.BatchSpec, items int) time.Duration {
	return spec.CallTime + time.Duration(items)*spec.ItemTime
}

func (ow *Owner) runBatch(sv *server, batch []batchPart, items []citronstream.BatchItem, bytes int, fetchTime time.Duration) {
	ow.mu.Lock()
	spec := ow.spec
	ow.mu.Unlock()
	normal := expected(&spec, len(items))
	ctx, cancel := context.WithCancel(ow.ctx)
	ow.calls.Go(func() { ow.watch(ctx, cancel, sv, normal) })
	began := ow.clk.Now()
	stop := func() bool { return true }
	if fetchTime > 0 {
		stop = ow.clk.AfterFunc(fetchTime, func() { ow.inputsRead(batch) }).Stop
	}
	results, refused, err := ow.batcher.Run(ctx, sv.Node, items)
	released := !stop()
	cancel()
	took := ow.clk.Since(began)
	sv.End()

	ow.mu.Lock()
	defer ow.mu.Unlock()
	sv.running--
	sv.used -= bytes
	now := ow.clk.Now()
	sv.idleSince = now
	switch {
	case refused && err != nil:
		ow.requeue(batch)
	case refused:
		ow.counts.Refused++
		sv.pausedUntil = now.Add(fullBackoff)
		ow.retry(batch, "refused")
	case err != nil:
		ow.counts.Broken++
		sv.ConnectionBroke(now)
		ow.log.Info("batch failed", "service", ow.service, "upstream", sv.ID, "items", len(items), "took", took.Round(time.Millisecond).String(), "reason", err.Error())
		ow.retry(batch, "broken")
	default:
		sv.RequestDone(float64(took) / float64(normal))
		sv.pace.done(float64(took)/float64(normal), now)
		ow.rate.addDone(now, len(items))
		ow.applyResults(sv, batch, results, now)
		if released {
			ow.fetchTimes.Adjust(slices.ContainsFunc(results, func(re citronstream.ItemResult) bool { return re.Fault == citronstream.ItemInputLost }))
		}
	}
	ow.dispatch()
}

// watch cancels a batch whose answer is not to be expected any more. A slow upstream that
// works on it is waited for: it would finish the batch all the same, and then begin with
// the next one that it was sent. Normal is the expected time of the batch.
func (ow *Owner) watch(ctx context.Context, cancel context.CancelFunc, sv *server, normal time.Duration) {
	began := ow.clk.Now()
	ow.mu.Lock()
	usual := time.Duration(sv.pace.value(began) * float64(normal))
	ow.mu.Unlock()
	limit := func(factor float64, normal time.Duration) time.Duration {
		return time.Duration(factor*float64(normal)) + timeoutExtra
	}
	for wait := limit(checkFactor, usual); ow.sleep(ctx, wait); wait = checkInterval {
		working, err := ow.batcher.Working(ctx, sv.Node)
		now := ow.clk.Now()
		took := now.Sub(began)
		if ctx.Err() != nil {
			return
		}
		ow.log.Info("batch overdue", "service", ow.service, "upstream", sv.ID, "took", took.Round(time.Millisecond).String(), "usual", usual.Round(time.Millisecond).String(), "working", working, "reason", fmt.Sprint(err))
		switch {
		case err == nil && !working:
			if ow.sleep(ctx, answerGrace) {
				cancel()
			}
			return
		case err != nil && took >= limit(timeoutFactor, usual), took >= max(limit(workingFactor, normal), limit(timeoutFactor, usual)):
			cancel()
			return
		case err == nil:
			ow.mu.Lock()
			sv.pace.overdue(float64(took)/float64(normal), now)
			ow.mu.Unlock()
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
func (ow *Owner) applyResults(sv *server, batch []batchPart, results []citronstream.ItemResult, now time.Time) {
	at := 0
	ow.sizeFactor = max(1, ow.sizeFactor*sizeDecay)
	for _, pa := range batch {
		failed := batchPart{jb: pa.jb}
		inputLost := false
		for _, index := range pa.indexes {
			re := results[at]
			at++
			switch re.Fault {
			case citronstream.ItemDone:
				ow.storeResult(sv, pa.jb, index, re.Handle, now)
			case citronstream.ItemInputLost:
				inputLost = true
			case citronstream.ItemNoMemory:
				ow.counts.NoMemory++
				sv.unknownBytes, sv.unknownAt = sv.unknownNow(now, ow.spec.ResultLife)+pa.jb.Bytes, now
				if !now.Before(sv.foreignUntil) { // else results of another owner may take the memory
					ow.sizeFactor = min(ow.sizeFactor*sizeGrowth, maxSizeFactor)
				}
				failed.indexes = append(failed.indexes, index)
			default:
				failed.indexes = append(failed.indexes, index)
			}
		}
		switch {
		case pa.jb.ended:
		case inputLost:
			ow.endJob(pa.jb, citronstream.JobResult{InputLost: true})
		case len(failed.indexes) > 0:
			ow.retry([]batchPart{failed}, "failed")
		case pa.jb.remaining == 0:
			ow.endJob(pa.jb, citronstream.JobResult{Handles: pa.jb.handles})
		}
	}
}

// storeResult records a result. If its job has ended, it is released at once.
func (ow *Owner) storeResult(sv *server, jb *job, index int, handle string, now time.Time) {
	if jb.ended {
		ow.release(sv.Node, []string{handle}, jb.Bytes)
	}
	sv.results[handle] = result{bytes: jb.Bytes, until: now.Add(ow.spec.ResultLife)}
	sv.used += jb.Bytes
	if !jb.ended {
		jb.handles[index] = handle
		jb.remaining--
	}
}

// retry requeues pieces within the limits of their jobs and the retry budget.
func (ow *Owner) retry(batch []batchPart, reason string) {
	for _, pa := range batch {
		jb := pa.jb
		if jb.ended {
			continue
		}
		if jb.unread <= 0 && len(jb.Inputs) > 0 {
			ow.endJob(jb, citronstream.JobResult{InputLost: true}) // they were released
			continue
		}
		if jb.repeats+len(pa.indexes) > maxRepeats*len(jb.Pieces) || !ow.budget.TakeAll(ow.service, len(pa.indexes)) {
			ow.log.Info("stage failed", "request", jb.ID, "stage", jb.Stage, "service", ow.service, "reason", reason, "repeats", jb.repeats)
			ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamFailed,
				"stage %d at service %s: %s, and no retry is left", jb.Stage, ow.service, reason)})
			continue
		}
		jb.repeats += len(pa.indexes)
		ow.counts.Repeated += uint64(len(pa.indexes))
		ow.requeue([]batchPart{pa})
	}
}

// requeue queues pieces that reached no upstream, or that may be sent again.
func (ow *Owner) requeue(batch []batchPart) {
	for _, pa := range batch {
		jb := pa.jb
		if jb.ended {
			continue
		}
		if len(jb.pending) == 0 {
			ow.waiting = append(ow.waiting, jb)
		}
		jb.pending = append(jb.pending, pa.indexes...)
		slices.Sort(jb.pending)
	}
}
