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

// upstream serves connections one after the other with a script each. A
// script gets the reader and writes what it likes.
func upstream(t *testing.T, scripts ...func(nc net.Conn, br *bufio.Reader)) string {
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

func read(br *bufio.Reader) string {
	rq, err := http.ReadRequest(br)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	return rq.Header.Get("Id")
}

func answer(nc net.Conn, id, body string) {
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(id string) *Request {
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
	an, err := po.Send(ctx, address, request(id))
	if err != nil {
		return "", err
	}
	defer an.Close()
	body, err := io.ReadAll(an)
	return string(body), err
}

// real is the clock of the sockets that these tests use.
var real = clockwork.NewRealClock()

func pool() *Pool { return New(real) }

func TestConnectionIsKept(t *testing.T) {
	address := upstream(t, func(nc net.Conn, br *bufio.Reader) {
		for range 3 {
			answer(nc, read(br), "body")
		}
	})
	po := pool()
	defer po.Close()
	for _, id := range []string{"1", "2", "3"} {
		body, err := send(po, address, id)
		require.NoError(t, err)
		assert.Equal(t, "body", body)
	}
	opened, reused := po.Counts()
	assert.Equal(t, [2]uint64{1, 2}, [2]uint64{opened, reused})
}

// Idle connections stay within the share of an upstream's connections.
func TestIdleConnectionsAreBounded(t *testing.T) {
	serve := func(nc net.Conn, br *bufio.Reader) { answer(nc, read(br), "one") }
	address := upstream(t, serve, serve)
	po := New(real, WithMost(func(string) int { return 0 }))
	defer po.Close()
	for _, id := range []string{"1", "2"} {
		_, err := send(po, address, id)
		require.NoError(t, err)
	}
	opened, reused := po.Counts()
	assert.Equal(t, [2]uint64{2, 0}, [2]uint64{opened, reused})
}

// A second answer that comes late must not be taken for that of the next request.
func TestLateExtraAnswer(t *testing.T) {
	address := upstream(t, func(nc net.Conn, br *bufio.Reader) {
		first := read(br)
		answer(nc, first, "one")
		second := read(br)
		answer(nc, first, "one")
		answer(nc, second, "two")
	})
	po := pool()
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

// Bytes behind a complete answer belong to no request: the connection is not used again.
func TestBytesAfterAnAnswer(t *testing.T) {
	address := upstream(t,
		func(nc net.Conn, br *bufio.Reader) {
			id := read(br)
			answer(nc, id, "one")
			answer(nc, id, "one")
			read(br)
		},
		func(nc net.Conn, br *bufio.Reader) { answer(nc, read(br), "two") })
	po := pool()
	defer po.Close()
	_, err := send(po, address, "1")
	require.NoError(t, err)
	body, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

// An idle connection that its upstream has closed is found before a request is sent on it.
func TestClosedIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	address := upstream(t,
		func(nc net.Conn, br *bufio.Reader) { answer(nc, read(br), "one"); _ = nc.Close(); close(closed) },
		func(nc net.Conn, br *bufio.Reader) { answer(nc, read(br), "two") })
	po := pool()
	defer po.Close()
	_, err := send(po, address, "1")
	require.NoError(t, err)
	<-closed
	real.Sleep(20 * time.Millisecond) // lets the FIN arrive
	body, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", body)
}

func TestVerdicts(t *testing.T) {
	check := func(name string, verdict citronstream.Verdict, script func(nc net.Conn, br *bufio.Reader)) {
		t.Run(name, func(t *testing.T) {
			po := pool()
			defer po.Close()
			_, err := send(po, upstream(t, script), "1")
			require.Error(t, err)
			assert.Equal(t, verdict, citronstream.VerdictOf(err))
		})
	}
	check("closed without an answer", citronstream.MayHaveRun, func(_ net.Conn, br *bufio.Reader) { read(br) })
	check("no HTTP", citronstream.MayHaveRun, func(nc net.Conn, br *bufio.Reader) { read(br); fmt.Fprint(nc, "garbage\r\n\r\n") })
	check("only foreign answers", citronstream.MayHaveRun, func(nc net.Conn, br *bufio.Reader) {
		read(br)
		for range maxStale + 1 {
			answer(nc, "other", "x")
		}
	})
	t.Run("nobody listens", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := ln.Addr().String()
		require.NoError(t, ln.Close())
		_, err = send(pool(), address, "1")
		assert.Equal(t, citronstream.NotRun, citronstream.VerdictOf(err))
	})
}

// An answer that is cut is an error of its body, and a connection without a
// length ends the body only when it is closed in order.
func TestCutAnswers(t *testing.T) {
	po := pool()
	defer po.Close()
	_, err := send(po, upstream(t, func(nc net.Conn, br *bufio.Reader) {
		id := read(br)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 10\r\n\r\nhalf", id)
	}), "1")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	body, err := send(po, upstream(t, func(nc net.Conn, br *bufio.Reader) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", read(br))
	}), "1")
	require.NoError(t, err)
	assert.Equal(t, "whole", body)
	_, err = send(po, upstream(t, func(nc net.Conn, br *bufio.Reader) {
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nhalf", read(br))
		_ = nc.(*net.TCPConn).SetLinger(0) // resets
	}), "1")
	assert.Error(t, err)
}

// An upstream may answer before it has read a long body, and read on later. No
// other request may follow on that connection.
func TestEarlyAnswer(t *testing.T) {
	address := upstream(t,
		func(nc net.Conn, br *bufio.Reader) {
			rq, err := http.ReadRequest(br)
			if err == nil {
				answer(nc, rq.Header.Get("Id"), "early")
			}
			real.Sleep(50 * time.Millisecond)
		},
		func(nc net.Conn, br *bufio.Reader) { answer(nc, read(br), "two") })
	po := pool()
	defer po.Close()
	rq := request("1")
	rq.Body = []byte(strings.Repeat("x", 16<<20))
	an, err := po.Send(context.Background(), address, rq)
	require.NoError(t, err)
	body, err := io.ReadAll(an)
	require.NoError(t, err)
	an.Close()
	assert.Equal(t, "early", string(body))
	text, err := send(po, address, "2")
	require.NoError(t, err)
	assert.Equal(t, "two", text)
}

// A request that is given up is reset, so that nothing of it is delivered later.
func TestGivenUpIsReset(t *testing.T) {
	end := make(chan error, 1)
	address := upstream(t, func(_ net.Conn, br *bufio.Reader) {
		read(br)
		_, err := br.ReadByte()
		end <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	real.AfterFunc(30*time.Millisecond, cancel)
	_, err := pool().Send(ctx, address, request("1"))
	assert.Error(t, err)
	assert.ErrorIs(t, <-end, syscall.ECONNRESET)
}

// A caller that leaves ends the exchange at once.
func TestCancel(t *testing.T) {
	gone := make(chan struct{})
	address := upstream(t, func(_ net.Conn, br *bufio.Reader) {
		read(br)
		_, _ = br.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	real.AfterFunc(30*time.Millisecond, cancel)
	_, err := pool().Send(ctx, address, request("1"))
	assert.Equal(t, citronstream.CodeCanceled, citronstream.FaultOf(err).Code)
	select {
	case <-gone:
	case <-real.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}
