// Package plain implements the upstream protocol "plain": one HTTP request with
// the headers Idempotency-Key, Deadline and traceparent, answered by one body of
// bounded size.
package plain

import (
	"context"
	"net/http"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
)

func init() { protocol.Register("plain", New()) }

// Protocol implements citronstream.Protocol.
type Protocol struct {
	cl *exchange.Client
}

// New returns the protocol with its own pool of connections.
func New(opts ...exchange.Option) *Protocol { return &Protocol{cl: exchange.New(opts...)} }

// Run implements citronstream.Protocol. The method is POST unless Call.Path
// starts with another method, as in "GET /status". The Deadline header is the
// remaining time in milliseconds. The whole answer, or for a resume its rest, is
// emitted at once, if it is complete. An answer without Content-Length and chunked encoding may be
// truncated and gives MayHaveRun.
func (pr *Protocol) Run(ctx context.Context, address string, ca citronstream.Call, emit func([]byte) error) (citronstream.Result, error) {
	rq := exchange.Request{
		Method: http.MethodPost, Address: address, Path: ca.Path, Body: ca.Body, Call: ca,
		Header: http.Header{"Deadline": {exchange.Milliseconds(pr.cl.TimeLeft(ctx, ca))}},
	}
	if method, path, ok := strings.Cut(ca.Path, " "); ok {
		rq.Method, rq.Path = method, path
	}
	if len(ca.Body) > 0 {
		rq.Header.Set("Content-Type", "application/json")
	}
	if ca.Key != "" {
		rq.Header.Set("Idempotency-Key", ca.Key)
	}
	rs, body, framed, err := pr.cl.Fetch(ctx, rq)
	if err != nil {
		return rs, err
	}
	if !framed {
		return rs, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamFailed, "answer has neither a length nor chunked encoding")
	}
	if body, err = exchange.Rest(body, ca); err != nil {
		return rs, err
	}
	return rs, emit(body)
}
