package owner

import (
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/stage/order"
)

// dispatch starts batches while an upstream is free. The caller holds the lock.
func (ow *Owner) dispatch() {
	now := ow.clk.Now()
	ow.expire(now)
	for len(ow.waiting) > 0 {
		slices.SortStableFunc(ow.waiting, func(a, b *job) int { return order.Compare(a.Entry, b.Entry, now) })
		sv, batch := ow.next(now)
		if sv == nil {
			return
		}
		ow.start(sv, batch, now)
	}
}

// expire ends the jobs that can no longer be answered in time.
func (ow *Owner) expire(now time.Time) {
	for _, jb := range slices.Clone(ow.waiting) {
		if jb.Fresh > 0 && now.Sub(jb.at) > jb.Fresh {
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
		ow.end(jb, citronstream.JobResult{InputGone: true})
		return
	}
	ow.counts.Overloaded++
	ow.end(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded,
		"late, and its inputs expired after %v in the queue of service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
}

// next chooses an upstream for the first job that fits one, and fills its batch.
func (ow *Owner) next(now time.Time) (*server, []part) {
	for _, jb := range ow.waiting {
		var best *server
		for _, sv := range ow.list {
			if !ow.free(sv, now) || !ow.allowed(sv, jb, now) || ow.room(sv, jb.Bytes, 0, now) < ow.least(sv, now) {
				continue
			}
			if best == nil || ow.prefer(sv, best, jb) {
				best = sv
			}
		}
		if best != nil {
			return best, ow.fill(best, now)
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
func (ow *Owner) allowed(sv *server, jb *job, now time.Time) bool {
	if jb.Zone == "" || sv.Zone == jb.Zone || jb.Cross < crossFree || !ow.has(jb.Zone, now) {
		return true
	}
	left := jb.Start.Add(jb.Margin).Sub(now)
	return left < 3*expected(&ow.spec, ow.spec.Items)/2 && !jb.Late(now)
}

// has reports whether a zone has an upstream that takes batches.
func (ow *Owner) has(zone string, now time.Time) bool {
	return slices.ContainsFunc(ow.list, func(sv *server) bool { return sv.Zone == zone && !sv.Avoided(now) })
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
func (ow *Owner) least(sv *server, now time.Time) int {
	pending := 0
	for _, jb := range ow.waiting {
		pending += len(jb.pending)
	}
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
func (ow *Owner) fill(sv *server, now time.Time) []part {
	jobs := slices.Clone(ow.waiting)
	slices.SortStableFunc(jobs, func(a, b *job) int {
		return order.Compare(ow.shifted(a, sv), ow.shifted(b, sv), now)
	})
	var batch []part
	items, bytes := 0, 0
	for _, jb := range jobs {
		if !ow.allowed(sv, jb, now) {
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

func (ow *Owner) shifted(jb *job, sv *server) order.Entry {
	en := jb.Entry
	if jb.Zone != "" && jb.Zone != sv.Zone {
		en.Due = en.Due.Add(zoneCost)
	}
	return en
}
