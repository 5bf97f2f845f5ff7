// Package exchange sends one HTTP request to an upstream and derives an exact
// verdict from the point at which it broke. The upstream protocols share it.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
)

const (
	// dialTimeout bounds a connect that net/http continues for its pool after
	// the call that asked for it has ended.
	dialTimeout = 3 * time.Second
	// idlePerHost covers the largest batch of one engine with room to spare.
	idlePerHost    = 1024
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	bufferBytes    = 16 << 10
	// maxSends bounds the repeats of a request of which no byte was written
	// because a pooled connection was found closed.
	maxSends = 3
)

// Request is one HTTP request on behalf of a call.
type Request struct {
	Method  string
	Address string // host:port
	Path    string
	Header  http.Header
	Body    []byte
	Call    citronstream.Call // gives the identity headers; may be zero
}

// Client sends requests over one pool of connections.
type Client struct {
	clk       citronstream.Clock
	maxAnswer int
	tr        *http.Transport
}

// Option changes a Client.
type Option func(*Client)

// WithClock sets the clock that measures Usage.Busy and the Deadline header.
func WithClock(clk citronstream.Clock) Option { return func(cl *Client) { cl.clk = clk } }

// WithMaxAnswer bounds an answer in bytes. The default is that of Limits.MaxAnswerBytes.
func WithMaxAnswer(bytes int) Option { return func(cl *Client) { cl.maxAnswer = bytes } }

// New returns a Client with its own pool. It takes no proxy from the
// environment and follows no redirects.
func New(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	cl := &Client{clk: clockwork.NewRealClock(), maxAnswer: citronstream.DefaultLimits().MaxAnswerBytes}
	cl.tr = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Close drops the idle connections.
func (cl *Client) Close() { cl.tr.CloseIdleConnections() }

// Left returns the time that a call has left by ctx's deadline, or Call.Left
// when ctx has none.
func (cl *Client) Left(ctx context.Context, ca citronstream.Call) time.Duration {
	if at, ok := ctx.Deadline(); ok {
		return max(0, at.Sub(cl.clk.Now()))
	}
	return ca.Left
}

// quietAfter is how long a call goes without an answer before the idle
// connections are closed: its connection may have gone silent, and the idle
// ones with it, so that a second attempt needs a new one.
const quietAfter = time.Second

// Send sends the request and returns the head of the answer. The error is a
// *citronstream.Fault: NotRun if no byte was written, MayHaveRun otherwise.
// The caller closes the Answer.
func (cl *Client) Send(ctx context.Context, rq Request) (*Answer, error) {
	for sends := 1; ; sends++ {
		an, at, err := cl.sendOnce(ctx, rq)
		if err == nil {
			return an, nil
		}
		fa := cl.fault(ctx, at, err)
		if fa.Verdict == citronstream.NotRun && at.marks().reused && ctx.Err() == nil && sends < maxSends {
			cl.tr.CloseIdleConnections() // the others are probably closed as well
			continue
		}
		return nil, fa
	}
}

func (cl *Client) sendOnce(ctx context.Context, rq Request) (*Answer, *attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	at := &attempt{cancel: cancel}
	began := cl.clk.Now()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, at.trace()), rq.Method,
		"http://"+rq.Address+rq.Path, bytes.NewReader(rq.Body))
	if err != nil {
		cancel()
		return nil, at, err
	}
	req.GetBody = nil // net/http sends a request with GetBody and an Idempotency-Key again by itself
	for name, values := range rq.Header {
		req.Header[name] = values
	}
	identify(req.Header, rq.Call)
	quiet := cl.clk.AfterFunc(quietAfter, cl.tr.CloseIdleConnections)
	res, err := cl.tr.RoundTrip(req)
	quiet.Stop()
	if err != nil {
		cancel()
		return nil, at, err
	}
	return &Answer{cl: cl, at: at, res: res, began: began}, at, nil
}

func identify(header http.Header, ca citronstream.Call) {
	set := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	set("X-Request-Id", ca.RequestID)
	set("X-Attempt-Id", ca.AttemptID)
	set("Traceparent", ca.Trace)
}

// fault classifies an error of an attempt without a complete answer.
func (cl *Client) fault(ctx context.Context, at *attempt, err error) *citronstream.Fault {
	verdict := citronstream.MayHaveRun
	if at.abandon() {
		verdict = citronstream.NotRun
	}
	ma := at.marks()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if !ma.answered {
			// The connection may have gone silent, and the idle ones with it.
			cl.tr.CloseIdleConnections()
		}
		return citronstream.NewFault(verdict, citronstream.CodeDeadline, "upstream did not answer in time")
	case ctx.Err() != nil:
		return citronstream.NewFault(verdict, citronstream.CodeCanceled, "call cancelled")
	case verdict == citronstream.NotRun:
		return citronstream.NewFault(verdict, citronstream.CodeUnavailable, "upstream not reached: %v", err)
	case ma.ended || broken(err):
		return citronstream.NewFault(verdict, citronstream.CodeUpstreamDied, "connection broke before the answer was complete: %v", err)
	}
	return citronstream.NewFault(verdict, citronstream.CodeUpstreamFailed, "unusable answer: %v", err)
}

// broken reports whether err says that the connection ended.
func broken(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// Died reports whether err is a Fault that suggests the death of the upstream.
func Died(err error) bool {
	var fa *citronstream.Fault
	return errors.As(err, &fa) && fa.Code == citronstream.CodeUpstreamDied
}

// Milliseconds formats a duration for a header.
func Milliseconds(left time.Duration) string { return strconv.FormatInt(left.Milliseconds(), 10) }
