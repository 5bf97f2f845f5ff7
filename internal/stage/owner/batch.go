package owner

import (
	"context"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// start sends a batch. The caller holds the lock.
func (ow *Owner) start(sv *server, batch []part, now time.Time) {
	var items []citronstream.BatchItem
	bytes, inputs := 0, 0
	for _, pa := range batch {
		jb := pa.jb
		jb.pending = jb.pending[len(pa.places):]
		for _, place := range pa.places {
			items = append(items, citronstream.BatchItem{
				RequestID: jb.ID, Stage: jb.Stage, Piece: jb.Pieces[place],
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
	fetch := ow.patience.Time(inputs, ow.spec.LinkRate)
	ow.calls.Go(func() { ow.call(sv, batch, items, bytes, fetch) })
}

// read notes that an upstream has read the inputs of a batch that it works on.
func (ow *Owner) read(batch []part) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	for _, pa := range batch {
		jb := pa.jb
		if jb.unread -= len(pa.places); jb.unread == 0 && !jb.ended && len(jb.Inputs) > 0 {
			jb.fetched()
		}
	}
}

// expected returns the time of a batch at an upstream of ordinary speed.
func expected(spec *citronstream.BatchSpec, items int) time.Duration {
	return spec.CallTime + time.Duration(items)*spec.ItemTime
}

func (ow *Owner) call(sv *server, batch []part, items []citronstream.BatchItem, bytes int, fetch time.Duration) {
	ow.mu.Lock()
	spec := ow.spec
	ow.mu.Unlock()
	normal := expected(&spec, len(items))
	most := time.Duration(lateFactor*max(1, sv.Slowness())*float64(normal)) + lateExtra
	ctx, cancel := context.WithCancel(ow.ctx)
	timer := ow.clk.AfterFunc(most, cancel)
	began := ow.clk.Now()
	stop := func() bool { return true }
	if fetch > 0 {
		stop = ow.clk.AfterFunc(fetch, func() { ow.read(batch) }).Stop
	}
	results, refused, err := ow.batcher.Run(ctx, sv.Node, items)
	timer.Stop()
	wasRead := !stop()
	cancel()
	took := ow.clk.Since(began)
	sv.End()

	ow.mu.Lock()
	defer ow.mu.Unlock()
	sv.running--
	sv.used -= bytes
	now := ow.clk.Now()
	sv.idle = now
	switch {
	case refused && err != nil:
		ow.requeue(batch)
	case refused:
		ow.counts.Refused++
		sv.until = now.Add(fullPause)
		ow.again(batch, "refused")
	case err != nil:
		ow.counts.Broken++
		sv.Broke(now)
		ow.log.Info("batch broken", "service", ow.service, "upstream", sv.ID, "items", len(items), "took", took.Round(time.Millisecond).String(), "reason", err.Error())
		ow.again(batch, "broken")
	default:
		sv.Done(float64(took) / float64(normal))
		ow.rate.made(now, len(items))
		ow.settle(sv, batch, results, now)
		if wasRead {
			ow.patience.Learn(slices.ContainsFunc(results, func(re citronstream.ItemResult) bool { return re.Fault == citronstream.ItemInputLost }))
		}
	}
	ow.dispatch()
}

// settle takes the results of a batch.
func (ow *Owner) settle(sv *server, batch []part, results []citronstream.ItemResult, now time.Time) {
	at := 0
	ow.size = max(1, ow.size*sizeDecay)
	for _, pa := range batch {
		failed := part{jb: pa.jb}
		gone := false
		for _, place := range pa.places {
			re := results[at]
			at++
			switch re.Fault {
			case citronstream.ItemDone:
				ow.keep(sv, pa.jb, place, re.Handle, now)
			case citronstream.ItemInputLost:
				gone = true
			case citronstream.ItemNoMemory:
				ow.counts.NoRoom++
				sv.foreign, sv.foreignAt = sv.others(now, ow.spec.ResultLife)+pa.jb.Bytes, now
				ow.size = min(ow.size*sizeStep, maxSize)
				failed.places = append(failed.places, place)
			default:
				failed.places = append(failed.places, place)
			}
		}
		switch {
		case pa.jb.ended:
		case gone:
			ow.end(pa.jb, citronstream.JobResult{InputLost: true})
		case len(failed.places) > 0:
			ow.again([]part{failed}, "failed")
		case pa.jb.left == 0:
			ow.end(pa.jb, citronstream.JobResult{Handles: pa.jb.handles})
		}
	}
}

// keep notes a result. That of a job that has ended is released at once.
func (ow *Owner) keep(sv *server, jb *job, place int, handle string, now time.Time) {
	if jb.ended {
		ow.release(sv.Node, []string{handle})
	}
	sv.results[handle] = result{bytes: jb.Bytes, until: now.Add(ow.spec.ResultLife)}
	sv.used += jb.Bytes
	if !jb.ended {
		jb.handles[place] = handle
		jb.left--
	}
}

// again queues pieces once more, as far as their jobs allow.
func (ow *Owner) again(batch []part, why string) {
	for _, pa := range batch {
		jb := pa.jb
		if jb.ended {
			continue
		}
		if jb.unread <= 0 && len(jb.Inputs) > 0 {
			ow.end(jb, citronstream.JobResult{InputLost: true}) // they were given up
			continue
		}
		if jb.repeats+len(pa.places) > maxRepeats*len(jb.Pieces) || ow.budget.Take(ow.service, len(pa.places)) < len(pa.places) {
			ow.log.Info("stage given up", "request", jb.ID, "stage", jb.Stage, "service", ow.service, "reason", why, "repeats", jb.repeats)
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamFailed,
				"stage %d at service %s: %s, and no repeat is left", jb.Stage, ow.service, why)})
			continue
		}
		jb.repeats += len(pa.places)
		ow.counts.Repeated += uint64(len(pa.places))
		ow.requeue([]part{pa})
	}
}

// requeue queues the pieces of a batch that no upstream was handed, or that
// may be sent once more.
func (ow *Owner) requeue(batch []part) {
	for _, pa := range batch {
		jb := pa.jb
		if jb.ended {
			continue
		}
		if len(jb.pending) == 0 {
			ow.waiting = append(ow.waiting, jb)
		}
		jb.pending = append(jb.pending, pa.places...)
		slices.Sort(jb.pending)
	}
}
