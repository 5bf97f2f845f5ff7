package owner

import (
	"math"
	"time"

	"github.com/citronstream/citronstream"
)

// Load pattern: some upstreams of a service turn slow for a while, under a burst. Their
// batches are sound and end late. A slow upstream gets the work that can wait for it; the
// others do the rest.

const (
	// paceWeight is the weight of the newest batch in the pace of an upstream.
	paceWeight = 0.5
	// paceFade is the time constant with which the pace of an upstream that has ended no
	// batch goes back to normal, so that it is tried again.
	paceFade = 2 * time.Second
	// slowPace is the pace, relative to that of the fastest upstream, from which on an
	// upstream gets only work that can wait for it. Upstreams of one service differ by less.
	slowPace = 1.5
)

// pace is how long the batches of an upstream take, relative to the expected time. The
// zero value is that of an upstream without batches.
type pace struct {
	factor float64
	at     time.Time // of the last batch
}

// done records a batch that took ratio times the expected time.
func (pa *pace) done(ratio float64, now time.Time) {
	before := pa.value(now)
	if pa.factor == 0 {
		before = ratio
	}
	pa.factor, pa.at = before+paceWeight*(ratio-before), now
}

// overdue records that a batch has been running for ratio times the expected time.
func (pa *pace) overdue(ratio float64, now time.Time) {
	pa.factor, pa.at = max(pa.value(now), ratio), now
}

// value returns the pace, 1 at least.
func (pa *pace) value(now time.Time) float64 {
	if pa.factor <= 1 {
		return 1
	}
	return 1 + (pa.factor-1)*math.Exp(-float64(now.Sub(pa.at))/float64(paceFade))
}

// paceNow returns the pace of an upstream: that to be expected by what it said last, as
// long as that is fresh, in place of what was learned from ended batches.
func (ow *Owner) paceNow(sv *server, now time.Time) float64 {
	learned := sv.pace.value(now)
	pace, weight := sv.Pace(now)
	if weight == 0 {
		return learned
	}
	return learned + weight*(sv.said.forecast(pace, ow.lasting.value())-learned)
}

const (
	// biasWeight is the weight of the newest batch in the bias of what an upstream says,
	// and usualWeight in the pace that it usually says; the first ones weigh more.
	biasWeight  = 0.3
	usualWeight = 0.1
	// minForecast is the least pace that is expected for what an upstream says, maxBias
	// the greatest factor by which that is corrected.
	minForecast = 0.5
	maxBias     = 4.0
	// paceDelay is the difference in expected time that decides between two upstreams
	// rather than their memory for results.
	paceDelay = 60 * time.Millisecond
	// minFresh is the weight of a pace from which on a batch is compared with it.
	minFresh = 0.5
	// lastingPrior is the sum of squared deviations that the assumption weighs that they
	// last for the whole batch, lastingFade the factor of older sums at each batch.
	lastingPrior = 4.0
	lastingFade  = 0.98
)

// saysPace reports whether an upstream has said its pace just now.
func (sv *server) saysPace(now time.Time) bool {
	_, weight := sv.Pace(now)
	return weight >= minFresh
}

// batchTime returns how long a batch takes that an upstream begins now, of the pieces that
// wait.
func (ow *Owner) batchTime(sv *server, now time.Time) time.Duration {
	pieces := 0
	for _, jb := range ow.waiting {
		if pieces += len(jb.pending); pieces >= ow.spec.Items {
			break
		}
	}
	return time.Duration(ow.paceNow(sv, now) * float64(expected(&ow.spec, min(pieces, ow.spec.Items))))
}

// said compares what an upstream says of its pace with the batches that begin then. The
// zero value believes it.
type said struct {
	usual   float64 // mean pace that it says
	bias    float64 // mean logarithm of the measured to the expected time
	batches float64
}

// forecast returns the pace to expect of a batch at an upstream that says this pace, of
// whose deviation from its usual one this part lasts.
func (sa *said) forecast(pace, lasting float64) float64 {
	usual := sa.usual
	if sa.batches == 0 {
		usual = pace
	}
	return max(minForecast, (usual+lasting*(pace-usual))*math.Exp(sa.bias))
}

// done records a batch that took ratio times the expected time, and the pace that was
// said and the one that was expected when it began.
func (sa *said) done(ratio, pace, forecast float64) {
	if ratio <= 0 {
		return
	}
	sa.batches++
	sa.usual += max(usualWeight, 1/sa.batches) * (pace - sa.usual)
	sa.bias += max(biasWeight, 1/(1+sa.batches)) * math.Log(ratio/forecast)
	sa.bias = max(-math.Log(maxBias), min(sa.bias, math.Log(maxBias)))
}

// lasting measures which part of a deviation from the usual pace that an upstream says at
// the begin of a batch lasts for the batch: much less than all of it if it changes many
// times a second. The zero value assumes all.
type lasting struct{ product, square float64 }

// done records a batch that took ratio times the expected time.
func (la *lasting) done(sa *said, ratio, pace float64) {
	if sa.batches == 0 {
		return
	}
	deviation := pace - sa.usual
	la.product = lastingFade*la.product + deviation*(ratio/math.Exp(sa.bias)-sa.usual)
	la.square = lastingFade*la.square + deviation*deviation
}

func (la *lasting) value() float64 {
	return max(0, min((lastingPrior+la.product)/(lastingPrior+la.square), 1))
}

// backlog is what the decision on slow upstreams needs to know of the queue.
type backlog struct {
	fastest float64 // pace of the fastest upstream in use
	rate    float64 // pieces a second of the upstreams that are not slow
	items   int     // pieces of a full batch
	pieces  int     // that wait
}

// slow reports whether an upstream of this pace gets only work that can wait.
func (bl *backlog) slow(pace float64) bool { return pace >= slowPace*bl.fastest }

// mayTake reports whether a job of some pieces behind ahead others may run at an upstream
// of this pace, where it ends extra later than elsewhere: if it would wait longer for
// another one, or if more than a batch waits and it can still be in time, or answered if
// it is late.
func (bl *backlog) mayTake(jb *job, pace float64, extra time.Duration, ahead int, now time.Time) bool {
	if !bl.slow(pace) {
		return true
	}
	if float64(ahead) > bl.rate*extra.Seconds() {
		return true
	}
	latest := jb.Start
	if jb.Late(now) {
		latest = jb.End
	}
	return bl.pieces >= bl.items && now.Add(extra).Before(latest)
}

// extraTime returns how much later than at an upstream of normal pace a batch ends.
func extraTime(spec *citronstream.BatchSpec, items int, pace float64) time.Duration {
	return time.Duration((pace - 1) * float64(expected(spec, items)))
}

// backlog returns the state of the queue for mayTake.
func (ow *Owner) backlog(now time.Time) backlog {
	bl := backlog{fastest: math.Inf(1), items: ow.spec.Items}
	for _, jb := range ow.waiting {
		bl.pieces += len(jb.pending)
	}
	for _, sv := range ow.list {
		if !sv.Avoided(now) {
			bl.fastest = min(bl.fastest, ow.paceNow(sv, now))
		}
	}
	full := expected(&ow.spec, ow.spec.Items).Seconds()
	for _, sv := range ow.list {
		if pace := ow.paceNow(sv, now); !sv.Avoided(now) && !bl.slow(pace) {
			bl.rate += float64(ow.spec.Items*ow.spec.Calls) / (full * pace)
		}
	}
	return bl
}
