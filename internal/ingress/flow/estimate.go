package flow

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/admission"
	"github.com/citronstream/citronstream/internal/stage/broker"
)

// batchMargin is the expected fill of the batch that a job finds running at each
// stage: on average half of a full one.
const batchMargin = 0.5

// deviationMargin is how many mean deviations of the time to the first event the
// stages should be done earlier. Most requests then reach their target.
const deviationMargin = 2

// admit refuses a request that can't be served in time.
func (sg *stages) admit() *citronstream.Fault {
	rt := sg.rt
	rq, at, de := sg.decide(rand.Float64())
	if de.Admit {
		return nil
	}
	fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "needs %v of %v, including a wait of %v for service %s, then %v of the %v to its deadline",
		rq.Needs.Round(time.Millisecond), rq.Target.Round(time.Millisecond), rq.Wait.Round(time.Millisecond), at, rq.Rest.Round(time.Millisecond), rt.deadlineLeft().Round(time.Millisecond))
	fa.RetryAfter = de.RetryAfter
	return fa
}

// decide decides whether the request is admitted, and returns what that follows from and
// the service with the longest wait. Draw is a random number in [0, 1).
func (sg *stages) decide(draw float64) (rq admission.Request, at string, de admission.Decision) {
	rt := sg.rt
	needs, target := sg.estimate(false), rt.target.Sub(rt.at)
	_, rank := rt.ranks()
	wait, pause := time.Duration(0), time.Duration(0)
	for _, st := range sg.list {
		if st.pieces == 0 {
			continue
		}
		queue := broker.QueueName(st.spec.Service, rt.regions)
		if late := rt.fl.Broker.QueueWait(queue, target-needs, rank, false); late > wait {
			wait, at = late, st.spec.Service
		}
		pause = max(pause, rt.fl.Broker.Pause(queue))
	}
	rq = admission.Request{Needs: needs, Rest: rt.timeAfterFirstEvent(), Wait: wait, Pause: pause, Target: target, Left: rt.deadlineLeft()}
	return rq, at, admission.New(rq, draw)
}

// estimate sets the time that the request needs after each stage and returns the
// total time that it needs, with the current queue waits of its rank before or
// after it was admitted.
func (sg *stages) estimate(admitted bool) time.Duration {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	_, rank := sg.rt.ranks()
	first := sg.rt.fl.latencies.expected(sg.rt.route.Name, sg.rt.readTime)
	slack := sg.rt.target.Sub(sg.rt.fl.clk.Now()) - sg.unloadedTime(first)
	total := first
	for _, st := range sg.list {
		st.laterStages, st.laterBatches, st.wait = first, first, 0
		if st.pieces > 0 {
			st.wait = sg.rt.fl.Broker.QueueWait(broker.QueueName(st.spec.Service, sg.rt.regions), min(slack, sg.inputLife(st)), rank, admitted)
		}
	}
	for i := len(sg.list) - 1; i >= 0; i-- {
		st := sg.list[i]
		tail := st.laterStages + st.wait + st.batchTime()
		for _, before := range st.spec.After {
			sg.list[before].laterStages = max(sg.list[before].laterStages, tail)
			sg.list[before].laterBatches = max(sg.list[before].laterBatches, st.laterBatches+st.batchTime())
		}
		total = max(total, tail)
	}
	return total
}

// inputLife returns how long a stage may wait in its queue before its inputs
// expire.
func (sg *stages) inputLife(st *stage) time.Duration {
	life := time.Duration(math.MaxInt64)
	for _, before := range st.spec.After {
		if prev := sg.list[before]; prev.pieces > 0 && prev.batch != nil && prev.batch.ResultLife > 0 {
			life = min(life, prev.batch.ResultLife-freshMargin-st.batchTime())
		}
	}
	return life
}

// unloadedTime returns the time that the request needs when nothing else runs.
func (sg *stages) unloadedTime(first time.Duration) time.Duration {
	tails := make([]time.Duration, len(sg.list))
	total := first
	for i := len(sg.list) - 1; i >= 0; i-- {
		st := sg.list[i]
		tails[i] = max(tails[i], first) + st.batchTime()
		for _, before := range st.spec.After {
			tails[before] = max(tails[before], tails[i])
		}
		total = max(total, tails[i])
	}
	return total
}

// batchTime returns the run time of a batch with only this stage's pieces.
func (st *stage) batchTime() time.Duration {
	if st.batch == nil || st.pieces == 0 {
		return 0
	}
	return st.batch.CallTime + time.Duration(min(st.pieces, st.batch.Items))*st.batch.ItemTime
}

// timeAfterWait returns the time from the start of a stage to the request's first event, and
// what it would be if nothing waited at the later stages.
func (sg *stages) timeAfterWait(st *stage) (expected, unloaded time.Duration) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return st.timeToFirstEvent() - st.wait, st.batchTime() + st.laterBatches
}

// timeToFirstEvent returns the time from the stage's submission to the request's first
// event. The caller holds the lock of the stages.
func (st *stage) timeToFirstEvent() time.Duration { return st.wait + st.batchTime() + st.laterStages }

// alignSlack is how much later than needed the results of a branch may be ready.
const alignSlack = 50 * time.Millisecond

// align delays a stage while another branch of the request needs longer: its
// results would only occupy memory until the other branch is done.
func (sg *stages) align(ctx context.Context, st *stage) *citronstream.Fault {
	if st.pieces > 0 && st.final {
		for _, other := range sg.list {
			if !sg.beginWait(st, other) {
				continue
			}
			// The last stage of another branch runs beside this one.
			until := other.done
			if other.final {
				until = other.begun
			}
			select {
			case <-until:
			case <-ctx.Done():
				return sg.contextFault(ctx)
			}
			sg.mu.Lock()
			st.waits = false
			sg.mu.Unlock()
		}
	}
	if ctx.Err() != nil {
		return sg.contextFault(ctx)
	}
	return nil
}

// beginWait reports whether a stage waits for another one that needs longer, and
// records it. The estimates change with the queues, so that each of two stages may
// find that the other one needs longer: none waits for one that waits.
func (sg *stages) beginWait(st, other *stage) bool {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if other == st || other.waits || other.timeToFirstEvent() <= st.timeToFirstEvent()+alignSlack {
		return false
	}
	st.waits = true
	return true
}

// margin returns the time that batches of other requests add: under load a batch
// is full and starts when the one before it ends.
func (sg *stages) margin(st *stage) time.Duration {
	if st.batch == nil {
		return 0
	}
	full := time.Duration(st.batch.Items) * st.batch.ItemTime
	most := time.Duration(0)
	for _, other := range sg.list {
		if slices.Contains(other.spec.After, st.number) && other.pieces > 0 {
			most = max(most, sg.margin(other))
		}
	}
	return time.Duration(batchMargin*float64(full+st.batch.CallTime)) + most
}
