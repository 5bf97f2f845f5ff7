package server

import (
	"errors"
	"net/http"
	"os"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

// writeBytes is what a caller takes of an answer at least within each time to stall.
const writeBytes = 64 << 10

// answerWriter cuts callers that do not read their answers. It has what the request holds
// of the memory for callers.
type answerWriter struct {
	http.ResponseWriter
	se      *Server
	control *http.ResponseController
	memory  *callermemory.Holder
	stalled bool
}

func newAnswerWriter(se *Server, wr http.ResponseWriter) *answerWriter {
	return &answerWriter{ResponseWriter: wr, se: se, control: http.NewResponseController(wr), memory: se.memory.Open()}
}

// Unwrap serves http.ResponseController.
func (aw *answerWriter) Unwrap() http.ResponseWriter { return aw.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (aw *answerWriter) WriteHeader(status int) {
	aw.allow()
	aw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (aw *answerWriter) Write(data []byte) (wrote int, err error) {
	for first := true; first || wrote < len(data); first = false {
		aw.allow()
		count, err := aw.ResponseWriter.Write(data[wrote:min(len(data), wrote+writeBytes)])
		wrote += count
		if err != nil {
			return wrote, aw.failed(err)
		}
	}
	return wrote, nil
}

// FlushError serves http.ResponseController.
func (aw *answerWriter) FlushError() error {
	aw.allow()
	return aw.failed(aw.control.Flush())
}

// allow sets the time by which the next write must end.
func (aw *answerWriter) allow() {
	_ = aw.control.SetWriteDeadline(aw.se.clk.Now().Add(aw.se.limits.StallTimeout.Std())) // fails only on a closed connection
}

// failed counts a caller that was cut.
func (aw *answerWriter) failed(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) && !aw.stalled {
		aw.stalled = true
		aw.se.hits.Hit(LimitReadStall)
	}
	return err
}

// fits reserves the memory of an answer that the caller may take its time to read. The
// fault says that its request has run.
func (aw *answerWriter) fits(answer []byte) *citronstream.Fault {
	if aw.reserve(len(answer)) {
		return nil
	}
	return noAnswerMemory(citronstream.Ran)
}

func noAnswerMemory(verdict citronstream.Verdict) *citronstream.Fault {
	return citronstream.NewFault(verdict, citronstream.CodeUpstreamFailed, "no memory is left for the answer")
}

func (aw *answerWriter) reserve(bytes int) bool {
	ok := aw.se.memory.Wait(aw.memory, bytes, callermemory.Answer, shedWait)
	if !ok {
		aw.se.hits.Hit(LimitAnswerMemory)
	}
	return ok
}
