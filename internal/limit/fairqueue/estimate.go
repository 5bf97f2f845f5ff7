package fairqueue

import (
	"math"
	"time"
)

// throughput is the decayed mean of run time and cost of the calls that ended.
type throughput struct {
	seconds float64
	cost    float64
	last    time.Time
}

const (
	// minShare is the least share of a sample; at a high rate about 20 calls count.
	minShare = 0.05
	// memory is the time constant at a low rate, so that rare samples still count.
	memory = 5 * time.Second
)

func (th *throughput) add(now time.Time, cost float64, took time.Duration) {
	if took <= 0 {
		return
	}
	share := max(minShare, 1-math.Exp(-now.Sub(th.last).Seconds()/memory.Seconds()))
	th.last = now
	th.seconds += share * (took.Seconds() - th.seconds)
	th.cost += share * (cost - th.cost)
}

// perUnit is the run time of one cost unit, in seconds.
func (th *throughput) perUnit() float64 { return th.seconds / th.cost }

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

func (qu *Queue) rate() float64 { return float64(qu.capacity) / qu.speed.perUnit() }

// service is the run time of a call of that cost.
func (qu *Queue) service(cost float64) time.Duration { return seconds(cost * qu.speed.perUnit()) }

// maxEstimate bounds estimates, so that their sum with a time can't overflow.
const maxEstimate = 24 * time.Hour

func seconds(value float64) time.Duration {
	if !(value < maxEstimate.Seconds()) {
		return maxEstimate
	}
	return time.Duration(value * float64(time.Second))
}

// wait estimates the time until a new item starts. Ahead of it are the work
// of the more urgent ranks and, inside its rank, its workspace's own queue
// plus what the other workspaces receive by weight in the meantime. Less
// urgent ranks count only by the floors that they can claim.
func (qu *Queue) wait(ra *rank, name string, cost float64) time.Duration {
	if len(qu.nodes)+qu.running < qu.capacity {
		return 0 // there is a free slot for each call that waits
	}
	qu.decay()
	own, weight, others := 0.0, qu.weightOf(name), ra.weight
	if fl, ok := ra.flows[name]; ok && fl.len() > 0 {
		own = fl.cost
		others -= fl.ws.weight
	}
	ahead := own + min(ra.cost-own, own*max(others, 0)/weight)
	rate := qu.rate()
	urgent, open := 0.0, 1.0
	for _, other := range qu.ranks {
		switch {
		case other.index < ra.index:
			urgent += other.cost
			// Urgent work of the recent past stands for that of the near future.
			open -= other.used / (rate * accountWindow.Seconds())
		case other.index > ra.index && other.count > 0:
			open -= other.floor
		}
	}
	open = max(open, ra.floor, minOpen)
	total := (urgent + ahead) / (rate * open)
	if ra.floor > 0 {
		total = min(total, ahead/(rate*ra.floor))
	}
	// One slot of the upstream has to become free first.
	return seconds(total + cost/rate)
}

// minOpen is the least share of the service assumed for a rank without a floor.
const minOpen = 0.01
