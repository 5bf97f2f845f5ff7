// Package exchange sends one HTTP request to an upstream and derives the
// verdict from the point at which it failed. The upstream protocols share it.
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
	"github.com/citronstream/citronstream/internal/kernel/httphead"
	"github.com/jonboulle/clockwork"
)

const (
	// dialTimeout bounds a connect, which net/http continues for its pool after
	// the call that started it has ended.
	dialTimeout = 3 * time.Second
	// maxIdlePerHost exceeds the largest batch of an engine.
	maxIdlePerHost = 1024
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
	bufferBytes    = 16 << 10
	// maxTries bounds the attempts to send a request of which no byte was
	// written because a pooled connection was closed.
	maxTries = 3
)

// Request is one HTTP request on behalf of a call.
type Request struct {
	Method  string
	Address string // host:port
	Path    string
	Header  http.Header
	Body    []byte
	Call    citronstream.Call // gives the identity headers; may be zero
	// Last closes the connection after the answer, so that no later request can take a
	// copy of it for its own.
	Last bool
}

// Client sends requests with one pool of connections.
type Client struct {
	clk       citronstream.Clock
	maxAnswer int
	tr        *httphead.Transport
}

// Option changes a Client.
type Option func(*Client)

// WithClock sets the clock that measures Usage.Busy and the Deadline header.
func WithClock(clk citronstream.Clock) Option { return func(cl *Client) { cl.clk = clk } }

// WithMaxAnswer bounds an answer in bytes. The default is that of Limits.MaxAnswerBytes.
func WithMaxAnswer(bytes int) Option { return func(cl *Client) { cl.maxAnswer = bytes } }

// New returns a Client with its own pool. It ignores proxy settings in the
// environment and does not follow redirects.
func New(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	cl := &Client{clk: clockwork.NewRealClock(), maxAnswer: citronstream.DefaultLimits().MaxAnswerBytes}
	cl.tr = httphead.New(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(raw), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	})
	for _, opt := range opts {
		opt(cl)
	}
	return cl
}

// Close closes the idle connections.
func (cl *Client) Close() { cl.tr.CloseIdleConnections() }

// TimeLeft returns the time until ctx's deadline, or Call.Left if ctx has none.
func (cl *Client) TimeLeft(ctx context.Context, ca citronstream.Call) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(0, deadline.Sub(cl.clk.Now()))
	}
	return ca.Left
}

// idleCloseDelay is how long a call waits for an answer before the idle
// connections are closed: they and the call's own connection may have failed
// without a FIN or RST, and a second attempt then needs a new connection.
const idleCloseDelay = time.Second

// Send sends the request and returns the head of the answer. The error is a
// *citronstream.Fault: NotRun if no byte was written, MayHaveRun otherwise.
// The caller closes the Answer.
func (cl *Client) Send(ctx context.Context, rq Request) (*Answer, error) {
	for tries := 1; ; tries++ {
		ans, att, err := cl.sendOnce(ctx, rq)
		if err == nil {
			return ans, nil
		}
		fa := cl.fault(ctx, att, err)
		if fa.Verdict == citronstream.NotRun && att.state().reused && ctx.Err() == nil && tries < maxTries {
			cl.tr.CloseIdleConnections() // the others are probably closed as well
			continue
		}
		return nil, fa
	}
}

func (cl *Client) sendOnce(ctx context.Context, rq Request) (*Answer, *attempt, error) {
	ctx, cancel := context.WithCancel(ctx)
	att := &attempt{cancel: cancel}
	began := cl.clk.Now()
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, att.trace()), rq.Method,
		"http://"+rq.Address+rq.Path, bytes.NewReader(rq.Body))
	if err != nil {
		cancel()
		return nil, att, err
	}
	req.GetBody = nil // with GetBody and an Idempotency-Key, net/http would send the request again by itself
	req.Close = rq.Last
	for name, values := range rq.Header {
		req.Header[name] = values
	}
	setIdentity(req.Header, rq.Call)
	quiet := cl.clk.AfterFunc(idleCloseDelay, cl.tr.CloseIdleConnections)
	res, err := cl.tr.RoundTrip(req)
	quiet.Stop()
	if err != nil {
		cancel()
		return nil, att, err
	}
	return &Answer{cl: cl, attempt: att, res: res, started: began}, att, nil
}

func setIdentity(header http.Header, ca citronstream.Call) {
	set := func(name, value string) {
		if value != "" {
			header.Set(name, value)
		}
	}
	set("X-Request-Id", ca.RequestID)
	set("X-Attempt-Id", ca.AttemptID)
	set("Traceparent", ca.Trace)
}

// fault converts the error of an attempt without a complete answer.
func (cl *Client) fault(ctx context.Context, att *attempt, err error) *citronstream.Fault {
	verdict := citronstream.MayHaveRun
	if att.stopWrites() {
		verdict = citronstream.NotRun
	}
	st := att.state()
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if !st.answered {
			// This connection and the idle ones may have failed without a FIN or RST.
			cl.tr.CloseIdleConnections()
		}
		return citronstream.NewFault(verdict, citronstream.CodeDeadline, "upstream did not answer before the deadline")
	case ctx.Err() != nil:
		return citronstream.NewFault(verdict, citronstream.CodeCanceled, "call cancelled")
	case verdict == citronstream.NotRun:
		return citronstream.NewFault(verdict, citronstream.CodeUnavailable, "upstream not reached: %v", err)
	case st.ended || isConnectionError(err):
		return citronstream.NewFault(verdict, citronstream.CodeUpstreamDied, "connection broke before the answer was complete: %v", err)
	}
	return citronstream.NewFault(verdict, citronstream.CodeUpstreamFailed, "invalid answer: %v", err)
}

// isConnectionError reports whether err means that the connection ended.
func isConnectionError(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// Died reports whether err is a Fault that suggests that the upstream died.
func Died(err error) bool {
	var fa *citronstream.Fault
	return errors.As(err, &fa) && fa.Code == citronstream.CodeUpstreamDied
}

// Milliseconds formats a duration for a header.
func Milliseconds(left time.Duration) string { return strconv.FormatInt(left.Milliseconds(), 10) }
