package flow

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/internal/upstream/sse"
	"github.com/citronstream/citronstream/platform"
)

const (
	// writeSlack is added to the request's deadline for the last write.
	writeSlack = time.Second
	// maxIdleBytes bounds the comments, empty events and events of before between two
	// events. It exceeds any stream that an upstream repeats from its beginning.
	// Comments and empty events, each of which is written to the caller, count as
	// minIdleBytes at least.
	maxIdleBytes = 4 << 20
	minIdleBytes = 1 << 10
)

// isEventStream reports whether the body of a response is a stream of events.
func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// relayStream forwards events as they arrive.
func (rt *request) relayStream(at *attempt, to *takeover) result {
	resumed := rt.started
	pa := part{joins: rt.lastEvent > 0}
	held := 0
	defer func() { rt.memory.Give(held) }()
	events := sse.New(at.ans, sse.WithReserve(func(bytes int) bool {
		ok := rt.fl.Memory.Wait(rt.memory, bytes, callermemory.Answer, shedWait)
		if ok {
			held += bytes
		}
		return ok
	}))
	control := http.NewResponseController(rt.wr)
	for {
		to.await()
		err := events.Next()
		if errors.Is(err, io.EOF) && rt.ended(&pa, at.ans.Framed) {
			to.awake(true)
			return rt.completeStream(at, &pa, resumed)
		}
		if errors.Is(err, sse.ErrNoMemory) {
			to.fails()
			return rt.cutStream(at, err)
		}
		if err != nil {
			return rt.failStream(at, to, err)
		}
		pa.read, pa.highest = true, max(pa.highest, events.ID)
		if pa.joins && pa.count == 0 && !rt.follows(events) {
			to.fails()
			return rt.invalidResponse(at, "an event that does not follow the last one")
		}
		if pa.idles(events, rt.lastEvent) {
			to.fails()
			return rt.invalidResponse(at, "a stream that goes on without new events")
		}
		progress := rt.progress(events)
		switch {
		case events.ID <= rt.lastEvent && (events.ID > 0 || pa.joins && pa.count == 0):
			continue // the upstream resumed before the last event that the caller has
		case !progress && !events.Data && !to.tryAwake():
			continue // a comment, which is not worth a wait
		case !to.awake(progress):
			return rt.failStream(at, to, errStalled)
		}
		if progress {
			if pa.count++; pa.count == 1 {
				rt.observeFirstEvent(at)
				pa.first = rt.firstEvent
			}
			pa.last = rt.fl.clk.Now()
		}
		if !rt.started {
			rt.writeStreamHead(at.ans, control)
		}
		rt.note(events)
		wrote := rt.fl.clk.Now()
		if _, err = rt.wr.Write(events.Event); err == nil {
			err = control.Flush()
		}
		pa.writing += rt.fl.clk.Since(wrote)
		to.pin(rt.unplaced)
		if err != nil {
			return result{done: true, out: outcome{status: at.ans.Status, reason: callerLeft, abort: true}}
		}
	}
}

// completeStream records what a stream that has ended tells of its upstream. Resumed says that
// an earlier upstream began it.
func (rt *request) completeStream(at *attempt, pa *part, resumed bool) result {
	at.nd.RequestDone(1)
	rt.observeSteps(at, pa)
	if !resumed && !rt.firstEvent.IsZero() {
		rt.fl.latencies.observeRest(rt.route.Name, rt.fl.clk.Since(rt.firstEvent))
	}
	rt.fl.Holds.Finished(rt.digest)
	rt.visit.Finished(at.nd.ID, at.ans.Framed)
	return result{done: true, out: outcome{status: http.StatusOK, reason: "served"}}
}

// cutStream ends a stream for whose events this process has no memory. Neither the upstream
// nor another one could serve it.
func (rt *request) cutStream(at *attempt, err error) result {
	rt.fl.OnLimit(LimitEvents)
	fa := citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeOverloaded, "%s", err)
	if !rt.started {
		return result{done: true, out: rt.respond(http.StatusBadGateway, 0, fa)}
	}
	return result{done: true, out: outcome{status: at.ans.Status, reason: string(fa.Code), fault: fa, abort: true}}
}

// observeFirstEvent records the first event that an upstream has sent.
func (rt *request) observeFirstEvent(at *attempt) {
	rt.visit.Began()
	at.begun = true
	rt.firstEvent = rt.fl.clk.Now()
	rt.fl.latencies.observe(rt.route.Name, rt.firstEvent.Sub(*at.sentAt.Load()), rt.readTime)
	if at.demand != nil {
		rt.fl.Engines.FirstEvent(at.nd, *at.demand)
	}
	rt.stages.releaseAll()
}

// part is what one upstream sends of a stream.
type part struct {
	joins   bool  // the caller has events of before
	count   int   // events that brought the stream forward
	read    bool  // anything was read
	idle    int   // bytes since the last event with new data
	highest int64 // identifier
	// first and last are when events came that brought the stream forward, writing is the
	// time for which the caller was written to.
	first, last time.Time
	writing     time.Duration
}

const (
	// minSteps is the least number of events whose mean distance says how fast an engine is.
	minSteps = 8
	// maxWriting is the greatest share of a stream's time for which its caller may be
	// written to: a slow caller holds the events of its engine up.
	maxWriting = 0.1
)

// observeSteps records how fast an engine has sent the events of a stream.
func (rt *request) observeSteps(at *attempt, pa *part) {
	took := pa.last.Sub(pa.first)
	if at.demand == nil || pa.count < minSteps || took <= 0 || pa.writing.Seconds() > maxWriting*took.Seconds() {
		return
	}
	if ratio, known := rt.fl.latencies.observeStep(rt.route.Name, took/time.Duration(pa.count-1)); known {
		at.nd.ObserveTime(ratio, rt.fl.clk.Now())
	}
}

// idles counts an event and reports whether the part goes on without new ones.
func (pa *part) idles(events *sse.Reader, last int64) bool {
	switch {
	case events.ID > last, events.ID == 0 && events.Data:
		pa.idle = 0
	case events.ID == 0:
		pa.idle += max(len(events.Event), minIdleBytes)
	default:
		pa.idle += len(events.Event)
	}
	return pa.idle > maxIdleBytes
}

// ended reports whether a part that ended between two events ends the stream. One without a
// new event does so if it reached the last event that the caller has, or if it is empty
// and can't have been cut: the upstream has nothing after that event.
func (rt *request) ended(pa *part, framed bool) bool {
	return pa.count > 0 || pa.joins && (pa.highest == rt.lastEvent || framed && !pa.read)
}

// follows reports whether an event of another upstream may come after the last one that the
// caller has: that is not known of one without an identifier.
func (rt *request) follows(events *sse.Reader) bool {
	if events.ID == 0 {
		return !events.Data
	}
	return !rt.leavesGap(events)
}

// note records an event that is written to the caller.
func (rt *request) note(events *sse.Reader) {
	rt.unplaced = events.ID == 0 && (rt.unplaced || events.Data)
	rt.sparse = rt.sparse || rt.leavesGap(events)
	rt.lastEvent = max(rt.lastEvent, events.ID)
}

// leavesGap reports whether events between the last one that the caller has and this one
// are missing. Where the identifiers of one upstream have jumped, that can't be told.
func (rt *request) leavesGap(events *sse.Reader) bool {
	return events.ID > rt.lastEvent+1 && !rt.sparse
}

// progress reports whether the last event brings the stream forward. Comments,
// empty events and events that the caller has do not: a stalled upstream may go
// on sending those.
func (rt *request) progress(events *sse.Reader) bool {
	if events.ID == 0 {
		return events.Data && rt.lastEvent == 0
	}
	return events.ID > rt.lastEvent
}

// writeStreamHead writes the status and header of a streamed response.
func (rt *request) writeStreamHead(ans *conns.Answer, control *http.ResponseController) {
	header := rt.wr.Header()
	for name, values := range platform.AnswerHeader(ans.Header) {
		header[name] = values
	}
	if err := control.SetWriteDeadline(rt.end.Add(writeSlack)); err != nil {
		rt.fl.log.Error(err, "setting the write deadline of a stream failed", "request", rt.ID)
	}
	rt.started = true
	rt.wr.WriteHeader(ans.Status)
}

// failStream handles a broken stream. If it may not be resumed, the caller's
// connection is aborted.
func (rt *request) failStream(at *attempt, to *takeover, err error) result {
	fa := citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "stream broken: %v", err)
	if errors.Is(context.Cause(at.ctx), context.DeadlineExceeded) {
		fa = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "deadline exceeded within the stream")
	}
	return rt.failAttempt(at, to, fa)
}
