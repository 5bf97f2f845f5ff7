package owner

import (
	"math"
	"time"
)

// Load pattern: an upstream turns slow under a batch, says so, and others of its service
// have nothing to do.

// rescueMargin is how much earlier than needed a batch has to end elsewhere to be run again
// there, and how much later than needed here: both are estimates.
const rescueMargin = 50 * time.Millisecond

// rescue runs the pieces of running batches again that end too late where they are, by what
// their upstreams say now, and in time at another one that is free. Only while no job
// waits: pieces that run twice take the place of others.
func (ow *Owner) rescue(now time.Time) {
	if len(ow.waiting) > 0 || ow.closed || ow.held() {
		return
	}
	rescued := false
	for _, sv := range ow.list {
		for _, cl := range sv.batches {
			if cl.overdue || !sv.saysPace(now) {
				continue
			}
			pace := ow.paceNow(sv, now)
			if pace >= slowPace*cl.expects && ow.rescueCall(cl, cl.remaining(pace, now), now) {
				rescued = true
				ow.log.Info("batch run again elsewhere", "service", ow.service, "upstream", sv.ID, "began", now.Sub(cl.began).Round(time.Millisecond).String(), "pace", math.Round(pace*100)/100)
			}
		}
	}
	if rescued {
		ow.dispatch()
	}
}

// remaining returns how much longer a batch takes at this pace, if it went at the expected
// one until now.
func (cl *call) remaining(pace float64, now time.Time) time.Duration {
	done := float64(now.Sub(cl.began)) / max(1, cl.expects)
	return time.Duration(max(0, float64(cl.normal)-done) * pace)
}

// rescueCall queues the pieces of a batch again whose jobs it would make late, and reports
// whether it did for any.
func (ow *Owner) rescueCall(cl *call, remaining time.Duration, now time.Time) (rescued bool) {
	for _, pa := range cl.parts {
		jb := pa.jb
		due := jb.Last.Add(jb.Margin + expected(&ow.spec, ow.spec.Items))
		if jb.ended || jb.inputsGone || len(jb.pending) > 0 || now.Add(remaining).Before(due.Add(rescueMargin)) {
			continue
		}
		if !ow.endsElsewhere(cl, jb, len(pa.indexes), due.Add(-rescueMargin), now) {
			continue
		}
		cl.overdue, cl.rescued = true, true
		_, late := jb.missing(pa.indexes)
		if before := ow.counts.Repeated; len(late) > 0 {
			ow.takeOver(jb, late, now)
			ow.counts.Rescued += ow.counts.Repeated - before
			rescued = rescued || ow.counts.Repeated > before
		}
	}
	return rescued
}

// endsElsewhere reports whether another upstream that is free would end pieces of a job
// before a time.
func (ow *Owner) endsElsewhere(cl *call, jb *job, pieces int, before, now time.Time) bool {
	for _, sv := range ow.list {
		took := time.Duration(ow.paceNow(sv, now) * float64(expected(&ow.spec, pieces)))
		if sv != cl.sv && ow.available(sv, now) && ow.roomFor(sv, jb.Bytes, 0, now) >= pieces && now.Add(took).Before(before) {
			return true
		}
	}
	return false
}
