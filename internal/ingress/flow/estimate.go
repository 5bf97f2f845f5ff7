package flow

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// batchMargin is the part of a full batch that a job may meet in progress
	// at each stage: half of one on average.
	batchMargin = 0.5
	// lateWait is the longest wait for which a request is taken that will miss
	// its target. With a longer backlog most such requests would be given up
	// in the end, which helps nobody.
	lateWait = 2 * time.Second
	// comeBackLeast is the least time after which a caller is asked to come back to a full queue.
	comeBackLeast = 300 * time.Millisecond
)

// admit refuses a request at once that can't reach its target and would wait long.
func (sg *stages) admit() *citronstream.Fault {
	needs := sg.estimate()
	slack := sg.rt.target.Sub(sg.rt.at) - needs
	if slack >= 0 {
		return nil
	}
	wait, at := time.Duration(0), ""
	for _, st := range sg.list {
		if late := sg.rt.fl.Broker.QueueWait(st.spec.Service, slack); st.pieces > 0 && late > wait {
			wait, at = late, st.spec.Service
		}
	}
	if wait < lateWait && needs < sg.rt.left() {
		return nil
	}
	fa := citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "needs %v of %v, waits %v for service %s",
		needs.Round(time.Millisecond), sg.rt.route.Target, wait.Round(time.Millisecond), at)
	fa.RetryAfter = max(comeBackLeast, min(wait-lateWait, sg.rt.route.Target/4))
	return fa
}

// estimate sets the time that the request needs after each stage, and returns
// that which it needs in all. Waits are those of the queues now.
func (sg *stages) estimate() time.Duration {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	first := sg.rt.fl.times.expected(sg.rt.route.Name)
	slack := sg.rt.target.Sub(sg.rt.fl.clk.Now()) - sg.alone(first)
	total := first
	for _, st := range sg.list {
		st.rest, st.wait = first, 0
		if st.pieces > 0 {
			st.wait = sg.rt.fl.Broker.QueueWait(st.spec.Service, min(slack, sg.life(st)))
		}
	}
	for i := len(sg.list) - 1; i >= 0; i-- {
		st := sg.list[i]
		tail := st.rest + st.wait + st.work()
		for _, before := range st.spec.After {
			sg.list[before].rest = max(sg.list[before].rest, tail)
		}
		total = max(total, tail)
	}
	return total
}

// life is how long a stage may wait for its turn until its inputs expire.
func (sg *stages) life(st *stage) time.Duration {
	life := time.Duration(math.MaxInt64)
	for _, before := range st.spec.After {
		if made := sg.list[before]; made.pieces > 0 && made.batch != nil && made.batch.ResultLife > 0 {
			life = min(life, made.batch.ResultLife-freshMargin-st.work())
		}
	}
	return life
}

// alone is the time that the request needs when nothing else runs.
func (sg *stages) alone(first time.Duration) time.Duration {
	tails := make([]time.Duration, len(sg.list))
	total := first
	for i := len(sg.list) - 1; i >= 0; i-- {
		st := sg.list[i]
		tails[i] = max(tails[i], first) + st.work()
		for _, before := range st.spec.After {
			tails[before] = max(tails[before], tails[i])
		}
		total = max(total, tails[i])
	}
	return total
}

// work is the time of the stage's batch when it runs alone.
func (st *stage) work() time.Duration {
	if st.batch == nil || st.pieces == 0 {
		return 0
	}
	return st.batch.CallTime + time.Duration(min(st.pieces, st.batch.Items))*st.batch.ItemTime
}

// tail is the time from the stage's submission to the request's first event.
func (sg *stages) tail(st *stage) time.Duration {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return st.wait + st.work() + st.rest
}

// alignSlack is how much later than needed the results of a branch may be ready.
const alignSlack = 50 * time.Millisecond

// align holds a stage back while another branch of the request needs longer
// than it: its results would only take memory until the other branch is done.
func (sg *stages) align(ctx context.Context, st *stage) *citronstream.Fault {
	if st.pieces > 0 && st.last {
		tail := sg.tail(st) + alignSlack
		for _, other := range sg.list {
			if other == st || sg.tail(other) <= tail {
				continue
			}
			select {
			case <-other.done:
			case <-ctx.Done():
				return sg.ended(ctx)
			}
		}
	}
	if ctx.Err() != nil {
		return sg.ended(ctx)
	}
	return nil
}

// margin is what the batches of others add to the time of a request: under
// load a batch is full, and starts when the one before it ends.
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
