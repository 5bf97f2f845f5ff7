package owner

import (
	"context"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// An overdue call goes on while its pieces are queued for another upstream, as that one may
// refuse them. The first result of a piece is used.

// call is a batch at an upstream.
type call struct {
	sv    *server
	parts []batchPart
	// said is the pace that the upstream had just said, or 0, forecast what that let expect.
	said, forecast float64
	began          time.Time
	normal         time.Duration // expected at the usual pace
	expects        float64       // pace that was expected when it began
	bytes          int           // of its results
	read           bool          // the upstream has read its inputs
	overdue        bool
	rescued        bool // its upstream works on it, see rescue
	vacated        bool // it takes no place at the upstream any more
	cancel         context.CancelFunc
}

// replace takes over the pieces of an overdue call, as far as possible. Lost says that the
// upstream works on nothing, unreached that it did not say anything.
func (ow *Owner) replace(ctx context.Context, cl *call, lost, unreached bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now, began := ow.clk.Now(), !cl.overdue || cl.rescued
	cl.overdue, cl.rescued = true, false
	if lost {
		ow.vacate(cl, now)
	}
	for _, pa := range cl.parts {
		jb := pa.jb
		_, late := jb.missing(pa.indexes)
		switch {
		case jb.ended:
		case now.After(jb.at.Add(jb.Left)):
			ow.counts.Expired++
			ow.endJob(jb, citronstream.JobResult{Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeDeadline,
				"waited %v for an upstream of service %s", now.Sub(jb.at).Round(time.Millisecond), ow.service)})
		case jb.inputsGone && (lost || unreached) && len(late) > 0 && ow.replaceable(jb, late, now):
			ow.endJob(jb, citronstream.JobResult{InputLost: true})
		default:
			ow.takeOver(jb, late, now)
		}
	}
	if !cl.needed() {
		cl.cancel()
	}
	if began {
		cl.sv.ConnectionBroke(now)
	}
	ow.dispatch()
}

// takeOver queues pieces of overdue calls again, if they may be repeated and another
// upstream could take them in time.
func (ow *Owner) takeOver(jb *job, late []int, now time.Time) {
	if len(late) > 0 && !ow.closed && !jb.inputsGone && !jb.stale(now) && !now.After(jb.End) && ow.replaceable(jb, late, now) {
		ow.repeat(jb, late, now)
	}
}

// replaceable reports whether an upstream in use has none of the pieces.
func (ow *Owner) replaceable(jb *job, indexes []int, now time.Time) bool {
	return slices.ContainsFunc(ow.list, func(sv *server) bool { return !sv.Avoided(now) && !jb.occupies(sv, indexes) })
}

// letGo cancels the overdue calls of a job that no job needs any more.
func (ow *Owner) letGo(jb *job) {
	for _, cl := range jb.calls {
		// An upstream that works on a batch would finish it all the same, and run the next
		// one only then.
		if cl.overdue && !cl.rescued && !cl.needed() {
			cl.cancel()
		}
	}
}

// vacate frees the place and the memory of a call at its upstream.
func (ow *Owner) vacate(cl *call, now time.Time) {
	if cl.vacated {
		return
	}
	cl.vacated = true
	cl.sv.batches = slices.DeleteFunc(cl.sv.batches, func(other *call) bool { return other == cl })
	cl.sv.running--
	cl.sv.used -= cl.bytes
	cl.sv.idleSince = now
}

// detach removes a call that has ended from its jobs.
func (cl *call) detach() {
	for _, pa := range cl.parts {
		pa.jb.calls = slices.DeleteFunc(pa.jb.calls, func(other *call) bool { return other == cl })
	}
}

// needed reports whether a piece of the call is without a result.
func (cl *call) needed() bool {
	return slices.ContainsFunc(cl.parts, func(pa batchPart) bool {
		return !pa.jb.ended && slices.ContainsFunc(pa.indexes, func(index int) bool { return !pa.jb.has(index) })
	})
}

// runs reports whether the call has a piece.
func (cl *call) runs(jb *job, index int) bool {
	return slices.ContainsFunc(cl.parts, func(pa batchPart) bool { return pa.jb == jb && slices.Contains(pa.indexes, index) })
}

// has reports whether a piece has a result.
func (jb *job) has(index int) bool { return jb.handles[index] != "" }

// running reports whether a call runs a piece.
func (jb *job) running(index int) bool {
	return slices.ContainsFunc(jb.calls, func(cl *call) bool { return cl.runs(jb, index) })
}

func (jb *job) allRunning(indexes []int) bool {
	return !slices.ContainsFunc(indexes, func(index int) bool { return !jb.running(index) })
}

// occupies reports whether one of the pieces has a place at an upstream.
func (jb *job) occupies(sv *server, indexes []int) bool {
	return slices.ContainsFunc(jb.calls, func(cl *call) bool {
		return cl.sv == sv && !cl.vacated && slices.ContainsFunc(indexes, func(index int) bool { return cl.runs(jb, index) })
	})
}

// unfinished returns the pieces without a result.
func (jb *job) unfinished() (indexes []int) {
	for index := range jb.handles {
		if !jb.has(index) {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// missing returns those of the pieces that have no result and don't wait: the ones that no
// call runs, and the ones whose calls are all overdue.
func (jb *job) missing(indexes []int) (alone, late []int) {
	for _, index := range indexes {
		switch {
		case jb.has(index) || slices.Contains(jb.pending, index):
		case !jb.running(index):
			alone = append(alone, index)
		case !slices.ContainsFunc(jb.calls, func(cl *call) bool { return !cl.overdue && cl.runs(jb, index) }):
			late = append(late, index)
		}
	}
	return alone, late
}
