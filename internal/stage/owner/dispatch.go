package owner

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/stage/order"
)

// dispatch starts batches while an upstream is free. The caller holds the lock.
func (ow *Owner) dispatch() {
	now := ow.clk.Now()
	sorted := false
	for len(ow.waiting) > 0 && !ow.closed && !ow.held() {
		open := ow.openServers(now)
		if len(open) == 0 {
			return
		}
		if !sorted {
			ow.expire(now)
			ow.plan(now)
			sorted = true
		}
		sv, batch := ow.nextBatch(open, now)
		if sv == nil {
			return
		}
		ow.start(sv, batch, now)
	}
}

// plan sorts the jobs that wait.
func (ow *Owner) plan(now time.Time) {
	for _, jb := range ow.waiting {
		jb.Length, jb.Begun = len(jb.pending), len(jb.pending) < len(jb.Pieces)
	}
	ow.setAlone()
	order.Plan(ow.waiting, func(jb *job) *order.Priority { return &jb.Priority }, ow.rate.value(now, ow.idealRate(now)), now)
}

// openServers returns the upstreams that have memory for a batch of the smallest
// results that wait, or for the rest of a job that has begun.
func (ow *Owner) openServers(now time.Time) []*server {
	pending, smallest := 0, math.MaxInt
	var begun *job
	for _, jb := range ow.waiting {
		pending, smallest = pending+len(jb.pending), min(smallest, jb.Bytes)
		if len(jb.pending) < len(jb.Pieces) && (begun == nil || len(jb.pending)*jb.Bytes < len(begun.pending)*begun.Bytes) {
			begun = jb
		}
	}
	open := ow.openBuf[:0]
	for _, sv := range ow.list {
		if !ow.available(sv, now) || !ow.wanted(sv, pending, now) {
			continue
		}
		sv.minRoom = ow.minBatchRoom(sv, pending, now)
		if ow.roomFor(sv, smallest, 0, now) >= sv.minRoom || begun != nil && ow.fits(sv, begun, now) {
			open = append(open, sv)
		}
	}
	ow.openBuf = open
	return open
}

// expire ends the jobs that can no longer be answered in time.
func (ow *Owner) expire(now time.Time) {
	soon := ow.runsSoon(now)
	for _, jb := range slices.Clone(ow.waiting) {
		if jb.allRunning(jb.pending) {
			if jb.stale(now) || now.After(jb.End) {
				ow.withdraw(jb, jb.pending)
			}
			continue
		}
		if jb.stale(now) {
			ow.endStale(jb, now)
			continue
		}
		if jb.Late(now) && now.Sub(jb.Last) > maxLateWait && (!soon || now.Sub(jb.at) > minWait) && len(jb.pending) == len(jb.Pieces) && len(jb.calls) == 0 {
			ow.counts.Overloaded++
			ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded,
				"late, and waited %v for service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
			continue
		}
		if now.After(jb.End) {
			ow.counts.Expired++
			ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline,
				"waited %v for service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
		}
	}
}

// runsSoon reports whether the jobs that can be in time take no longer than a batch, so
// that late ones run after it.
func (ow *Owner) runsSoon(now time.Time) bool {
	pieces := 0
	for _, jb := range ow.waiting {
		if !jb.Late(now) {
			pieces += len(jb.pending)
		}
	}
	return float64(pieces) <= ow.rate.value(now, ow.idealRate(now))*minWait.Seconds()
}

// stale reports whether the inputs of a job have expired.
func (jb *job) stale(now time.Time) bool { return jb.InputTTL > 0 && now.Sub(jb.at) > jb.InputTTL }

// endStale ends a job whose inputs have expired. They are recomputed only for a
// request that can still reach its target.
func (ow *Owner) endStale(jb *job, now time.Time) {
	if !jb.Behind(now) {
		ow.endJob(jb, citronstream.JobResult{InputLost: true})
		return
	}
	ow.counts.Overloaded++
	ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded,
		"late, and its inputs expired after %v in the queue of service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
}

// nextBatch chooses an upstream for the first job that fits one, and fills its
// batch.
func (ow *Owner) nextBatch(open []*server, now time.Time) (*server, []batchPart) {
	zones, bl, ahead := ow.zones(now), ow.backlog(now), 0
	for _, jb := range ow.waiting {
		var best *server
		for _, sv := range open {
			if !ow.allowed(sv, jb, zones, now) || !ow.fits(sv, jb, now) || !ow.mayTake(&bl, sv, jb, ahead, now) {
				continue
			}
			if best == nil || ow.preferred(sv, best, jb, &bl) {
				best = sv
			}
		}
		if best != nil {
			return best, ow.fill(best, zones, &bl, now)
		}
		ahead += len(jb.pending)
	}
	return nil, nil
}

// mayTake reports whether an upstream is fast enough for a job.
func (ow *Owner) mayTake(bl *backlog, sv *server, jb *job, ahead int, now time.Time) bool {
	pace := sv.expects
	return bl.mayTake(jb, pace, extraTime(&ow.spec, ow.spec.Items, pace), ahead, now)
}

// fits reports whether an upstream has the memory to begin a batch with a job. The rest
// of one that has begun needs no more than its own results take.
func (ow *Owner) fits(sv *server, jb *job, now time.Time) bool {
	needs := sv.minRoom
	if len(jb.pending) < len(jb.Pieces) {
		needs = min(needs, len(jb.pending))
	}
	room := ow.roomFor(sv, jb.Bytes, 0, now)
	return room >= needs && (room >= len(jb.pending) || ow.roomForAll(jb, now))
}

func (ow *Owner) available(sv *server, now time.Time) bool {
	return sv.running < ow.spec.Calls && now.After(sv.pausedUntil) && !sv.Avoided(now)
}

// allowed reports whether an upstream may take a job that waits. Pieces of an overdue
// call go to any other upstream, of any zone.
func (ow *Owner) allowed(sv *server, jb *job, zones map[string]*zone, now time.Time) bool {
	if slices.ContainsFunc(jb.pending, jb.running) {
		return !jb.occupies(sv, jb.pending)
	}
	return ow.mayRefuse(sv, jb, now) && ow.zoneAllowed(sv, jb, zones, now)
}

// preferred reports whether a is better than b for the first job of a batch.
func (ow *Owner) preferred(a, b *server, jb *job, bl *backlog) bool {
	if (a.backoff == 0) != (b.backoff == 0) {
		return a.backoff == 0
	}
	if a.expects > slowPace*b.expects || b.expects > slowPace*a.expects {
		return a.expects < b.expects
	}
	if jb.Zone != "" && (a.Zone == jb.Zone) != (b.Zone == jb.Zone) {
		return a.Zone == jb.Zone
	}
	if a.says && b.says {
		if endA, endB := ow.batchTime(a, bl), ow.batchTime(b, bl); max(endA-endB, endB-endA) > paceDelay {
			return endA < endB
		}
	}
	return a.used < b.used
}

// batchPart is the pieces of one job in a batch.
type batchPart struct {
	jb      *job
	indexes []int
}

// fill selects the pieces of an upstream's batch in the order of the jobs, with
// a preference of zoneDelay for jobs of its zone.
func (ow *Owner) fill(sv *server, zones map[string]*zone, bl *backlog, now time.Time) []batchPart {
	var batch []batchPart
	items, bytes, ahead := 0, 0, 0
	most := ow.spec.Items
	if sv.refused {
		most = 1 // it may refuse again, which uses up the retries of what is sent
	}
	for jb := range ow.inOrder(sv, now) {
		if !ow.allowed(sv, jb, zones, now) || !ow.mayTake(bl, sv, jb, ahead, now) {
			ahead += len(jb.pending)
			continue
		}
		count := min(len(jb.pending), most-items, ow.roomFor(sv, jb.Bytes, bytes, now))
		if count < len(jb.pending) && (len(jb.pending) <= ow.spec.Items && items > 0 || !ow.roomForAll(jb, now)) {
			continue // a split job waits for two batches, and its first results for memory for the others
		}
		if count <= 0 {
			continue
		}
		batch = append(batch, batchPart{jb, slices.Clone(jb.pending[:count])})
		items, bytes = items+count, bytes+count*jb.Bytes
		if items == most {
			break
		}
	}
	return batch
}

// inOrder merges the jobs for an upstream's zone with the others, which count as
// due zoneDelay later. Both are sorted already.
func (ow *Owner) inOrder(sv *server, now time.Time) iter.Seq[*job] {
	return func(yield func(*job) bool) {
		own, other := ow.nextIndex(0, sv, true), ow.nextIndex(0, sv, false)
		for own < len(ow.waiting) || other < len(ow.waiting) {
			next := &own
			if own == len(ow.waiting) || other < len(ow.waiting) && order.Compare(delayed(ow.waiting[other]), &ow.waiting[own].Priority, now) < 0 {
				next = &other
			}
			if !yield(ow.waiting[*next]) {
				return
			}
			*next = ow.nextIndex(*next+1, sv, next == &own)
		}
	}
}

// nextIndex returns the first index from the given one whose job is (own) or is
// not (!own) for the upstream's zone.
func (ow *Owner) nextIndex(index int, sv *server, own bool) int {
	for index < len(ow.waiting) {
		if jb := ow.waiting[index]; (jb.Zone == "" || jb.Zone == sv.Zone) == own {
			break
		}
		index++
	}
	return index
}

func delayed(jb *job) *order.Priority {
	pr := jb.Priority
	pr.Due = pr.Due.Add(zoneDelay)
	return &pr
}
