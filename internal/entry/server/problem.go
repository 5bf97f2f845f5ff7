package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
)

// document is a problem document (RFC 9457) with the verdict as an extension.
type document struct {
	Type      string               `json:"type"`
	Title     string               `json:"title"`
	Status    int                  `json:"status"`
	Detail    string               `json:"detail,omitempty"`
	Verdict   citronstream.Verdict `json:"Verdict"`
	Code      citronstream.Code    `json:"Code"`
	RequestID string               `json:"RequestID,omitempty"`
}

// statuses maps codes to HTTP statuses. Other codes are 503.
var statuses = map[citronstream.Code]int{
	citronstream.CodeBadRequest:     http.StatusBadRequest,
	citronstream.CodeUnauthorized:   http.StatusUnauthorized,
	citronstream.CodeNotFound:       http.StatusNotFound,
	citronstream.CodeStalled:        http.StatusRequestTimeout,
	citronstream.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	citronstream.CodeKeyReuse:       http.StatusUnprocessableEntity,
	citronstream.CodeInDoubt:        http.StatusConflict,
	citronstream.CodeLimit:          http.StatusTooManyRequests,
	citronstream.CodeDeadline:       http.StatusGatewayTimeout,
	citronstream.CodeUpstreamFailed: http.StatusBadGateway,
	citronstream.CodeUpstreamDied:   http.StatusBadGateway,
	citronstream.CodeLinkLost:       http.StatusBadGateway,
	citronstream.CodeInternal:       http.StatusInternalServerError,
}

func describe(id string, fa *citronstream.Fault) document {
	status, ok := statuses[fa.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	return document{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: fa.Text,
		Verdict: fa.Verdict, Code: fa.Code, RequestID: id,
	}
}

// problem sends a problem document.
func problem(wr http.ResponseWriter, id string, fa *citronstream.Fault) {
	doc := describe(id, fa)
	body, _ := json.Marshal(doc) // plain fields always marshal
	head := wr.Header()
	head.Set("Content-Type", "application/problem+json")
	head.Set("Content-Length", strconv.Itoa(len(body)))
	if fa.RetryAfter > 0 {
		head.Set("Retry-After", strconv.Itoa(int(math.Ceil(fa.RetryAfter.Seconds()))))
	}
	wr.WriteHeader(doc.Status)
	_, _ = wr.Write(body)
}

func refuse(code citronstream.Code, format string, args ...any) *citronstream.Fault {
	return citronstream.NewFault(citronstream.NotRun, code, format, args...)
}

func retryLater(code citronstream.Code, after time.Duration, format string, args ...any) *citronstream.Fault {
	fa := refuse(code, format, args...)
	fa.RetryAfter = after
	return fa
}

// truncate shortens text from a caller for an error message.
func truncate(text string) string { return text[:min(len(text), 128)] }
