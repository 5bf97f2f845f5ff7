// Package jsonpost implements the upstream protocol "jsonpost": a POST of the
// call's JSON body to its path, answered by one JSON document of bounded size.
package jsonpost

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/protocol"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
)

func init() { protocol.Register("jsonpost", New()) }

// Protocol implements citronstream.Protocol.
type Protocol struct {
	cl *exchange.Client
}

// New returns the protocol with its own pool of connections.
func New(opts ...exchange.Option) *Protocol { return &Protocol{cl: exchange.New(opts...)} }

// Run implements citronstream.Protocol. It emits the whole document, or for a
// resume its rest, at once, if it is complete and valid. A document that is not valid JSON gives a Fault
// with CodeUpstreamFailed and MayHaveRun.
func (pr *Protocol) Run(ctx context.Context, address string, ca citronstream.Call, emit func([]byte) error) (citronstream.Result, error) {
	rs, body, framed, err := pr.cl.Fetch(ctx, exchange.Request{
		Method: http.MethodPost, Address: address, Path: ca.Path, Body: ca.Body, Call: ca,
		Header: http.Header{"Content-Type": {"application/json"}, "Accept": {"application/json"}},
	})
	if err != nil {
		return rs, err
	}
	// All other documents have an end of their own.
	number := len(body) > 0 && body[len(body)-1] >= '0' && body[len(body)-1] <= '9'
	if !json.Valid(body) || number && !framed {
		return rs, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamFailed, "answer is not a complete JSON document")
	}
	if body, err = exchange.Rest(body, ca); err != nil {
		return rs, err
	}
	return rs, emit(body)
}
