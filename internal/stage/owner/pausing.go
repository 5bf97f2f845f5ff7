package owner

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// Load pattern: all upstreams of a stage ask for a pause under load.

// returnSpread is the time over which the jobs that are refused in a pause are told to come
// back after its end, so that they do not come at once.
const returnSpread = time.Second

// pausedUntil returns when the first upstream takes work again, if none does now and at least
// one has asked for a pause; else false.
func (ow *Owner) pausedUntil(now time.Time) (first time.Time, paused bool) {
	for _, sv := range ow.list {
		at := sv.FreeAt(now)
		if !at.After(now) {
			return time.Time{}, false
		}
		if _, asked := sv.Self.Paused(now); asked {
			paused = true
		}
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first, paused
}

// refusePaused ends the jobs that no upstream can begin in time after the pause. They would
// wait for nothing. The caller holds the lock.
func (ow *Owner) refusePaused(now time.Time) {
	first, paused := ow.pausedUntil(now)
	ow.logPause(first, paused, now)
	if !paused {
		return
	}
	for _, jb := range slices.Clone(ow.waiting) {
		if len(jb.calls) == 0 && !jb.servedAt(first) {
			ow.counts.Overloaded++
			ow.endJob(jb, citronstream.JobResult{Fault: ow.pauseFault(first, now)})
		}
	}
}

// servedAt reports whether a job is of use that begins at a time: whether it reaches its
// target then, or was begun and is answered.
func (jb *job) servedAt(at time.Time) bool {
	if at.After(jb.End) || jb.InputTTL > 0 && at.After(jb.at.Add(jb.InputTTL)) {
		return false
	}
	// Begun is from the last plan, which is not made while no upstream is free.
	return len(jb.pending) < len(jb.Pieces) || !at.After(jb.Last)
}

// pauseFault returns the refusal of a job while all upstreams are in a pause.
func (ow *Owner) pauseFault(first, now time.Time) *citronstream.Fault {
	fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "all upstreams of service %s ask for a pause", ow.service)
	fa.RetryAfter = first.Sub(now) + rand.N(returnSpread)
	return fa
}

// logPause logs that all upstreams are in a pause, and that this is over.
func (ow *Owner) logPause(first time.Time, paused bool, now time.Time) {
	if paused == ow.paused {
		return
	}
	ow.paused = paused
	if paused {
		ow.log.Info("all upstreams paused", "service", ow.service, "upstreams", len(ow.list), "for", first.Sub(now).Round(time.Millisecond).String(), "waiting", len(ow.waiting))
		return
	}
	ow.log.Info("upstreams after a pause", "service", ow.service, "upstreams", len(ow.list), "waiting", len(ow.waiting))
}
