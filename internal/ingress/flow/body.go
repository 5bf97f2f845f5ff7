package flow

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// A body is read into chunks that double from minChunk to maxChunk, which wastes less
	// and copies nothing.
	minChunk = 512
	maxChunk = 64 << 10
	// stallBytes is what a body brings at least within each time of Dependencies.BodyStall.
	stallBytes = 1 << 10
	// partBytes is what a parsed prompt part or count of pieces takes: itself, in a slice
	// that has grown, and in what is made of it for the choice of an engine.
	partBytes = 64
	// shedWait is how long a body waits for memory that others were told to give back.
	shedWait = 250 * time.Millisecond
)

// Limits on bodies, as named in metrics and log lines.
const (
	LimitMemory    = "body_memory"
	LimitBodyBytes = "body_bytes"
	LimitBodyStall = "body_stall"
	LimitReadStall = "read_stall"
	LimitUpstream  = "upstream_connections"
	LimitShare     = "upstream_share"
	LimitEvents    = "event_memory"
)

var (
	errTooLong  = errors.New("the body exceeds the size limit")
	errNoMemory = errors.New("no memory is left for the request")
	errStalling = errors.New("the body has stalled")
)

// readBody reads the whole body before an upstream is used, so that a slow
// caller does not hold one up.
func (rt *request) readBody() (outcome, bool) {
	rt.memory.Read(rt.workspace, rt.abortBody)
	err := rt.readChunks(rt.routes.Limits.BodyBytes)
	if rt.memory.Done() {
		err = errNoMemory
	}
	rt.rq.Trailer = nil // unused, and large if the caller says so
	if rt.bounded() && err == nil {
		_ = http.NewResponseController(rt.wr).SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	if err != nil {
		return rt.refuseBody(err), false
	}
	hash := xxhash.New()
	for _, text := range []string{rt.rq.Method, "\x00", rt.rq.RequestURI, "\x00", rt.Key, "\x00"} {
		_, _ = hash.WriteString(text) // never fails
	}
	for _, chunk := range rt.body {
		_, _ = hash.Write(chunk)
	}
	rt.digest = hash.Sum64()
	return outcome{}, true
}

// bounded reports whether memory and time of the body are bounded.
func (rt *request) bounded() bool { return rt.memory != nil && rt.rq.ContentLength != 0 }

// abortBody makes reads of the body fail.
func (rt *request) abortBody() {
	rt.aborted.Store(true)
	_ = http.NewResponseController(rt.wr).SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// refuseBody ends a request whose body was not read to its end.
func (rt *request) refuseBody(err error) outcome {
	rt.body = nil
	rt.memory.Close()
	if re, ok := rt.rq.Body.(interface{ Refuse() }); ok && rt.bounded() {
		re.Refuse()
	}
	switch {
	case errors.Is(err, errTooLong):
		rt.fl.OnLimit(LimitBodyBytes)
		return rt.reject(http.StatusRequestEntityTooLarge, errTooLong.Error())
	case errors.Is(err, errNoMemory):
		return rt.refuseMemory(err)
	case errors.Is(err, errStalling):
		rt.fl.OnLimit(LimitBodyStall)
		return rt.reject(http.StatusRequestTimeout, err.Error())
	}
	return outcome{reason: callerLeft, fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeCanceled, "body incomplete: %v", err), abort: true}
}

// refuseMemory refuses a request for which there is no memory.
func (rt *request) refuseMemory(err error) outcome {
	rt.fl.OnLimit(LimitMemory)
	// abortBody may be under way, and make reads of a later request fail.
	rt.wr.Header().Set("Connection", "close")
	return rt.respond(http.StatusServiceUnavailable, defaultRetryAfter, citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "%s", err))
}

// takeParsed reserves the memory of what was parsed from the header, whose shortest prompt
// parts have 4 bytes. It was allocated by then, but is refused before it is kept.
func (rt *request) takeParsed() bool {
	return rt.fl.Memory.Wait(rt.memory, (len(rt.Prompt)+len(rt.Pieces))*partBytes, callermemory.Request, shedWait)
}

// readChunks reads the body. Memory for a chunk is reserved before it is allocated.
func (rt *request) readChunks(limit int) error {
	reader := io.Reader(rt.rq.Body)
	if limit > 0 {
		if rt.bounded() && rt.rq.ContentLength > int64(limit) {
			return errTooLong
		}
		reader = http.MaxBytesReader(rt.wr, rt.rq.Body, int64(limit))
	}
	window := stallWindow{rt: rt}
	for size := 0; ; {
		grow := min(max(size, minChunk), maxChunk)
		if length := rt.rq.ContentLength; length >= 0 {
			grow = int(min(int64(grow), length-int64(size)+1)) // 1 for the end to be read
		}
		if !rt.fl.Memory.Wait(rt.memory, grow, callermemory.Request, shedWait) {
			return errNoMemory
		}
		size += grow
		chunk, err := window.fill(reader, make([]byte, 0, grow))
		if len(chunk) > 0 {
			rt.body = append(rt.body, chunk)
		}
		var tooLong *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.As(err, &tooLong):
			return errTooLong
		case errors.Is(err, os.ErrDeadlineExceeded) && rt.bounded():
			return errStalling
		case err != nil:
			return err
		}
	}
}

// stallWindow sets the time by which a body must bring stallBytes.
type stallWindow struct {
	rt   *request
	left int // bytes that are missing
}

// fill reads until the chunk is full or the reader fails.
func (sw *stallWindow) fill(reader io.Reader, chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		if sw.rt.bounded() && sw.left <= 0 && !sw.rt.aborted.Load() {
			sw.left = stallBytes
			_ = http.NewResponseController(sw.rt.wr).SetReadDeadline(sw.rt.fl.clk.Now().Add(sw.rt.fl.BodyStall)) // fails only on a closed connection
			if sw.rt.aborted.Load() {                                                                            // meanwhile, and its deadline was replaced
				return chunk, os.ErrDeadlineExceeded
			}
		}
		count, err := reader.Read(chunk[len(chunk):cap(chunk)])
		chunk, sw.left = chunk[:len(chunk)+count], sw.left-count
		sw.rt.memory.Arrived(count)
		if err != nil {
			return chunk, err
		}
	}
	return chunk, nil
}

// writeChunks writes a body to the caller. One that reads almost nothing is cut after the
// time of Dependencies.ReadStall for each chunk.
func (rt *request) writeChunks(body [][]byte) error {
	control := http.NewResponseController(rt.wr)
	rt.allowWrite()
	for _, chunk := range body {
		rt.allowWrite()
		if _, err := rt.wr.Write(chunk); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				rt.fl.OnLimit(LimitReadStall)
			}
			return err
		}
	}
	if rt.memory == nil {
		return nil
	}
	return control.Flush()
}

// allowWrite sets the time by which the next write must end.
func (rt *request) allowWrite() {
	if rt.memory != nil {
		_ = http.NewResponseController(rt.wr).SetWriteDeadline(rt.fl.clk.Now().Add(rt.fl.ReadStall)) // fails only on a closed connection
	}
}
