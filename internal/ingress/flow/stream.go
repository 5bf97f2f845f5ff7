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
	// gapFactor times the longest pause that is in time, and at least minGap,
	// is how long a stream may pause before it goes on at another upstream.
	gapFactor = 2
	minGap    = time.Second
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// writeSlack is added to the end of the request for its last write.
	writeSlack = time.Second
)

// errEventCut ends a stream whose last event is not whole.
var errEventCut = errors.New("an event was cut")

// events splits a stream into whole events.
type events struct {
	br  *bufio.Reader
	buf []byte
}

// next returns the bytes of the next event with the empty line that ends it,
// and its identifier, which is 0 when it has none. io.EOF is returned only
// between two events.
func (ev *events) next() ([]byte, int64, error) {
	ev.buf = ev.buf[:0]
	id := int64(0)
	for {
		line, err := ev.br.ReadSlice('\n')
		ev.buf = append(ev.buf, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.buf) > maxEvent {
				return nil, 0, errors.New("an event is too long")
			}
			continue
		case err != nil:
			if errors.Is(err, io.EOF) && len(ev.buf) > 0 {
				err = errEventCut
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

// stream passes events on as they come. First is called with the first one.
func (rt *request) stream(ctx context.Context, no *node.Node, an *conns.Answer, quiet *silence, first func()) result {
	resumed := rt.started
	ev := &events{br: bufio.NewReader(an)}
	control := http.NewResponseController(rt.wr)
	count := 0
	for {
		event, id, err := ev.next()
		if errors.Is(err, io.EOF) && (count > 0 || resumed) {
			no.RequestDone(1)
			rt.fl.Holds.Finished(rt.digest)
			return result{done: true, out: outcome{status: http.StatusOK, reason: "served"}}
		}
		if err != nil {
			return rt.cut(ctx, no, err)
		}
		quiet.event()
		if count++; count == 1 {
			first()
			rt.stages.release()
		}
		if rt.started && id > 0 && id <= rt.lastEvent {
			continue // the upstream began before the event that the caller has
		}
		if !rt.started {
			rt.head(an, control)
		}
		if _, err = rt.wr.Write(event); err == nil {
			err = control.Flush()
		}
		if err != nil {
			return result{done: true, out: outcome{status: an.Status, reason: "caller left", abort: true}}
		}
		rt.lastEvent = max(rt.lastEvent, id)
	}
}

// head writes the head of a stream's answer.
func (rt *request) head(an *conns.Answer, control *http.ResponseController) {
	header := rt.wr.Header()
	for name, values := range platform.AnswerHeader(an.Header) {
		header[name] = values
	}
	if err := control.SetWriteDeadline(rt.end.Add(writeSlack)); err != nil {
		rt.fl.log.Error(err, "stream without a bound on writes", "request", rt.ID)
	}
	rt.started = true
	rt.wr.WriteHeader(an.Status)
}

// cut judges a stream that broke. One that may not be resumed ends cut for the caller.
func (rt *request) cut(ctx context.Context, no *node.Node, err error) result {
	fa := citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamDied, "the stream broke: %v", err)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		fa = citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeDeadline, "the time of the request passed within its stream")
	}
	return rt.broken(ctx, no, fa)
}
