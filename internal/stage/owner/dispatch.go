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
	for len(ow.waiting) > 0 {
		open := ow.open(now)
		if len(open) == 0 {
			return
		}
		if !sorted {
			ow.expire(now)
			slices.SortStableFunc(ow.waiting, func(a, b *job) int { return order.Compare(a.Entry, b.Entry, now) })
			sorted = true
		}
		sv, batch := ow.next(open, now)
		if sv == nil {
			return
		}
		ow.start(sv, batch, now)
	}
}

// open returns the upstreams that can take a batch of the smallest results that wait.
func (ow *Owner) open(now time.Time) []*server {
	pending, smallest := 0, math.MaxInt
	for _, jb := range ow.waiting {
		pending, smallest = pending+len(jb.pending), min(smallest, jb.Bytes)
	}
	open := ow.spare[:0]
	for _, sv := range ow.list {
		if !ow.free(sv, now) {
			continue
		}
		sv.least = ow.least(sv, pending, now)
		if ow.room(sv, smallest, 0, now) >= sv.least {
			open = append(open, sv)
		}
	}
	ow.spare = open
	return open
}

// expire ends the jobs that can no longer be answered in time.
func (ow *Owner) expire(now time.Time) {
	for _, jb := range slices.Clone(ow.waiting) {
		if jb.InputTTL > 0 && now.Sub(jb.at) > jb.InputTTL {
			ow.stale(jb, now)
			continue
		}
		if jb.Late(now) && now.Sub(jb.Start) > lateWait && len(jb.pending) == len(jb.Pieces) {
			ow.counts.Overloaded++
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded,
				"late, and waited %v for service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
			continue
		}
		if now.After(jb.End) {
			ow.counts.Expired++
			ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline,
				"waited %v for service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
		}
	}
}

// stale ends a job whose inputs have expired. To make them again helps only a
// request that can still reach its target.
func (ow *Owner) stale(jb *job, now time.Time) {
	if !jb.Late(now) {
		ow.end(jb, citronstream.JobResult{InputLost: true})
		return
	}
	ow.counts.Overloaded++
	ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded,
		"late, and its inputs expired after %v in the queue of service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
}

// next chooses an open upstream for the first job that fits one, and fills its batch.
func (ow *Owner) next(open []*server, now time.Time) (*server, []part) {
	zones := ow.zones(now)
	for _, jb := range ow.waiting {
		var best *server
		for _, sv := range open {
			if !ow.allowed(sv, jb, zones, now) || ow.room(sv, jb.Bytes, 0, now) < sv.least {
				continue
			}
			if best == nil || ow.prefer(sv, best, jb) {
				best = sv
			}
		}
		if best != nil {
			return best, ow.fill(best, zones, now)
		}
	}
	return nil, nil
}

func (ow *Owner) free(sv *server, now time.Time) bool {
	return sv.running < ow.spec.Calls && now.After(sv.until) && !sv.Avoided(now)
}

// allowed reports whether an upstream may take a job in view of the zones.
// Large results cross zones only for a request that would miss its target
// if it waited for an upstream in its zone to end a batch.
func (ow *Owner) allowed(sv *server, jb *job, zones map[string]bool, now time.Time) bool {
	if jb.Zone == "" || sv.Zone == jb.Zone || jb.CrossZoneBytes < crossFree || !zones[jb.Zone] {
		return true
	}
	left := jb.Start.Add(jb.Margin).Sub(now)
	return left < 3*expected(&ow.spec, ow.spec.Items)/2 && !jb.Late(now)
}

// zones returns the zones that have an upstream that takes batches.
func (ow *Owner) zones(now time.Time) map[string]bool {
	zones := make(map[string]bool)
	for _, sv := range ow.list {
		if !sv.Avoided(now) {
			zones[sv.Zone] = true
		}
	}
	return zones
}

// room returns the number of results of a size that fit into an upstream's
// memory beside the bytes that a batch takes already.
func (ow *Owner) room(sv *server, bytes, taken int, now time.Time) int {
	if ow.spec.ResultBytes <= 0 || bytes <= 0 {
		return ow.spec.Items
	}
	free := ow.spec.ResultBytes - sv.used - taken - sv.others(now, ow.spec.ResultLife)
	return max(0, int(float64(free)/(float64(bytes)*ow.size)))
}

// least returns the results for which an upstream must have room before it
// gets a batch. With a backlog and little memory a batch of a few items would
// take the upstream for the time of a call, while memory is about to be released.
func (ow *Owner) least(sv *server, pending int, now time.Time) int {
	if now.Sub(sv.idle) > ow.spec.CallTime {
		return 1
	}
	return max(1, min(pending, ow.spec.Items)/2)
}

// prefer reports whether a is better than b for the job that leads a batch.
func (ow *Owner) prefer(a, b *server, jb *job) bool {
	if jb.Zone != "" && (a.Zone == jb.Zone) != (b.Zone == jb.Zone) {
		return a.Zone == jb.Zone
	}
	if slowA, slowB := a.Slowness(), b.Slowness(); slowA > 1.5*slowB || slowB > 1.5*slowA {
		return slowA < slowB
	}
	return a.used < b.used
}

// part is what a batch takes of a job.
type part struct {
	jb     *job
	places []int
}

// fill composes the batch of an upstream in the order of the jobs, those whose
// inputs lie in its zone a little ahead.
func (ow *Owner) fill(sv *server, zones map[string]bool, now time.Time) []part {
	var batch []part
	items, bytes := 0, 0
	for jb := range ow.inOrder(sv, now) {
		if !ow.allowed(sv, jb, zones, now) {
			continue
		}
		count := min(len(jb.pending), ow.spec.Items-items, ow.room(sv, jb.Bytes, bytes, now))
		if count < len(jb.pending) && len(jb.pending) <= ow.spec.Items && items > 0 {
			continue // a job that is split waits for two batches
		}
		if count <= 0 {
			continue
		}
		batch = append(batch, part{jb, slices.Clone(jb.pending[:count])})
		items, bytes = items+count, bytes+count*jb.Bytes
		if items == ow.spec.Items {
			break
		}
	}
	return batch
}

// inOrder merges the jobs for an upstream's zone with the others, which count
// as due a little later. Both are in order already.
func (ow *Owner) inOrder(sv *server, now time.Time) iter.Seq[*job] {
	return func(yield func(*job) bool) {
		own, other := ow.from(0, sv, true), ow.from(0, sv, false)
		for own < len(ow.waiting) || other < len(ow.waiting) {
			at := &own
			if own == len(ow.waiting) || other < len(ow.waiting) && order.Compare(shifted(ow.waiting[other]), ow.waiting[own].Entry, now) < 0 {
				at = &other
			}
			if !yield(ow.waiting[*at]) {
				return
			}
			*at = ow.from(*at+1, sv, at == &own)
		}
	}
}

// from returns the first place at or after one with a job that is, or is not, for the upstream's zone.
func (ow *Owner) from(place int, sv *server, own bool) int {
	for place < len(ow.waiting) {
		if jb := ow.waiting[place]; (jb.Zone == "" || jb.Zone == sv.Zone) == own {
			break
		}
		place++
	}
	return place
}

func shifted(jb *job) order.Entry {
	en := jb.Entry
	en.Due = en.Due.Add(zoneCost)
	return en
}
