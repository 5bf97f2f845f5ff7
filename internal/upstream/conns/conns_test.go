package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveScripts accepts one connection per script, one after the other, and
// returns the address. A script reads requests from br and writes to nc.
func serveScripts(t *testing.T, scripts ...func(nc net.Conn, br *bufio.Reader)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, script := range scripts {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			script(nc, bufio.NewReader(nc))
			_ = nc.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return ln.Addr().String()
}

func readRequest(br *bufio.Reader) string {
	rq, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	return rq.Header.Get("Id")
}

func writeAnswer(nc net.Conn, id, body string) { fmt.Fprint(nc, answerText(id, body)) }

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a?b=%2f", Host: "h", Header: http.Header{"Id": {id}}, ID: id,
		Parse: func(_ int, header http.Header) citronstream.AnswerHead {
			return citronstream.AnswerHead{RequestID: header.Get("Id"), IdleTimeout: 5 * time.Second}
		},
	}
}

func send(po *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ans, err := po.Send(ctx, address, newRequest(id))
	if err != nil {
		return "", err
	}
	defer ans.Close()
	body, err := io.ReadAll(ans)
	return string(body), err
}

// Timeouts of real sockets need the real clock.
var clk = clockwork.NewRealClock()

func newPool() *Pool { return New(clk) }

func TestConnectionIsReused(t *testing.T) {
	address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		for range 3 {
			writeAnswer(nc, readRequest(br), "body")
		}
	})
	po := newPool()
	defer po.Close()
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(po, address, id)
		require.NoError(t, err)
		assert.Equal(t, "body", body)
	}
	opened, reused := po.Counts()
	assert.Equal(t, [2]uint64{1, 2}, [2]uint64{opened, reused})
}

// Guards against more idle connections than WithMaxIdle allows.
func TestIdleConnectionsAreBounded(t *testing.T) {
	serve := func(nc net.Conn, br *bufio.Reader) { writeAnswer(nc, readRequest(br), "one") }
	address := serveScripts(t, serve, serve)
	po := New(clk, WithMaxIdle(func(string) int { return 0 }))
	defer po.Close()
	for _, id := range []string{"1", "2"} {
		_, err := send(po, address, id)
		require.NoError(t, err)
	}
	opened, reused := po.Counts()
	assert.Equal(t, [2]uint64{2, 0}, [2]uint64{opened, reused})
}

// Guards against a late second answer that is returned for the next request.
func TestLateExtraAnswer(t *testing.T) {
	address := serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		first := readRequest(br)
		writeAnswer(nc, first, "one")
		second := readRequest(br)
		writeAnswer(nc, first, "one")
		writeAnswer(nc, second, "two")
	})
	po := newPool()
	defer po.Close()
	for id, want := range map[string]string{"1": "one"} {
		body, err := send(po, address, id)
		require.NoError(t, err)
		assert.Equal(t, want, body)
	}
	body, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

// Guards against a late copy of an answer without an identifier, such as a refusal,
// that is taken for the answer to the next request: that one would count as not run
// though it runs.
func TestLateCopyWithoutIdentifier(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	refuse := func(nc net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprint(nc, refusal)
		if readRequest(br) != "" {
			fmt.Fprint(nc, refusal)
		}
	}
	address := serveScripts(t, refuse, func(nc net.Conn, br *bufio.Reader) { writeAnswer(nc, readRequest(br), "two") })
	po := newPool()
	defer po.Close()
	_, err := send(po, address, "1")
	require.NoError(t, err)
	body, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

// Requests without an identifier, to which no answer has one, share connections among
// themselves, but not with others.
func TestRequestsWithoutIdentifier(t *testing.T) {
	twice := func(nc net.Conn, br *bufio.Reader) {
		for range 2 {
			writeAnswer(nc, readRequest(br), "body")
		}
	}
	address := serveScripts(t, twice, twice)
	po := newPool()
	defer po.Close()
	for range 2 {
		_, err := send(po, address, "")
		require.NoError(t, err)
	}
	for range 2 {
		_, err := send(po, address, "1")
		require.NoError(t, err)
	}
	opened, reused := po.Counts()
	assert.Equal(t, [2]uint64{2, 2}, [2]uint64{opened, reused})
}

// Guards against reuse of a connection with bytes after a complete answer.
func TestBytesAfterAnAnswer(t *testing.T) {
	address := serveScripts(t,
		func(nc net.Conn, br *bufio.Reader) {
			// In one write: a copy that comes after the next request is that of TestLateExtraAnswer.
			fmt.Fprint(nc, strings.Repeat(answerText(readRequest(br), "one"), 2))
			readRequest(br)
		},
		func(nc net.Conn, br *bufio.Reader) { writeAnswer(nc, readRequest(br), "two") })
	po := newPool()
	defer po.Close()
	_, err := send(po, address, "1")
	require.NoError(t, err)
	body, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

// Guards against a request that is sent on an idle connection which the upstream has closed.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serveScripts(t,
		func(nc net.Conn, br *bufio.Reader) {
			writeAnswer(nc, readRequest(br), "one")
			_ = nc.Close()
			close(closed)
		},
		func(nc net.Conn, br *bufio.Reader) { writeAnswer(nc, readRequest(br), "two") })
	po := newPool()
	defer po.Close()
	_, err := send(po, address, "1")
	require.NoError(t, err)
	<-closed
	clk.Sleep(20 * time.Millisecond) // lets the FIN arrive
	body, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

func TestVerdicts(t *testing.T) {
	check := func(name string, verdict citronstream.Verdict, script func(nc net.Conn, br *bufio.Reader)) {
		t.Run(name, func(t *testing.T) {
			po := newPool()
			defer po.Close()
			_, err := send(po, serveScripts(t, script), "1")
			require.Error(t, err)
			assert.Equal(t, verdict, citronstream.VerdictOf(err))
		})
	}
	check("closed without an answer", citronstream.MayHaveRun, func(_ net.Conn, br *bufio.Reader) { readRequest(br) })
	check("not HTTP", citronstream.MayHaveRun, func(nc net.Conn, br *bufio.Reader) { readRequest(br); fmt.Fprint(nc, "garbage\r\n\r\n") })
	check("only answers to other requests", citronstream.MayHaveRun, func(nc net.Conn, br *bufio.Reader) {
		readRequest(br)
		for range maxStaleAnswers + 1 {
			writeAnswer(nc, "other", "x")
		}
	})
	t.Run("connection refused", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := ln.Addr().String()
		require.NoError(t, ln.Close())
		_, err = send(newPool(), address, "1")
		assert.Equal(t, citronstream.NotRun, citronstream.VerdictOf(err))
	})
}

// Guards against a truncated answer that is reported as complete. Without a
// length, the body ends with a regular close of the connection.
func TestTruncatedAnswers(t *testing.T) {
	po := newPool()
	defer po.Close()
	_, err := send(po, serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		id := readRequest(br)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
	}), "1")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	body, err := send(po, serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", readRequest(br))
	}), "1")
	require.NoError(t, err)
	assert.Equal(t, "whole", body)
	_, err = send(po, serveScripts(t, func(nc net.Conn, br *bufio.Reader) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhalf", readRequest(br))
		_ = nc.(*net.TCPConn).SetLinger(0) // resets
	}), "1")
	assert.Error(t, err)
}

// Guards against reuse of a connection whose upstream answered before it had
// read the whole request body.
func TestEarlyAnswer(t *testing.T) {
	address := serveScripts(t,
		func(nc net.Conn, br *bufio.Reader) {
			rq, err := http.ReadRequest(br)
			if err == nil {
				writeAnswer(nc, rq.Header.Get("Id"), "early")
			}
			clk.Sleep(50 * time.Millisecond)
		},
		func(nc net.Conn, br *bufio.Reader) { writeAnswer(nc, readRequest(br), "two") })
	po := newPool()
	defer po.Close()
	rq := newRequest("1")
	rq.Body = [][]byte{[]byte(strings.Repeat("x", 16<<20))}
	ans, err := po.Send(context.Background(), address, rq)
	require.NoError(t, err)
	body, err := io.ReadAll(ans)
	require.NoError(t, err)
	ans.Close()
	assert.Equal(t, "early", string(body))
	text, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", text)
}

// Guards against a cancelled request of which a part is delivered later: the
// connection must be reset, not closed.
func TestCancelResetsConnection(t *testing.T) {
	end := make(chan error, 1)
	address := serveScripts(t, func(_ net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, err := br.ReadByte()
		end <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	clk.AfterFunc(30*time.Millisecond, cancel)
	_, err := newPool().Send(ctx, address, newRequest("1"))
	assert.Error(t, err)
	assert.ErrorIs(t, <-end, syscall.ECONNRESET)
}

// Guards against a connection that stays open after the caller cancelled.
func TestCancel(t *testing.T) {
	closed := make(chan struct{})
	address := serveScripts(t, func(_ net.Conn, br *bufio.Reader) {
		readRequest(br)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	clk.AfterFunc(30*time.Millisecond, cancel)
	_, err := newPool().Send(ctx, address, newRequest("1"))
	assert.Equal(t, citronstream.CodeCanceled, citronstream.FaultOf(err).Code)
	select {
	case <-closed:
	case <-clk.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against a target that begins with two slashes and reaches the upstream as "://".
func TestTargetsAreSentAsTheyAre(t *testing.T) {
	for _, target := range []string{"/a?b=%2f", "//", "//a", "//a//b?c=//d", "///a", "//h:80/%2F/\xc3\xa4", "*"} {
		rq := &Request{Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{"User-Agent": {""}}, Body: [][]byte{[]byte("//")}}
		raw, _, err := rq.encode()
		require.NoError(t, err, target)
		assert.Equal(t, "POST "+target+" HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n//", string(raw))
	}
}
