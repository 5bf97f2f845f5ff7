package conns

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/httphead"
)

const (
	// maxStaleAnswers bounds the answers to earlier requests that are skipped on one connection.
	maxStaleAnswers = 3
	maxStaleBytes   = 1 << 20
	// maxTries bounds the attempts to send a request of which no byte was sent.
	maxTries = 3
	// maxInlineWrite is the maximum size in bytes of a request that is written
	// before the answer is read. A larger one is written concurrently, since an
	// upstream may answer before it has read the whole request.
	maxInlineWrite = 4 << 10
	// maxHeadBytes bounds the head of an answer, and bytes that are no answer.
	// headTimeout is the longest time between the first byte of a head and its end,
	// and for skipping an answer to another request.
	maxHeadBytes = 64 << 10
	headTimeout  = 2 * time.Second
	// A body that is not needed is read up to maxDiscardBytes within
	// discardTimeout, as a new connection costs more than that.
	maxDiscardBytes = 64 << 10
	discardTimeout  = 200 * time.Millisecond
)

var (
	errHeadTooLarge = errors.New("the head of the answer exceeds the size limit")
	errHeadTooSlow  = errors.New("the head of the answer did not end in time")
	errUnidentified = errors.New("answer without an identifier on a connection with earlier answers")
)

// Request is one HTTP request to an upstream.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	// Body is the body in one or more chunks.
	Body [][]byte
	// ID is the identifier that the answer repeats, or empty if it repeats none.
	ID string
	// Fresh sends on a new connection. It is set if a request with this ID was sent to
	// the address before: a copy of that answer can't be told by its identifier.
	Fresh bool
	// Written is called when the whole request has been written to a connection, once or
	// not at all; it may be nil.
	Written func()
	// Parse parses the head of an answer.
	Parse func(status int, header http.Header) citronstream.AnswerHead
}

// Answer is the answer to a request. The caller calls Read and Close.
type Answer struct {
	Status int
	Header http.Header
	Head   citronstream.AnswerHead
	// Length is the length of the body, or -1 when it isn't known.
	Length int64
	// Framed reports whether the end of the body can be distinguished from a
	// broken connection.
	Framed bool

	po        *Pool
	key       key
	co        *conn
	res       *http.Response
	writeDone chan error // receives the error of a concurrent write; nil if there is none
	stop      func() bool
	failed    bool // reading the body failed
	complete  bool
}

// Send sends a request and returns the head of the answer. The error is a
// *citronstream.Fault: NotRun if no byte was sent, else MayHaveRun. When ctx
// ends, the connection is reset and reads of the body fail.
func (po *Pool) Send(ctx context.Context, address string, rq *Request) (*Answer, error) {
	raw, whole, err := rq.encode()
	if err != nil {
		return nil, citronstream.NewFault(citronstream.NotRun, citronstream.CodeBadRequest, "request: %v", err)
	}
	ke := key{address: address, identified: rq.ID != ""}
	for tries := 1; ; tries++ {
		co, err := po.get(ctx, ke, rq.Fresh)
		if err != nil {
			return nil, fault(ctx, citronstream.NotRun, err)
		}
		ans, sent, err := po.roundTrip(ctx, ke, co, rq, raw, whole)
		if err == nil {
			return ans, nil
		}
		co.reset()
		if !sent && co.reused && ctx.Err() == nil && tries < maxTries {
			continue
		}
		verdict := citronstream.MayHaveRun
		if !sent {
			verdict = citronstream.NotRun
		}
		return nil, fault(ctx, verdict, err)
	}
}

// encode returns the head of a request, with its body if both are short.
func (rq *Request) encode() (raw []byte, whole bool, err error) {
	length := rq.length()
	// url.URL takes an opaque part that begins with "//" for an authority and puts a colon
	// before it.
	target := rq.Target
	if strings.HasPrefix(target, "//") {
		target = "/" + strings.TrimLeft(target, "/")
	}
	whole = length <= maxInlineWrite
	req := &http.Request{
		Method: rq.Method, URL: &url.URL{Opaque: target}, Host: rq.Host, Header: rq.Header,
		ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(length), Body: http.NoBody,
	}
	var buf bytes.Buffer
	var stop headOnly
	switch {
	case !whole:
		req.Body = &stop
	case length > 0:
		body := net.Buffers(slices.Clone(rq.Body))
		req.Body = io.NopCloser(&body)
	}
	if err = req.Write(&buf); stop {
		err = nil
	}
	if err != nil {
		return nil, false, err
	}
	slashes := bytes.Repeat([]byte("/"), len(rq.Target)-len(target))
	return slices.Insert(buf.Bytes(), len(rq.Method)+1, slashes...), whole, nil
}

// length returns the bytes of the body.
func (rq *Request) length() (length int) {
	for _, chunk := range rq.Body {
		length += len(chunk)
	}
	return length
}

// headOnly is a body that ends the writing of a request after its head, as a copy of a
// large body would double its memory. It is true once that has happened.
type headOnly bool

// Read implements io.Reader.
func (ho *headOnly) Read([]byte) (int, error) {
	*ho = true
	return 0, errHeadWritten
}

// Close implements io.Closer.
func (ho *headOnly) Close() error { return nil }

var errHeadWritten = errors.New("the head is written")

// write writes the head of a request and its body, unless that is in raw.
func (rq *Request) write(co *conn, raw []byte, whole bool) (count int, err error) {
	if count, err = co.Write(raw); whole {
		return count, err
	}
	for i := 0; err == nil && i < len(rq.Body); i++ {
		_, err = co.Write(rq.Body[i])
	}
	return count, err
}

func (po *Pool) roundTrip(ctx context.Context, ke key, co *conn, rq *Request, raw []byte, whole bool) (ans *Answer, sent bool, err error) {
	stop := context.AfterFunc(ctx, co.reset)
	var written chan error
	if whole && len(raw) <= maxInlineWrite {
		if count, err := rq.write(co, raw, whole); err != nil {
			stop()
			return nil, count > 0, err
		}
		rq.reportWritten()
	} else {
		written = make(chan error, 1)
		go func() {
			_, err := rq.write(co, raw, whole)
			if err == nil {
				rq.reportWritten()
			}
			written <- err
		}()
	}
	res, head, err := co.receive(rq, po.clk)
	if err != nil {
		stop()
		// A concurrent write may have sent a part of the request.
		return nil, true, err
	}
	return &Answer{
		Status: res.StatusCode, Header: res.Header, Head: head, Length: res.ContentLength,
		Framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
		po:     po, key: ke, co: co, res: res, writeDone: written, stop: stop,
	}, true, nil
}

func (rq *Request) reportWritten() {
	if rq.Written != nil {
		rq.Written()
	}
}

// receive skips answers to other requests and returns the head of rq's answer.
func (co *conn) receive(rq *Request, clk citronstream.Clock) (*http.Response, citronstream.AnswerHead, error) {
	earlier := co.reused // other answers came on the connection
	for range maxStaleAnswers + 1 {
		res, err := co.readHead(rq.Method, clk)
		if err != nil {
			return nil, citronstream.AnswerHead{}, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		head := rq.Parse(res.StatusCode, res.Header)
		if rq.ID != "" && head.RequestID == "" && earlier {
			return nil, head, errUnidentified // it may be a copy of one of them
		}
		if rq.ID == "" || head.RequestID == "" || head.RequestID == rq.ID {
			co.anonymous = head.RequestID == ""
			return res, head, nil
		}
		earlier = true
		timer := clk.AfterFunc(headTimeout, co.reset)
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxStaleBytes))
		timer.Stop()
		if err != nil {
			return nil, head, err
		}
		if res.Close {
			return nil, head, errors.New("connection closed after an answer to another request")
		}
	}
	return nil, citronstream.AnswerHead{}, errors.New("received only answers to other requests")
}

// readHead waits for an answer without limit, but reads its head in bounded
// bytes and time: a faulty upstream may send bytes without end.
func (co *conn) readHead(method string, clk citronstream.Clock) (*http.Response, error) {
	if _, err := co.br.Peek(1); err != nil {
		return nil, err
	}
	co.limited, co.headLeft = true, maxHeadBytes
	timer := clk.AfterFunc(headTimeout, co.reset)
	res, err := http.ReadResponse(co.br, &http.Request{Method: method})
	if err == nil {
		err = httphead.Check(res)
	}
	co.limited = false
	if !timer.Stop() && err != nil {
		err = errHeadTooSlow
	}
	return res, err
}

// Read reads the body. An error other than io.EOF means that the body is incomplete.
func (ans *Answer) Read(data []byte) (int, error) {
	count, err := ans.res.Body.Read(data)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		ans.complete = true
	default:
		ans.failed = true
	}
	return count, err
}

// Discard reads the rest of a body that is not needed, so that the connection can
// be reused, unless it is long or slow.
func (ans *Answer) Discard() {
	timer := ans.po.clk.AfterFunc(discardTimeout, ans.co.reset)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, ans, maxDiscardBytes) // Close resets a connection with more
}

// Invalidate marks the answer as wrong, so that Close does not return its
// connection to the pool.
func (ans *Answer) Invalidate() { ans.failed = true }

// Close returns the connection to the pool if request and answer are complete,
// and closes it otherwise.
func (ans *Answer) Close() {
	clean := ans.stop() && ans.complete && !ans.failed && !ans.res.Close && ans.Framed && ans.co.br.Buffered() == 0 &&
		!(ans.key.identified && ans.co.anonymous)
	if clean && ans.writeDone != nil {
		select {
		case err := <-ans.writeDone:
			clean = err == nil
		default:
			clean = false
		}
	}
	if !clean {
		if ans.complete {
			_ = ans.co.Close()
		} else {
			ans.co.reset()
		}
		return
	}
	ans.po.put(ans.key, ans.co, ans.Head.IdleTimeout)
}

// fault converts the error of a request without an answer.
func fault(ctx context.Context, verdict citronstream.Verdict, err error) *citronstream.Fault {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return citronstream.NewFault(verdict, citronstream.CodeDeadline, "upstream did not answer before the deadline")
	case ctx.Err() != nil:
		return citronstream.NewFault(verdict, citronstream.CodeCanceled, "cancelled: %v", context.Cause(ctx))
	case verdict == citronstream.NotRun:
		return citronstream.NewFault(verdict, citronstream.CodeUnavailable, "upstream not reached: %v", err)
	}
	return citronstream.NewFault(verdict, citronstream.CodeUpstreamDied, "connection broke before the answer: %v", err)
}
