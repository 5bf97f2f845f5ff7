package flow

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/citronstream/citronstream/platform"
)

const (
	// A stream that pauses for longer than gapFactor times the route's MaxGap,
	// and at least minGap, is resumed at another upstream.
	gapFactor = 2
	minGap    = time.Second
	// maxEvent is the largest size of one event, in bytes.
	maxEvent = 1 << 20
	// writeSlack is added to the request's deadline for the last write.
	writeSlack = time.Second
)

// errPartialEvent is the error of a stream that ends within an event.
var errPartialEvent = errors.New("stream ended within an event")

// events splits a stream into whole events.
type events struct {
	br  *bufio.Reader
	buf []byte
}

// next returns the next event, with the empty line that ends it, and its ID, or
// 0 if it has none. It returns io.EOF only between two events.
func (ev *events) next() ([]byte, int64, error) {
	ev.buf = ev.buf[:0]
	id := int64(0)
	for {
		line, err := ev.br.ReadSlice('\n')
		ev.buf = append(ev.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.buf) > maxEvent {
				return nil, 0, errors.New("event exceeds the size limit")
			}
			continue
		case err != nil:
			if errors.Is(err, io.EOF) && len(ev.buf) > 0 {
				err = errPartialEvent
			}
			return nil, 0, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev.buf, id, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return nil, 0, err
			}
		}
	}
}

// relayStream forwards events as they arrive. It calls first with the first one.
func (rt *request) relayStream(ctx context.Context, nd *node.Node, ans *conns.Answer, stall *stallTimer, first func()) result {
	resumed := rt.started
	ev := &events{br: bufio.NewReader(ans)}
	control := http.NewResponseController(rt.wr)
	count := 0
	for {
		event, id, err := ev.next()
		if errors.Is(err, io.EOF) && (count > 0 || resumed) {
			nd.RequestDone(1)
			rt.fl.Holds.Finished(rt.digest)
			return result{done: true, out: outcome{status: http.StatusOK, reason: "served"}}
		}
		if err != nil {
			return rt.failStream(ctx, nd, err)
		}
		stall.reset()
		if count++; count == 1 {
			first()
			rt.stages.releaseAll()
		}
		if rt.started && id > 0 && id <= rt.lastEvent {
			continue // the upstream resumed before the last event that the caller has
		}
		if !rt.started {
			rt.writeStreamHead(ans, control)
		}
		if _, err = rt.wr.Write(event); err == nil {
			err = control.Flush()
		}
		if err != nil {
			return result{done: true, out: outcome{status: ans.Status, reason: "caller left", abort: true}}
		}
		rt.lastEvent = max(rt.lastEvent, id)
	}
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
func (rt *request) failStream(ctx context.Context, nd *node.Node, err error) result {
	fa := citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "stream broken: %v", err)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		fa = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "deadline exceeded within the stream")
	}
	return rt.failAttempt(ctx, nd, fa)
}
