// Package rawanswer simulates an HTTP server that sends answers as no library would send them:
// malformed, broken off, or before it has read the request.
package rawanswer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/site"
)

// InvalidStatuses are what may stand in a status line in place of a status and its reason.
var InvalidStatuses = []string{"000", "000 ", "000 No", "001 No", "099 No", "+00 No", "-01 No", "0 No", "0000 No"}

// InvalidLines are lines of a header whose names hold a blank, a tab or a control byte.
var InvalidLines = []string{
	"A B: c", "A : c", "Content-Length : 1", "Transfer-Encoding : chunked", "A\tB: c", "A\t: c",
	"A\x00: c", "A\x01B: c", "\x0bA: c", "A\x1f: c", "A\x7f: c", "A\rB: c",
}

// resetDelay is the time between an answer and the reset of its connection. Its reader then
// waits for more of it.
const resetDelay = time.Millisecond

// Answer implements http.Handler. It sends the bytes of an answer, and then reads what the caller
// sends until that closes the connection.
type Answer struct {
	clk   citronstream.Clock
	text  string
	reads bool
	ends  bool
	reset bool
}

// Option changes an Answer.
type Option func(*Answer)

// WithReading reads what the caller sends until the connection is reset, see WithReset.
func WithReading() Option { return func(an *Answer) { an.reads = true } }

// WithEnd ends the server's side of the connection after the answer.
func WithEnd() Option { return func(an *Answer) { an.ends = true } }

// WithReset resets the connection after the answer, without reading.
func WithReset() Option { return func(an *Answer) { an.reset = true } }

// New returns an Answer with this text, in which ID stands for the identifier of the request.
func New(clk citronstream.Clock, text string, opts ...Option) *Answer {
	an := &Answer{clk: clk, text: text}
	for _, opt := range opts {
		opt(an)
	}
	return an
}

// ServeHTTP implements http.Handler.
func (an *Answer) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	nc, received, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	closed := make(chan struct{})
	if an.reads || !an.reset {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, received) // ends with the connection
		}()
	}
	text := an.text
	if id := rq.Header.Get(site.HeaderID); id != "" {
		text = strings.ReplaceAll(text, "ID", id)
	}
	_, _ = io.WriteString(nc, text) // fails only if the caller has left
	tc := nc.(*net.TCPConn)
	if an.ends {
		_ = tc.CloseWrite()
	}
	if !an.reset {
		<-closed
		return
	}
	an.clk.Sleep(resetDelay)
	_ = tc.SetLinger(0)
}
