package server

import (
	"errors"
	"net/http"
	"os"

	"github.com/citronstream/citronstream/internal/ingress/wholebody"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// writeBytes is what an operator takes of an answer at least within each time to stall.
	writeBytes = 64 << 10
	// smallAnswer is the size of an answer for which no memory needs to be free: those that
	// say that an action was carried out are smaller.
	smallAnswer = 16 << 10
)

// answerWriter cuts operators that do not read their answers. It has what the request
// holds of the memory for operators, and its slot.
type answerWriter struct {
	http.ResponseWriter
	se      *Server
	control *http.ResponseController
	memory  *callermemory.Holder
	slot    bool
	stalled bool
}

func newAnswerWriter(se *Server, wr http.ResponseWriter) *answerWriter {
	return &answerWriter{ResponseWriter: wr, se: se, control: http.NewResponseController(wr), memory: se.memory.Open()}
}

// Unwrap serves http.ResponseController.
func (aw *answerWriter) Unwrap() http.ResponseWriter { return aw.ResponseWriter }

// acquire waits until fewer than maxHandlers requests are worked on.
func (aw *answerWriter) acquire() {
	aw.se.slots <- struct{}{}
	aw.slot = true
}

// release gives the slot to another request. An answer is written without it, as its
// client may take its time.
func (aw *answerWriter) release() {
	if aw.slot {
		aw.slot = false
		<-aw.se.slots
	}
}

// WriteHeader implements http.ResponseWriter.
func (aw *answerWriter) WriteHeader(status int) {
	aw.release()
	aw.allow()
	aw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (aw *answerWriter) Write(data []byte) (wrote int, err error) {
	aw.release()
	for first := true; first || wrote < len(data); first = false {
		aw.allow()
		count, err := aw.ResponseWriter.Write(data[wrote:min(len(data), wrote+writeBytes)])
		wrote += count
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !aw.stalled {
				aw.stalled = true
				aw.se.hits.Hit(LimitReadStall)
			}
			return wrote, err
		}
	}
	return wrote, nil
}

// allow sets the time by which the next write must end.
func (aw *answerWriter) allow() {
	_ = aw.control.SetWriteDeadline(aw.se.clk.Now().Add(aw.se.limits.StallTimeout.Std())) // fails only on a closed connection
}

// reserve reserves the memory of an answer that the operator may take its time to read.
func (aw *answerWriter) reserve(bytes int) bool {
	if bytes <= smallAnswer {
		aw.memory.Force(bytes)
		return true
	}
	if aw.se.memory.Wait(aw.memory, bytes, callermemory.Answer, shedWait) {
		return true
	}
	aw.se.hits.Hit(LimitAnswerMemory)
	return false
}

// readBody reads the body of an operator's request. If it fails it writes the answer and
// returns false.
func (aw *answerWriter) readBody(rq *http.Request, operator string) bool {
	data, err := aw.se.bodies.Read(aw, rq, aw.memory, operator, maxBodyBytes)
	switch {
	case err == nil:
		rq.Body = &bodyOf{ReadCloser: rq.Body, data: data}
		return true
	case errors.Is(err, wholebody.ErrTooLarge):
		aw.se.hits.Hit(LimitBodyBytes)
		writeProblem(aw, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", maxBodyBytes)
	case errors.Is(err, wholebody.ErrNoMemory):
		aw.se.hits.Hit(LimitBodyMemory)
		aw.Header().Set("Retry-After", "1")
		writeProblem(aw, http.StatusServiceUnavailable, "%s", err)
	case errors.Is(err, wholebody.ErrStalled):
		aw.se.hits.Hit(LimitBodyStall)
		writeProblem(aw, http.StatusRequestTimeout, "%s", err)
	default:
		writeProblem(aw, http.StatusBadRequest, "the body is incomplete")
	}
	return false
}
