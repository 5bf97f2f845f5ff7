package load

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/citronstream/citronstream"
)

// outcome is how one sending of a request ended for its caller.
type outcome uint8

const (
	lost        outcome = iota // no answer, or half of one
	completed                  // a whole answer
	notRun                     // a refusal that says "not run"
	mayHaveRun                 // an answer that leaves it open
	failed                     // the upstream reported an error
	unreachable                // no entry took the connection
)

// answer is what came back for one sending.
type answer struct {
	outcome   outcome
	address   string
	sent      time.Time
	opened    time.Time // of the connection, zero without one
	ended     time.Time
	requestID string
	code      citronstream.Code
	status    int
	body      []byte
	text      string // of a streamed answer
	replayed  bool
	detail    string
}

// final says whether the caller has no reason to send again.
func (an *answer) final() bool { return an.outcome == completed || an.outcome == failed }

// broken classifies an exchange without a response.
func (an *answer) broken(lo *Load, err error) {
	an.detail = err.Error()
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial", errors.Is(err, syscall.ECONNREFUSED):
		an.outcome = unreachable
	case lo.target.Killed(an.address, an.sent), !an.opened.IsZero() && lo.target.Killed(an.address, an.opened):
		an.outcome = mayHaveRun
	}
}

// read classifies a response.
func (an *answer) read(lo *Load, re *http.Response, body []byte, err error) {
	an.requestID, an.status, an.body = re.Header.Get("X-Request-Id"), re.StatusCode, body
	an.replayed = re.Header.Get("Idempotency-Replayed") == "true"
	switch {
	case err != nil:
		an.broken(lo, err)
	case strings.HasPrefix(re.Header.Get("Content-Type"), "application/problem+json"):
		an.problem(body)
	case strings.HasPrefix(re.Header.Get("Content-Type"), "text/event-stream"):
		an.events(body)
	case re.StatusCode == http.StatusOK:
		an.outcome = completed
	default:
		an.outcome = failed
	}
}

func (an *answer) problem(body []byte) {
	var doc struct {
		Verdict citronstream.Verdict
		Code    citronstream.Code
		Detail  string `json:"detail"`
	}
	if json.Unmarshal(body, &doc) != nil {
		an.detail = "unreadable problem document"
		return
	}
	an.code, an.detail = doc.Code, doc.Detail
	switch doc.Verdict {
	case citronstream.NotRun:
		an.outcome = notRun
	case citronstream.Ran:
		an.outcome = failed
	default:
		an.outcome = mayHaveRun
	}
}

// events reads a streamed answer. Without its end mark it is not whole.
func (an *answer) events(body []byte) {
	var text strings.Builder
	for _, block := range strings.Split(string(body), "\n\n") {
		name, data, _ := strings.Cut(block, "data: ")
		switch {
		case strings.HasPrefix(name, "event: error"):
			an.problem([]byte(data))
			return
		case data == "[DONE]":
			an.outcome, an.text = completed, text.String()
			return
		}
		var ev struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if data != "" && json.Unmarshal([]byte(data), &ev) == nil && len(ev.Choices) > 0 {
			text.WriteString(ev.Choices[0].Text)
		}
	}
	an.detail = "stream without an end"
}
