package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

const (
	// errorTextBytes bounds the part of an error answer that a Fault's text contains.
	errorTextBytes = 200
	// A body that is not needed is read up to maxDrainBytes within drainTimeout, as a new
	// connection costs more than that.
	maxDrainBytes = 64 << 10
	drainTimeout  = 200 * time.Millisecond
)

var errTooLarge = errors.New("answer exceeds the size limit")

// Answer is the answer to a Request whose head has arrived.
type Answer struct {
	cl        *Client
	attempt   *attempt
	res       *http.Response
	started   time.Time
	readBytes int
}

// Status returns the HTTP status.
func (ans *Answer) Status() int { return ans.res.StatusCode }

// OK reports a 2xx status.
func (ans *Answer) OK() bool { return ans.res.StatusCode >= 200 && ans.res.StatusCode < 300 }

// Framed reports whether a truncated answer can be detected. An answer without
// Content-Length and chunked encoding ends when its connection does.
func (ans *Answer) Framed() bool {
	return ans.res.ContentLength >= 0 || len(ans.res.TransferEncoding) > 0
}

// Busy returns the time since the request was sent.
func (ans *Answer) Busy() time.Duration { return ans.cl.clk.Since(ans.started) }

// Read reads the body and fails above the client's limit.
func (ans *Answer) Read(data []byte) (int, error) {
	n, err := ans.res.Body.Read(data)
	ans.readBytes += n
	if ans.readBytes > ans.cl.maxAnswer {
		return 0, errTooLarge
	}
	return n, err
}

// Drain reads to the end of the body, so that the connection can be reused, unless the
// rest is long or slow.
func (ans *Answer) Drain() {
	timer := ans.cl.clk.AfterFunc(drainTimeout, ans.attempt.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, ans, maxDrainBytes) // Close closes a connection with more
}

// Close ends the exchange. A body that is not read to its end closes the connection.
func (ans *Answer) Close() {
	_ = ans.res.Body.Close()
	ans.attempt.cancel()
}

// Fault converts an error that occurred while the body was read.
func (ans *Answer) Fault(ctx context.Context, err error) *citronstream.Fault {
	if errors.Is(err, errTooLarge) {
		return citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeTooLarge,
			"answer is larger than %d bytes", ans.cl.maxAnswer)
	}
	fa := ans.cl.fault(ctx, ans.attempt, err)
	fa.Verdict = citronstream.MayHaveRun
	return fa
}

// ReadAll reads the complete body. An error status gives a Fault with the
// verdict Ran, a truncated body one with MayHaveRun.
func (ans *Answer) ReadAll(ctx context.Context) ([]byte, error) {
	body, err := io.ReadAll(ans)
	if err != nil {
		return nil, ans.Fault(ctx, err)
	}
	if ans.OK() {
		return body, nil
	}
	text := strings.Join(strings.Fields(string(body[:min(len(body), errorTextBytes)])), " ")
	fa := citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "upstream answered %d: %s", ans.Status(), text)
	if !ans.Framed() {
		fa.Verdict = citronstream.MayHaveRun
	}
	if seconds, err := strconv.Atoi(ans.res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		fa.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, fa
}

// Rest returns what follows the output that the caller of a resumed call has in a whole
// answer. An answer that does not begin with that output is one of another run.
func Rest(body []byte, ca citronstream.Call) ([]byte, error) {
	if !bytes.HasPrefix(body, []byte(ca.Prefix)) {
		return nil, citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeUpstreamFailed, "answer differs from the output that the caller has")
	}
	return body[len(ca.Prefix):], nil
}

// Fetch sends the request and reads the whole answer. The result has the
// attempt's identifier and what is known of the answer, also with an error;
// framed is the value of Answer.Framed.
func (cl *Client) Fetch(ctx context.Context, rq Request) (rs citronstream.Result, body []byte, framed bool, err error) {
	rs.AttemptID = rq.Call.AttemptID
	ans, err := cl.Send(ctx, rq)
	if err == nil {
		defer ans.Close()
		body, err = ans.ReadAll(ctx)
		rs.Status, rs.Usage.Busy, framed = ans.Status(), ans.Busy(), ans.Framed()
	}
	if err != nil {
		rs.Died = Died(err)
	}
	return rs, body, framed, err
}
