package pipeline

import (
	"context"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// When a call is hedged: after hedgeFactor times its usual time, and not
// before hedgeLeast. A connection between an agent and its upstream that goes
// silent shows in nothing else than the time, as HTTP/1.1 has no heartbeat.
const (
	hedgeFactor = 4
	hedgeLeast  = 300 * time.Millisecond
	// hedgeSame is the wait before a hedge at the same upstream, if there is no
	// other. By then its agent has closed its idle connections.
	hedgeSame = 1200 * time.Millisecond
)

// hedgeable says whether a second attempt may run beside the first.
func (at *attempts) hedgeable(ca *citronstream.Call) bool {
	return ca.Idempotent && !ca.Streams && !ca.Suspect && at.ru.times != nil
}

// hedged sends a call, and once more to another upstream if the answer takes
// long. The first whole answer counts and the other attempt is cancelled. A
// hedge is an extra attempt of the retry budget.
func (at *attempts) hedged(ctx context.Context, ca *citronstream.Call, picker citronstream.Picker, upstream string) citronstream.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the attempt that lost ends by this, and reports to the buffered channel
	results := make(chan citronstream.Result, 2)
	start := func(upstream string) {
		own := *ca
		go func() { results <- at.send(ctx, &own, picker, upstream, nil) }()
	}
	start(upstream)
	delay := max(hedgeLeast, hedgeFactor*at.ru.times.P50(ca.Service, ca.Cost))
	timer := at.ru.clk.NewTimer(delay)
	defer timer.Stop()
	same, ran := false, false // ran: an attempt that failed first may have run
	for running := 1; ; {
		select {
		case re := <-results:
			if running--; re.Fault == nil || running == 0 {
				return besides(re, ran)
			}
			ran = ran || re.Fault.Verdict != citronstream.NotRun
		case <-timer.Chan():
			other, ok := at.other(ca, picker, upstream, same)
			if !ok && !same {
				same = true
				timer.Reset(max(hedgeSame-delay, 0))
				continue
			}
			if ok && at.budget.TakeExtra() {
				at.ru.counts.Hedges.Add(1)
				start(other)
				running++
			}
		}
	}
}

// besides returns the last result of a hedged call. Its NotRun speaks of one
// attempt alone, so it does not hold if the other one may have run.
func besides(re citronstream.Result, ran bool) citronstream.Result {
	if !ran || re.Fault == nil || re.Fault.Verdict != citronstream.NotRun {
		return re
	}
	fa := *re.Fault
	fa.Verdict = citronstream.MayHaveRun
	re.Fault = &fa
	return re
}

// other picks an upstream for a hedge: not the first one, unless same says so.
func (at *attempts) other(ca *citronstream.Call, picker citronstream.Picker, first string, same bool) (string, bool) {
	pr := at.request(ca)
	if !same {
		pr.Exclude = append(slices.Clone(at.exclude), first)
	}
	return picker.Pick(pr)
}
