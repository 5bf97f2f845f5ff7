package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/citronstream/citronstream"
)

// document is a problem document (RFC 9457).
type document struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
}

func problem(wr http.ResponseWriter, status int, format string, args ...any) {
	body, _ := json.Marshal(document{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}) // plain fields always marshal
	send(wr, status, "application/problem+json", body)
}

// refuse answers with a Fault's text and the status of its code.
func refuse(wr http.ResponseWriter, err error) {
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
	problem(wr, status, "%s", fa.Text)
}

func answer(wr http.ResponseWriter, value any) { respond(wr, http.StatusOK, value) }

func respond(wr http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		problem(wr, http.StatusInternalServerError, "%s", err)
		return
	}
	send(wr, status, "application/json", body)
}

func text(wr http.ResponseWriter, status int, line string) {
	send(wr, status, "text/plain; charset=utf-8", []byte(line+"\n"))
}

func send(wr http.ResponseWriter, status int, kind string, body []byte) {
	wr.Header().Set("Content-Type", kind)
	wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	wr.WriteHeader(status)
	_, _ = wr.Write(body)
}

// read decodes a bounded JSON body into to. False means that it has answered.
func read(wr http.ResponseWriter, rq *http.Request, to any) bool {
	body, err := io.ReadAll(io.LimitReader(rq.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes {
		problem(wr, http.StatusRequestEntityTooLarge, "the body is not whole or has more than %d bytes", maxBodyBytes)
		return false
	}
	if err := json.Unmarshal(body, to); err != nil {
		problem(wr, http.StatusBadRequest, "%s", err)
		return false
	}
	return true
}
