package flow

import (
	"context"

	"github.com/citronstream/citronstream"
)

// maxRemakes is how often the lost results of a request are made again.
const maxRemakes = 2

// remake makes the lost results of some stages again, or all of them when
// none is known to be lost.
func (sg *stages) remake(ctx context.Context, numbers []int) *citronstream.Fault {
	sg.mu.Lock()
	sg.remakes++
	many := sg.remakes > maxRemakes
	sg.mu.Unlock()
	if many {
		return citronstream.NewFault(citronstream.NotRun, citronstream.CodeUpstreamDied, "results of the stages were lost again")
	}
	lost := 0
	for _, number := range numbers {
		lost += len(sg.lost(sg.list[number]))
	}
	for _, number := range numbers {
		st := sg.list[number]
		places := sg.lost(st)
		if lost == 0 {
			places = all(st)
		}
		if len(places) == 0 {
			continue
		}
		if fa := sg.remakeReleased(ctx, st.spec.After); fa != nil {
			return fa
		}
		if fa := sg.make(ctx, st, places, true); fa != nil {
			return fa
		}
	}
	return nil
}

// remakeReleased makes results again that were given up after their use.
func (sg *stages) remakeReleased(ctx context.Context, numbers []int) *citronstream.Fault {
	for _, number := range numbers {
		st := sg.list[number]
		if sg.held(st) != nil || st.pieces == 0 {
			continue
		}
		if fa := sg.remakeReleased(ctx, st.spec.After); fa != nil {
			return fa
		}
		if fa := sg.make(ctx, st, all(st), true); fa != nil {
			return fa
		}
	}
	return nil
}

// lost returns the results whose maker is gone or can't be reached.
func (sg *stages) lost(st *stage) []int {
	var places []int
	now := sg.rt.fl.clk.Now()
	for i, handle := range sg.held(st) {
		if no := sg.rt.fl.Broker.At(handle); no == nil || no.Avoided(now) {
			places = append(places, i)
		}
	}
	return places
}

// finalBytes returns the size of the results that the request itself takes, and
// the rate of the slowest link on their way, in Mbit/s.
func (sg *stages) finalBytes() (bytes int, rate float64) {
	for _, number := range sg.finals() {
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

// inputs returns the results that the request itself takes. Those that were
// given up are made again.
func (sg *stages) inputs(ctx context.Context) ([]string, *citronstream.Fault) {
	finals := sg.finals()
	sg.repair.Lock()
	defer sg.repair.Unlock()
	if fa := sg.remakeReleased(ctx, finals); fa != nil {
		return nil, fa
	}
	var inputs []string
	for _, number := range finals {
		inputs = append(inputs, sg.held(sg.list[number])...)
	}
	return inputs, nil
}
