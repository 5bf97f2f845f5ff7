package fairqueue

import (
	"math"
	"time"
)

// throughput keeps decayed means of the run time and cost of completed calls.
type throughput struct {
	seconds float64
	cost    float64
	updated time.Time
}

const (
	// minSampleWeight is the least weight of a new sample in the means: at a
	// high rate they cover about 20 calls.
	minSampleWeight = 0.05
	// sampleDecay is the time constant at a low rate, where each sample weighs more.
	sampleDecay = 5 * time.Second
)

func (th *throughput) add(now time.Time, cost float64, took time.Duration) {
	if took <= 0 {
		return
	}
	weight := max(minSampleWeight, 1-math.Exp(-now.Sub(th.updated).Seconds()/sampleDecay.Seconds()))
	th.updated = now
	th.seconds += weight * (took.Seconds() - th.seconds)
	th.cost += weight * (cost - th.cost)
}

// secondsPerUnit returns the run time of one cost unit.
func (th *throughput) secondsPerUnit() float64 { return th.seconds / th.cost }

// Rate returns the measured throughput in cost units a second.
func (qu *Queue) Rate() float64 {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.rate()
}

// Wait implements citronstream.Discipline.
func (qu *Queue) Wait(index int, name string, cost float64) time.Duration {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.wait(qu.rank(index), name, costOf(cost))
}

func (qu *Queue) rate() float64 { return float64(qu.capacity) / qu.measured.secondsPerUnit() }

// runTime estimates the run time of a call of the given cost.
func (qu *Queue) runTime(cost float64) time.Duration {
	return seconds(cost * qu.measured.secondsPerUnit())
}

// maxEstimate bounds estimates, so that adding one to a time can't overflow.
const maxEstimate = 24 * time.Hour

func seconds(value float64) time.Duration {
	if !(value < maxEstimate.Seconds()) {
		return maxEstimate
	}
	return time.Duration(value * float64(time.Second))
}

// wait estimates the time until a new item starts. It waits for the work of the
// more urgent ranks and, inside its rank, for its workspace's own queue plus the
// service that the other workspaces receive by weight in the meantime. Less
// urgent ranks that have work reduce the available throughput by their floors.
func (qu *Queue) wait(ra *rank, name string, cost float64) time.Duration {
	if len(qu.items)+qu.running < qu.capacity {
		return 0 // free slots for all waiting items and this one
	}
	qu.decay()
	own, weight, others := 0.0, qu.weightOf(name), ra.weight
	if fl, ok := ra.flows[name]; ok && fl.len() > 0 {
		own = fl.cost
		others -= fl.ws.weight
	}
	ahead := own + min(ra.cost-own, own*max(others, 0)/weight)
	rate := qu.rate()
	urgent, available := 0.0, 1.0
	for _, other := range qu.ranks {
		switch {
		case other.index < ra.index:
			urgent += other.cost
			// Recent urgent work predicts how much arrives during the wait.
			available -= other.recentCost / (rate * accountWindow.Seconds())
		case other.index > ra.index && other.count > 0:
			available -= other.floor
		}
	}
	available = max(available, ra.floor, minAvailable)
	total := (urgent + ahead) / (rate * available)
	if ra.floor > 0 {
		total = min(total, ahead/(rate*ra.floor))
	}
	// One slot of the upstream must become free first.
	return seconds(total + cost/rate)
}

// minAvailable is the least share of the throughput assumed for a rank without a floor.
const minAvailable = 0.01
