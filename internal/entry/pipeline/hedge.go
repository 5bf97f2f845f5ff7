package pipeline

import (
	"context"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// A call is hedged after hedgeFactor times its median time, but not before
// minHedgeDelay. A silent connection between an agent and its upstream can only be
// detected by its response time, as HTTP/1.1 has no heartbeat.
const (
	hedgeFactor   = 4
	minHedgeDelay = 300 * time.Millisecond
	// sameUpstreamHedgeDelay is the delay before a hedge at the same upstream, if
	// there is no other one. By then its agent has closed its idle connections.
	sameUpstreamHedgeDelay = 1200 * time.Millisecond
)

// hedgeable reports whether a second attempt may run beside the first.
func (att *attempts) hedgeable(ca *citronstream.Call) bool {
	return ca.Idempotent && !ca.Streams && !ca.Suspect && att.ru.times != nil
}

// hedged sends a call, and sends it again to another upstream if the answer takes
// long. The first complete answer is used and the other attempt is cancelled. A
// hedge takes an extra attempt from the retry budget.
func (att *attempts) hedged(ctx context.Context, ca *citronstream.Call, picker citronstream.Picker, upstream string) citronstream.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the slower attempt, whose result goes to the buffered channel
	results := make(chan citronstream.Result, 2)
	start := func(upstream string) {
		own := *ca
		go func() { results <- att.send(ctx, &own, picker, upstream, nil) }()
	}
	start(upstream)
	delay := max(minHedgeDelay, hedgeFactor*att.ru.times.P50(ca.Service, ca.Cost))
	timer := att.ru.clk.NewTimer(delay)
	defer timer.Stop()
	same, ran := false, false // ran: an attempt that failed first may have run
	for running := 1; ; {
		select {
		case re := <-results:
			if running--; re.Fault == nil || running == 0 {
				return withOtherVerdict(re, ran)
			}
			ran = ran || re.Fault.Verdict != citronstream.NotRun
		case <-timer.Chan():
			other, ok := att.other(ca, picker, upstream, same)
			if !ok && !same {
				same = true
				timer.Reset(max(sameUpstreamHedgeDelay-delay, 0))
				continue
			}
			if ok && att.budget.TakeExtra() {
				att.ru.counts.Hedges.Add(1)
				start(other)
				running++
			}
		}
	}
}

// withOtherVerdict returns the last result of a hedged call. Its NotRun covers only one
// attempt, so it becomes MayHaveRun if the other one may have run.
func withOtherVerdict(re citronstream.Result, ran bool) citronstream.Result {
	if !ran || re.Fault == nil || re.Fault.Verdict != citronstream.NotRun {
		return re
	}
	fa := *re.Fault
	fa.Verdict = citronstream.MayHaveRun
	re.Fault = &fa
	return re
}

// other picks an upstream for a hedge: the first one only if same is set.
func (att *attempts) other(ca *citronstream.Call, picker citronstream.Picker, first string, same bool) (string, bool) {
	pr := att.request(ca)
	if !same {
		pr.Exclude = append(slices.Clone(att.exclude), first)
	}
	return picker.Pick(pr)
}
