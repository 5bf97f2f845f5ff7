// Package dynamodb simulates the platform's table service. It implements the
// part of DynamoDB's JSON protocol (version 20120810) that the client in
// platform/dynamodb uses, over a memtable.Table with its fault switches.
package dynamodb

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/memtable"
)

const (
	targetPrefix = "DynamoDB_20120810."
	errorPrefix  = "com.amazonaws.dynamodb.v20120810#"
	// maxBody bounds a request. DynamoDB takes transactions of up to 4 MB,
	// which base64 makes longer by a third.
	maxBody = 6 << 20
)

// Server is an http.Handler.
type Server struct {
	table    *memtable.Table
	pageSize int
}

// Option changes a Server.
type Option func(*Server)

// WithPage sets the maximum number of rows in a page of a Query.
func WithPage(rows int) Option { return func(se *Server) { se.pageSize = rows } }

// New returns a Server over a table. Faults are set at the table.
func New(table *memtable.Table, opts ...Option) *Server {
	se := &Server{table: table, pageSize: 1000}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// apiError is an error response of the service.
type apiError struct {
	status  int
	code    string
	text    string
	reasons []reason
}

type reason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

// Error implements error.
func (ae *apiError) Error() string { return ae.code + ": " + ae.text }

func invalid(text string) error {
	return &apiError{status: http.StatusBadRequest, code: "ValidationException", text: text}
}

// ServeHTTP implements http.Handler.
func (se *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	var out any
	switch strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix) {
	case "GetItem":
		out, err = se.getItem(r.Context(), body)
	case "Query":
		out, err = se.query(r.Context(), body)
	case "TransactWriteItems":
		out, err = se.transact(r.Context(), body)
	default:
		err = &apiError{status: http.StatusBadRequest, code: "UnknownOperationException"}
	}
	if errors.Is(err, citronstream.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	if err != nil {
		answer := apiErrorOf(err)
		w.WriteHeader(answer.status)
		out = map[string]any{"__type": errorPrefix + answer.code, "message": answer.text, "CancellationReasons": answer.reasons}
	}
	// A write error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(out)
}

func apiErrorOf(err error) *apiError {
	var answer *apiError
	switch {
	case errors.As(err, &answer):
		return answer
	case errors.Is(err, citronstream.ErrThrottled):
		return &apiError{status: http.StatusBadRequest, code: "ProvisionedThroughputExceededException", text: "rate limit"}
	case errors.Is(err, citronstream.ErrUnavailable):
		return &apiError{status: http.StatusServiceUnavailable, code: "ServiceUnavailable", text: "unavailable"}
	}
	return &apiError{status: http.StatusInternalServerError, code: "InternalServerError", text: err.Error()}
}
