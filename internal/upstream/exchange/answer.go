package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// errorTextBytes is how much of an error answer goes into a Fault's text.
const errorTextBytes = 200

var errTooLarge = errors.New("answer above the size limit")

// Answer is the answer to a Request whose head has arrived.
type Answer struct {
	cl    *Client
	at    *attempt
	res   *http.Response
	began time.Time
	read  int
}

// Status returns the HTTP status.
func (an *Answer) Status() int { return an.res.StatusCode }

// OK reports a 2xx status.
func (an *Answer) OK() bool { return an.res.StatusCode >= 200 && an.res.StatusCode < 300 }

// Framed reports whether the transfer shows a truncated answer. An answer
// without Content-Length and chunked encoding ends with its connection.
func (an *Answer) Framed() bool {
	return an.res.ContentLength >= 0 || len(an.res.TransferEncoding) > 0
}

// Busy returns the time since the request was sent.
func (an *Answer) Busy() time.Duration { return an.cl.clk.Since(an.began) }

// Read reads the body and fails above the client's limit.
func (an *Answer) Read(data []byte) (int, error) {
	n, err := an.res.Body.Read(data)
	an.read += n
	if an.read > an.cl.maxAnswer {
		return 0, errTooLarge
	}
	return n, err
}

// Drain reads to the end of the body, so that the connection can be reused.
func (an *Answer) Drain() { _, _ = io.Copy(io.Discard, an) }

// Close ends the exchange. A body that is not read to its end closes the connection.
func (an *Answer) Close() {
	_ = an.res.Body.Close()
	an.at.cancel()
}

// Fault classifies an error that occurred while the body was read.
func (an *Answer) Fault(ctx context.Context, err error) *citronstream.Fault {
	if errors.Is(err, errTooLarge) {
		return citronstream.NewFault(citronstream.MayHaveRun, citronstream.CodeTooLarge,
			"answer is larger than %d bytes", an.cl.maxAnswer)
	}
	fa := an.cl.fault(ctx, an.at, err)
	fa.Verdict = citronstream.MayHaveRun
	return fa
}

// Whole reads the complete body. An error status gives a Fault with the
// verdict Ran, a body that breaks off one with MayHaveRun.
func (an *Answer) Whole(ctx context.Context) ([]byte, error) {
	body, err := io.ReadAll(an)
	if err != nil {
		return nil, an.Fault(ctx, err)
	}
	if an.OK() {
		return body, nil
	}
	text := strings.Join(strings.Fields(string(body[:min(len(body), errorTextBytes)])), " ")
	fa := citronstream.NewFault(citronstream.Ran, citronstream.CodeUpstreamFailed, "upstream answered %d: %s", an.Status(), text)
	if !an.Framed() {
		fa.Verdict = citronstream.MayHaveRun
	}
	if seconds, err := strconv.Atoi(an.res.Header.Get("Retry-After")); err == nil && seconds > 0 {
		fa.RetryAfter = time.Duration(seconds) * time.Second
	}
	return nil, fa
}

// Fetch sends the request and reads the whole answer. The result names the
// attempt and has what is known of the answer, also beside an error; framed
// is that of Answer.Framed.
func (cl *Client) Fetch(ctx context.Context, rq Request) (re citronstream.Result, body []byte, framed bool, err error) {
	re.AttemptID = rq.Call.AttemptID
	an, err := cl.Send(ctx, rq)
	if err == nil {
		defer an.Close()
		body, err = an.Whole(ctx)
		re.Status, re.Usage.Busy, framed = an.Status(), an.Busy(), an.Framed()
	}
	if err != nil {
		re.Died = Died(err)
	}
	return re, body, framed, err
}
