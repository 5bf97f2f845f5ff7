package flow

import (
	"context"

	"github.com/citronstream/citronstream"
)

// maxRecomputes is how often lost results of one request are recomputed.
const maxRecomputes = 2

// recompute computes the lost and released results of the given stages again, or all
// their results if none is known to be lost.
func (sg *stages) recompute(ctx context.Context, numbers []int) *citronstream.Fault {
	sg.mu.Lock()
	sg.recomputes++
	many := sg.recomputes > maxRecomputes
	sg.mu.Unlock()
	if many {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamDied, "stage results were lost again after they were recomputed")
	}
	indexes := make(map[int][]int)
	for _, number := range numbers {
		if lost := sg.lostResults(sg.list[number]); len(lost) > 0 {
			indexes[number] = lost
		}
	}
	if len(indexes) == 0 {
		for _, number := range numbers {
			indexes[number] = allIndexes(sg.list[number])
		}
	}
	for _, number := range numbers {
		if len(indexes[number]) == 0 {
			continue
		}
		if fa := sg.compute(ctx, sg.list[number], indexes[number], true); fa != nil {
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

// restore computes the results of the given stages again that were released after their
// use.
func (sg *stages) restore(ctx context.Context, numbers []int) *citronstream.Fault {
	for _, number := range numbers {
		st := sg.list[number]
		released := sg.resultIndexes(st, func(handle string) bool { return handle == "" })
		if len(released) == 0 {
			continue
		}
		if fa := sg.compute(ctx, st, released, true); fa != nil {
			return fa
		}
	}
	return nil
}

// lostResults returns the indexes of results that were released, or whose upstream is no
// longer listed or is avoided after failures.
func (sg *stages) lostResults(st *stage) []int {
	now := sg.rt.fl.clk.Now()
	return sg.resultIndexes(st, func(handle string) bool {
		nd := sg.rt.fl.Broker.ResultNode(st.spec.Service, handle)
		return nd == nil || nd.Avoided(now)
	})
}

// resultIndexes returns the indexes of the results whose handle meets a condition. That of
// a released result is empty.
func (sg *stages) resultIndexes(st *stage, meets func(handle string) bool) []int {
	handles := sg.results(st)
	var indexes []int
	for i := range st.pieces {
		handle := ""
		if i < len(handles) {
			handle = handles[i]
		}
		if meets(handle) {
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
	if fa := sg.restore(ctx, finals); fa != nil {
		return nil, fa
	}
	sg.mu.Lock()
	defer sg.mu.Unlock()
	inputs, ok := sg.allResults(finals)
	if !ok {
		return nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "the request has ended")
	}
	return inputs, nil
}
