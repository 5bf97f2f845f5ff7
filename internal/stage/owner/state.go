package owner

import (
	"time"

	"github.com/citronstream/citronstream"
)

// Counts are the counters of an Owner. Rescued pieces are among the repeated ones; unused
// results came when another one or the end of their job had come. Contested counts the
// batches that met one of another owner.
type Counts struct {
	Batches, Items, Refused, Broken, NoMemory, Repeated, Expired, Overloaded, Rescued, Unused, Contested uint64
}

// Counts returns the counters.
func (ow *Owner) Counts() Counts {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.counts
}

// State is a snapshot of the queue.
type State struct {
	Counts
	Jobs, Waiting, Late, Pending int // all jobs, queued jobs, late ones of these, and pieces that wait
	Upstreams, Busy              int
	Used                         float64 // share of the upstreams' memory for results
}

// State returns the state of the queue.
func (ow *Owner) State() State {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	st := State{Counts: ow.counts, Jobs: len(ow.jobs), Waiting: len(ow.waiting), Upstreams: len(ow.list)}
	for _, jb := range ow.waiting {
		st.Pending += len(jb.pending)
		if now.After(jb.Last) {
			st.Late++
		}
	}
	for _, sv := range ow.list {
		if sv.running > 0 {
			st.Busy++
		}
		if ow.spec.ResultBytes > 0 {
			st.Used += float64(sv.used) / float64(ow.spec.ResultBytes) / float64(len(ow.list))
		}
	}
	return st
}

// Load returns the load that is reported to peers.
func (ow *Owner) Load() citronstream.QueueLoad {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	now := ow.clk.Now()
	ql := citronstream.QueueLoad{Rate: ow.rate.value(now, ow.idealRate(now)), Arrivals: ow.arrivals.value(now)}
	if first, paused := ow.pausedUntil(now); paused {
		ql.Pause, ql.Rate = first.Sub(now), ow.idealRate(first.Add(expected(&ow.spec, ow.spec.Items)))
	}
	for _, jb := range ow.waiting {
		if jb.Behind(now) {
			ql.Late += len(jb.pending)
			continue
		}
		ql.Add(jb.Priority.RouteRank, jb.Due.Sub(now), len(jb.pending))
	}
	return ql
}

// idealRate returns the pieces per second that the upstreams that get work at a time compute
// with full batches.
func (ow *Owner) idealRate(at time.Time) float64 {
	return ow.rateOf(at, func(sv *server) bool { return !sv.FreeAt(at).After(at) })
}

// settledRate is idealRate without the upstreams that got work again a batch ago or later:
// they have done nothing yet.
func (ow *Owner) settledRate(now time.Time) float64 {
	full := expected(&ow.spec, ow.spec.Items)
	return ow.rateOf(now, func(sv *server) bool {
		if at := sv.FreeAt(now); at.After(now) {
			sv.backAt = at
			return false
		}
		return now.Sub(sv.backAt) >= full
	})
}

func (ow *Owner) rateOf(at time.Time, counts func(sv *server) bool) float64 {
	full := expected(&ow.spec, ow.spec.Items).Seconds()
	sum := 0.0
	for _, sv := range ow.list {
		if counts(sv) {
			sum += float64(ow.spec.Items*ow.spec.Calls) / (full * ow.paceNow(sv, at))
		}
	}
	return sum
}
