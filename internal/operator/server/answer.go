package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/citronstream/citronstream"
)

// problemDocument is a problem document (RFC 9457).
type problemDocument struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

func writeProblem(wr http.ResponseWriter, status int, format string, args ...any) {
	body, _ := json.Marshal(problemDocument{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}) // plain fields always marshal
	writeBody(wr, status, "application/problem+json", body)
}

// writeFault answers with a Fault's text and the status that matches its code.
func writeFault(wr http.ResponseWriter, err error) {
	fa := citronstream.FaultOf(err)
	status := http.StatusInternalServerError
	switch fa.Code {
	case citronstream.CodeNotFound:
		status = http.StatusNotFound
	case citronstream.CodeBadRequest:
		status = http.StatusBadRequest
	case citronstream.CodeUnavailable, citronstream.CodeNotReady, citronstream.CodeLinkLost:
		status = http.StatusServiceUnavailable
	}
	writeProblem(wr, status, "%s", fa.Text)
}

func writeOK(wr http.ResponseWriter, value any) { writeJSON(wr, http.StatusOK, value) }

func writeJSON(wr http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeProblem(wr, http.StatusInternalServerError, "%s", err)
		return
	}
	writeBody(wr, status, "application/json", body)
}

func writeText(wr http.ResponseWriter, status int, line string) {
	writeBody(wr, status, "text/plain; charset=utf-8", []byte(line+"\n"))
}

func writeBody(wr http.ResponseWriter, status int, kind string, body []byte) {
	if aw, ok := wr.(*answerWriter); ok && !aw.reserve(len(body)) {
		wr.Header().Set("Retry-After", "1")
		wr.Header().Del("Content-Encoding")
		status, kind, body = http.StatusServiceUnavailable, "text/plain; charset=utf-8", []byte("no memory is left for the answer\n")
	}
	wr.Header().Set("Content-Type", kind)
	wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	wr.WriteHeader(status)
	_, _ = wr.Write(body)
}

// wholeAnswer keeps the answer of a handler.
type wholeAnswer struct {
	bytes.Buffer
	header http.Header
	status int
}

func (wa *wholeAnswer) Header() http.Header    { return wa.header }
func (wa *wholeAnswer) WriteHeader(status int) { wa.status = status }

// writeWhole writes the answer of a handler once its memory is reserved.
func writeWhole(wr http.ResponseWriter, rq *http.Request, answering http.Handler) {
	wa := &wholeAnswer{header: wr.Header(), status: http.StatusOK}
	answering.ServeHTTP(wa, rq)
	writeBody(wr, wa.status, wa.header.Get("Content-Type"), wa.Bytes())
}

// bodyOf is a body that was read.
type bodyOf struct {
	io.ReadCloser
	data []byte
}

// decodeBody decodes a JSON body that was read into to. If it fails it writes the answer
// and returns false.
func decodeBody(wr http.ResponseWriter, rq *http.Request, to any) bool {
	if err := json.Unmarshal(rq.Body.(*bodyOf).data, to); err != nil {
		writeProblem(wr, http.StatusBadRequest, "%s", err)
		return false
	}
	return true
}
