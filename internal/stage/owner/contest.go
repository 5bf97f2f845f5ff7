package owner

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Load pattern: another owner sends batches to the same upstreams: an earlier or a later
// owner of the queue, that of the queue of restricted jobs, or one on the other side of a
// lost link.

const (
	// fullBackoff is the shortest pause after an upstream refused a batch as full, as it
	// runs one of another owner, maxBackoff the longest. It doubles with each refusal and
	// falls to a quarter with each batch that runs, so that each of the owners keeps to the
	// upstreams where it meets the other one least.
	fullBackoff = 100 * time.Millisecond
	maxBackoff  = 3200 * time.Millisecond
	// maxMetBackoff is the longest pause after a batch of another owner was met and the
	// upstream refused nothing: batches wait there, which costs less than a refusal.
	maxMetBackoff = 1600 * time.Millisecond
	// waitedPace is how much longer than expected a batch takes that has waited for another
	// one.
	waitedPace = 1.3
	// maxOthers is the greatest plausible number of batches at an upstream, of this owner
	// and others.
	maxOthers = 4
	// sharedFor is how long other owners count as present. It spans several batches at each
	// upstream.
	sharedFor = 15 * time.Second
)

// shared records that an upstream refused a batch as full, or that a batch waited for one of
// another owner.
func (ow *Owner) shared(sv *server, now time.Time) {
	if now.Sub(ow.sharedAt) >= sharedFor {
		ow.log.Info("upstreams shared with another owner", "service", ow.service, "upstream", sv.ID, "refused", sv.refused)
	}
	ow.sharedAt = now
}

// contested records that an upstream runs batches of another owner, and has it left out for a
// time, at most about the longest given.
func (ow *Owner) contested(sv *server, longest time.Duration, now time.Time) {
	ow.counts.Contested++
	sv.backoff = min(max(fullBackoff, 2*sv.backoff), longest)
	sv.pausedUntil = now.Add(sv.backoff/2 + rand.N(sv.backoff))
}

// uncontested records that a batch has met none of another owner.
func (sv *server) uncontested() {
	if sv.backoff /= 4; sv.backoff < fullBackoff {
		sv.backoff = 0
	}
}

// meets records what the answer to a batch that took ratio times its expected time says of
// batches of other owners. Whether the answer counts its own batch is learned from the least
// count. It counts only while other owners are known to be present, as what an answer says
// alone may be a matter of its moment, or wrong.
func (ow *Owner) meets(sv *server, cl *call, ratio float64, now time.Time) {
	sv.refused = false
	sl, age, known := sv.Load(now)
	others := sl.Running + sl.Waiting - sv.running
	if !known || now.Add(-age).Before(cl.began) || sl.Running > sl.Slots || others > maxOthers {
		sv.uncontested()
		return
	}
	ow.selfLoad = max(0, min(ow.selfLoad, others))
	if others > ow.selfLoad && (ratio > waitedPace || sl.Waiting > 0) {
		ow.shared(sv, now)
	}
	if others > ow.selfLoad && now.Sub(ow.sharedAt) < sharedFor {
		ow.contested(sv, maxMetBackoff, now)
		return
	}
	sv.uncontested()
}

// wanted reports whether an upstream that another owner uses too gets a batch: only a full one,
// if there is an upstream that no other owner uses. So the owner with more work gets it.
func (ow *Owner) wanted(sv *server, pending int, now time.Time) bool {
	if sv.backoff == 0 || pending >= ow.spec.Items {
		return true
	}
	return !slices.ContainsFunc(ow.list, func(other *server) bool { return other.backoff == 0 && !other.Avoided(now) })
}

// mayRefuse reports whether a job may go to an upstream that may refuse it. One that was
// refused before waits for an upstream that has not, if there is any.
func (ow *Owner) mayRefuse(sv *server, jb *job, now time.Time) bool {
	if !sv.refused || jb.repeats == 0 {
		return true
	}
	return !slices.ContainsFunc(ow.list, func(other *server) bool { return !other.refused && !other.Avoided(now) })
}
