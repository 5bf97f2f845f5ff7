package flow

import (
	"context"

	"github.com/citronstream/citronstream"
)

// maxRecomputes is how often lost results of one request are recomputed.
const maxRecomputes = 2

// recompute computes the lost results of the given stages again, or all their
// results if none is known to be lost.
func (sg *stages) recompute(ctx context.Context, numbers []int) *citronstream.Fault {
	sg.mu.Lock()
	sg.recomputes++
	many := sg.recomputes > maxRecomputes
	sg.mu.Unlock()
	if many {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamDied, "stage results were lost again after they were recomputed")
	}
	lost := 0
	for _, number := range numbers {
		lost += len(sg.lostResults(sg.list[number]))
	}
	for _, number := range numbers {
		st := sg.list[number]
		indexes := sg.lostResults(st)
		if lost == 0 {
			indexes = allIndexes(st)
		}
		if len(indexes) == 0 {
			continue
		}
		if fa := sg.recomputeReleased(ctx, st.spec.After); fa != nil {
			return fa
		}
		if fa := sg.compute(ctx, st, indexes, true); fa != nil {
			return fa
		}
	}
	return nil
}

// recomputeCount returns how often lost results were recomputed.
func (sg *stages) recomputeCount() int {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	return sg.recomputes
}

// recomputeReleased computes results again that were released after their use.
func (sg *stages) recomputeReleased(ctx context.Context, numbers []int) *citronstream.Fault {
	for _, number := range numbers {
		st := sg.list[number]
		if sg.results(st) != nil || st.pieces == 0 {
			continue
		}
		if fa := sg.recomputeReleased(ctx, st.spec.After); fa != nil {
			return fa
		}
		if fa := sg.compute(ctx, st, allIndexes(st), true); fa != nil {
			return fa
		}
	}
	return nil
}

// lostResults returns the indexes of results whose upstream is no longer listed
// or is avoided after failures.
func (sg *stages) lostResults(st *stage) []int {
	var indexes []int
	now := sg.rt.fl.clk.Now()
	for i, handle := range sg.results(st) {
		if nd := sg.rt.fl.Broker.ResultNode(st.spec.Service, handle); nd == nil || nd.Avoided(now) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// finalBytes returns the size of the results that the request itself takes and
// the rate of the slowest link on their way, in Mbit/s.
func (sg *stages) finalBytes() (bytes int, rate float64) {
	for _, number := range sg.finalStages() {
		st := sg.list[number]
		if st.pieces == 0 || st.batch == nil {
			continue
		}
		bytes += st.pieces * st.spec.Bytes
		if rate == 0 || st.batch.LinkRate < rate {
			rate = st.batch.LinkRate
		}
	}
	return bytes, rate
}

// requestInputs returns the results that the request itself takes. Released ones
// are recomputed.
func (sg *stages) requestInputs(ctx context.Context) ([]string, *citronstream.Fault) {
	finals := sg.finalStages()
	sg.recomputeMu.Lock()
	defer sg.recomputeMu.Unlock()
	if fa := sg.recomputeReleased(ctx, finals); fa != nil {
		return nil, fa
	}
	var inputs []string
	for _, number := range finals {
		inputs = append(inputs, sg.results(sg.list[number])...)
	}
	return inputs, nil
}
