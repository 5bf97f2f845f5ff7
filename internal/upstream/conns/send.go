package conns

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"

	"github.com/citronstream/citronstream"
)

const (
	// maxStale bounds the answers to earlier requests that are passed over on one connection.
	maxStale      = 3
	maxStaleBytes = 1 << 20
	// maxSends bounds the connections tried for a request of which no byte was sent.
	maxSends = 3
	// smallRequest is written before the answer is read. A longer one is
	// written beside, since an upstream may answer before it has read it.
	smallRequest = 4 << 10
)

// Request is one HTTP request to an upstream.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the answer repeats; empty when it repeats none.
	ID string
	// Parse reads the head of an answer.
	Parse func(status int, header http.Header) citronstream.AnswerHead
}

// Answer is the answer to a request. The caller reads Body and calls Close.
type Answer struct {
	Status int
	Header http.Header
	Head   citronstream.AnswerHead
	// Length is the length of the body, or -1 when it isn't known.
	Length int64
	// Framed says that the end of the body can be told from a broken connection.
	Framed bool

	po      *Pool
	address string
	co      *conn
	res     *http.Response
	written chan error // nil once the request was written whole
	stop    func() bool
	cut     bool // the body ended with an error or was not read to its end
	ended   bool
}

// Send sends a request and returns the head of the answer. The error is a
// *citronstream.Fault: NotRun if no byte was sent, else MayHaveRun. When ctx
// ends, the connection is closed and reads of the body fail.
func (po *Pool) Send(ctx context.Context, address string, rq *Request) (*Answer, error) {
	raw, err := rq.encode()
	if err != nil {
		return nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "request: %v", err)
	}
	for tries := 1; ; tries++ {
		co, err := po.get(ctx, address)
		if err != nil {
			return nil, fault(ctx, citronstream.NotRun, err)
		}
		an, sent, err := po.exchange(ctx, address, co, rq, raw)
		if err == nil {
			return an, nil
		}
		co.abandon()
		if !sent && co.reused && ctx.Err() == nil && tries < maxSends {
			continue
		}
		verdict := citronstream.MayHaveRun
		if !sent {
			verdict = citronstream.NotRun
		}
		return nil, fault(ctx, verdict, err)
	}
}

func (rq *Request) encode() ([]byte, error) {
	var buf bytes.Buffer
	req := &http.Request{
		Method: rq.Method, URL: &url.URL{Opaque: rq.Target}, Host: rq.Host, Header: rq.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(rq.Body)), Body: http.NoBody,
	}
	if len(rq.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(rq.Body))
	}
	err := req.Write(&buf)
	return buf.Bytes(), err
}

func (po *Pool) exchange(ctx context.Context, address string, co *conn, rq *Request, raw []byte) (an *Answer, sent bool, err error) {
	stop := context.AfterFunc(ctx, co.abandon)
	var written chan error
	if len(raw) <= smallRequest {
		if count, err := co.Write(raw); err != nil {
			stop()
			return nil, count > 0, err
		}
	} else {
		written = make(chan error, 1)
		go func() {
			_, err := co.Write(raw)
			written <- err
		}()
	}
	res, head, err := co.receive(rq)
	if err != nil {
		stop()
		// A write that goes on beside may have sent a part whatever it returns.
		return nil, true, err
	}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Head: head, Length: res.ContentLength,
		Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
		po:     po, address: address, co: co, res: res, written: written, stop: stop,
	}, true, nil
}

// receive reads heads of answers until one belongs to the request.
func (co *conn) receive(rq *Request) (*http.Response, citronstream.AnswerHead, error) {
	for range maxStale + 1 {
		res, err := http.ReadResponse(co.br, &http.Request{Method: rq.Method})
		if err != nil {
			return nil, citronstream.AnswerHead{}, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		head := rq.Parse(res.StatusCode, res.Header)
		if rq.ID == "" || head.RequestID == "" || head.RequestID == rq.ID {
			return res, head, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStaleBytes)); err != nil {
			return nil, head, err
		}
		if res.Close {
			return nil, head, errors.New("the connection ended with an answer to another request")
		}
	}
	return nil, citronstream.AnswerHead{}, errors.New("only answers to other requests came")
}

// Read reads the body. An error other than io.EOF says that it is not complete.
func (an *Answer) Read(to []byte) (int, error) {
	count, err := an.res.Body.Read(to)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		an.ended = true
	default:
		an.cut = true
	}
	return count, err
}

// Close gives the connection back when the whole exchange is done, and closes it otherwise.
func (an *Answer) Close() {
	clean := an.stop() && an.ended && !an.cut && !an.res.Close && an.Framed && an.co.br.Buffered() == 0
	if clean && an.written != nil {
		select {
		case err := <-an.written:
			clean = err == nil
		default:
			clean = false
		}
	}
	if !clean {
		if an.ended {
			_ = an.co.Close()
		} else {
			an.co.abandon()
		}
		return
	}
	an.po.put(an.address, an.co, an.Head.IdleTimeout)
}

// fault classifies the error of a request without an answer.
func fault(ctx context.Context, verdict citronstream.Verdict, err error) *citronstream.Fault {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return citronstream.NewFault(verdict, citronstream.CodeDeadline, "no answer in time")
	case ctx.Err() != nil:
		return citronstream.NewFault(verdict, citronstream.CodeCanceled, "cancelled: %v", context.Cause(ctx))
	case verdict == citronstream.NotRun:
		return citronstream.NewFault(verdict, citronstream.CodeUnavailable, "not reached: %v", err)
	}
	return citronstream.NewFault(verdict, citronstream.CodeUpstreamDied, "connection broke before the answer: %v", err)
}
