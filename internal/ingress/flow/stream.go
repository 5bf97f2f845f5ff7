package flow

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/internal/upstream/sse"
	"github.com/citronstream/citronstream/platform"
)

const (
	// A stream that pauses for longer than gapFactor times the route's MaxGap,
	// and at least minGap, is resumed at another upstream.
	gapFactor = 2
	minGap    = time.Second
	// writeSlack is added to the request's deadline for the last write.
	writeSlack = time.Second
)

// relayStream forwards events as they arrive. It calls first with the first one
// that has a token.
func (rt *request) relayStream(ctx context.Context, nd *node.Node, ans *conns.Answer, sent time.Time, stall *stallTimer, first func()) result {
	resumed := rt.started
	events := sse.New(ans)
	control := http.NewResponseController(rt.wr)
	count := 0
	for {
		err := events.Next()
		if errors.Is(err, io.EOF) && (count > 0 || resumed) {
			nd.RequestDone(1)
			if !resumed && !rt.firstEvent.IsZero() {
				rt.fl.latencies.observeRest(rt.route.Name, rt.fl.clk.Since(rt.firstEvent))
			}
			rt.fl.Holds.Finished(rt.digest)
			return result{done: true, out: outcome{status: http.StatusOK, reason: "served"}}
		}
		if err != nil {
			return rt.failStream(ctx, nd, err, sent)
		}
		if rt.progress(events) {
			stall.reset()
			if count++; count == 1 {
				rt.visit.Began()
				first()
				rt.stages.releaseAll()
			}
		}
		if rt.started && events.ID > 0 && events.ID <= rt.lastEvent {
			continue // the upstream resumed before the last event that the caller has
		}
		if !rt.started {
			rt.writeStreamHead(ans, control)
		}
		if _, err = rt.wr.Write(events.Event); err == nil {
			err = control.Flush()
		}
		if err != nil {
			return result{done: true, out: outcome{status: ans.Status, reason: callerLeft, abort: true}}
		}
		rt.lastEvent = max(rt.lastEvent, events.ID)
	}
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
func (rt *request) failStream(ctx context.Context, nd *node.Node, err error, sent time.Time) result {
	fa := citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "stream broken: %v", err)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		fa = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "deadline exceeded within the stream")
	}
	return rt.failAttempt(ctx, nd, fa, sent)
}
