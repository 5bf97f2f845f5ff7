package owner

import (
	"slices"
	"time"
)

// Load pattern: jobs whose results are billed when they cross zones, with little time left
// while the upstreams of their zone are busy and others are free.

// zone is what the upstreams of a zone that are not avoided can begin when.
type zone struct {
	free  []time.Time   // when each can begin its next batch, the earliest first
	full  time.Duration // time of a full batch
	items int
}

// start returns when a batch begins behind some pieces.
func (zo *zone) start(ahead int) time.Time {
	round, at := ahead/zo.items/len(zo.free), ahead/zo.items%len(zo.free)
	return zo.free[at].Add(time.Duration(round) * zo.full)
}

// zones returns the zones with upstreams that are not avoided, and sets how many pieces
// wait for its zone before each job.
func (ow *Owner) zones(now time.Time) map[string]*zone {
	zones := make(map[string]*zone)
	for _, sv := range ow.list {
		if sv.Avoided(now) {
			continue
		}
		if zones[sv.Zone] == nil {
			zones[sv.Zone] = &zone{full: expected(&ow.spec, ow.spec.Items), items: max(1, ow.spec.Items)}
		}
		zones[sv.Zone].free = append(zones[sv.Zone].free, ow.freeAt(sv, now))
	}
	for _, zo := range zones {
		slices.SortFunc(zo.free, time.Time.Compare)
	}
	ahead := make(map[string]int)
	for _, jb := range ow.waiting {
		jb.zoneAhead = ahead[jb.Zone]
		ahead[jb.Zone] += len(jb.pending)
	}
	return zones
}

// freeAt returns when an upstream can begin its next batch. One without memory for it is
// assumed to get some within a batch.
func (ow *Owner) freeAt(sv *server, now time.Time) time.Time {
	at := now
	if sv.pausedUntil.After(at) {
		at = sv.pausedUntil
	}
	if sv.running >= ow.spec.Calls {
		first := now.Add(expected(&ow.spec, ow.spec.Items))
		for _, cl := range sv.batches {
			if ends := cl.began.Add(time.Duration(max(1, cl.expects) * float64(cl.normal))); ends.Before(first) {
				first = ends
			}
		}
		return later(at, first)
	}
	if ow.spec.ResultBytes > 0 && sv.used >= ow.spec.ResultBytes {
		at = at.Add(expected(&ow.spec, ow.spec.Items))
	}
	return at
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// zoneAllowed reports whether an upstream may take a job in view of their zones.
// Large results cross zones only for a request that would miss its target if it
// waited for a batch in its zone to end.
func (ow *Owner) zoneAllowed(sv *server, jb *job, zones map[string]*zone, now time.Time) bool {
	if jb.Zone == "" || sv.Zone == jb.Zone || jb.CrossZoneBytes < freeCrossBytes || zones[jb.Zone] == nil {
		return true
	}
	return ow.leaves(zones[jb.Zone], jb, now)
}

// leavesZone reports whether a job with little time left would begin later in its zone
// than it should, and than zoneDelay from now.
func (ow *Owner) leavesZone(zo *zone, jb *job, now time.Time) bool {
	return ow.hasLittleTime(jb, now) && zo.start(jb.zoneAhead).After(later(jb.Start, now.Add(zoneDelay)))
}

// hasLittleTime reports whether a job must begin within one and a half batches and still
// can.
func (ow *Owner) hasLittleTime(jb *job, now time.Time) bool {
	left := jb.Last.Add(jb.Margin).Sub(now)
	return left < 3*expected(&ow.spec, ow.spec.Items)/2 && !jb.Late(now)
}
