// Package wholebody reads the bodies of requests into memory that an account bounds. It
// handles clients that send large bodies at once, in very small chunks, or stop short of
// their end and stay.
package wholebody

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// Bodies are read into chunks that double from minChunk to maxChunk and are joined at
	// the end: a buffer that grows would leave as much garbage as the body has bytes.
	minChunk = 512
	maxChunk = 64 << 10
	// atOnce is the length up to which a body whose length is told has one chunk.
	atOnce = 4 << 10
	// stallBytes is what a body brings at least within each time of WithStall.
	stallBytes = 1 << 10
	// shedWait is how long a body waits for memory that others were told to give back.
	shedWait = 250 * time.Millisecond
)

// Errors of Read. After each of them the request has not run.
var (
	ErrTooLarge = errors.New("the body exceeds the size limit")
	ErrNoMemory = errors.New("no memory is left for the request")
	ErrStalled  = errors.New("the body has stalled")
)

// Reader reads bodies.
type Reader struct {
	clk    citronstream.Clock
	memory *callermemory.Account
	stall  time.Duration
}

// New returns a Reader. The account may be nil, for no bound on all bodies together. Stall
// is the time within which a body brings 1 KB, 0 for no bound.
func New(clk citronstream.Clock, memory *callermemory.Account, stall time.Duration) *Reader {
	return &Reader{clk: clk, memory: memory, stall: stall}
}

// Read returns the body, whose memory the holder has until it is closed. After an error
// the holder is closed, what the client still sends is dropped, and the response ends the
// connection. An error other than those above is that of the connection.
func (re *Reader) Read(wr http.ResponseWriter, rq *http.Request, ho *callermemory.Holder, workspace string, limit int) ([]byte, error) {
	if rq.ContentLength == 0 {
		return nil, nil
	}
	bo := &body{re: re, rq: rq, ho: ho, control: http.NewResponseController(wr)}
	ho.Read(workspace, bo.abort)
	data, err := bo.read(limit)
	if ho.Done() {
		err = ErrNoMemory
	}
	if err == nil {
		_ = bo.control.SetReadDeadline(time.Time{}) // fails only on a closed connection
		return data, nil
	}
	ho.Close()
	wr.Header().Set("Connection", "close") // abort may be under way, and would meet a later request
	if refuser, ok := rq.Body.(interface{ Refuse() }); ok {
		refuser.Refuse()
	}
	return nil, err
}

// body is a body that is being read.
type body struct {
	re      *Reader
	rq      *http.Request
	ho      *callermemory.Holder
	control *http.ResponseController
	aborted atomic.Bool
	left    int // bytes that are missing in the time to stall
}

// abort makes reads fail.
func (bo *body) abort() {
	bo.aborted.Store(true)
	_ = bo.control.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// read reads to the end. Memory is reserved before it is allocated.
func (bo *body) read(limit int) ([]byte, error) {
	if bo.rq.ContentLength > int64(limit) {
		return nil, ErrTooLarge
	}
	most := limit + 1 // one byte more shows that a body is too long, or that it has ended
	if length := bo.rq.ContentLength; length >= 0 {
		most = int(length) + 1
	}
	var chunks [][]byte
	for size := 0; size < most; {
		grow := min(max(size, minChunk), maxChunk, most-size)
		if most <= atOnce {
			grow = most
		}
		if !bo.re.memory.Wait(bo.ho, grow, callermemory.Request, shedWait) {
			return nil, ErrNoMemory
		}
		size += grow
		chunk, err := bo.fill(make([]byte, 0, grow))
		chunks = append(chunks, chunk)
		switch {
		case errors.Is(err, io.EOF) && size-cap(chunk)+len(chunk) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return bo.join(chunks)
		case err != nil:
			return nil, err
		}
	}
	return nil, ErrTooLarge
}

// fill reads until the chunk is full or the body ends or fails.
func (bo *body) fill(chunk []byte) ([]byte, error) {
	for len(chunk) < cap(chunk) {
		bo.allowStall()
		if bo.aborted.Load() {
			return nil, ErrNoMemory // allowStall may have replaced the deadline
		}
		count, err := bo.rq.Body.Read(chunk[len(chunk):cap(chunk)])
		chunk, bo.left = chunk[:len(chunk)+count], bo.left-count
		bo.ho.Arrived(count)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrStalled
		case err != nil:
			return chunk, err
		}
	}
	return chunk, nil
}

// join returns the bytes of all chunks.
func (bo *body) join(chunks [][]byte) ([]byte, error) {
	if len(chunks) == 1 {
		return chunks[0], nil
	}
	length, kept := 0, 0
	for _, chunk := range chunks {
		length, kept = length+len(chunk), kept+cap(chunk)
	}
	if !bo.re.memory.Wait(bo.ho, length, callermemory.Request, shedWait) {
		return nil, ErrNoMemory
	}
	data := slices.Concat(chunks...)
	bo.ho.Give(kept)
	return data, nil
}

// allowStall sets the time by which the body must bring stallBytes.
func (bo *body) allowStall() {
	if bo.re.stall > 0 && bo.left <= 0 {
		bo.left = stallBytes
		_ = bo.control.SetReadDeadline(bo.re.clk.Now().Add(bo.re.stall)) // fails only on a closed connection
	}
}
