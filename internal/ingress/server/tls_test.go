package server

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTLS returns the configurations of a server and of its clients.
func testTLS(t *testing.T) (serves, asks *tls.Config) {
	other := httptest.NewTLSServer(http.NotFoundHandler())
	t.Cleanup(other.Close)
	asks = other.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	asks.ServerName = "example.com" // of the certificate of httptest
	return &tls.Config{Certificates: other.TLS.Certificates, MinVersion: tls.VersionTLS12}, asks
}

// Guards against heads over TLS that are charged by their ciphertext, in which no lines can
// be counted, or not at all.
func TestHeadsOverTLS(t *testing.T) {
	serves, asks := testTLS(t)
	memory := callermemory.New(clk, 8<<20)
	held := make(chan int, 10)
	se, hi := startLimited(t, citronstream.ClientLimits{Connections: 10, HeaderLines: 50}, func(wr http.ResponseWriter, _ *http.Request) {
		held <- memory.Used()
		_, _ = io.WriteString(wr, "ok")
	}, WithTLS(serves), WithMemory(memory))
	connect := func() (*tls.Conn, *bufio.Reader) {
		nc, br := dial(t, se)
		tc := tls.Client(nc, asks)
		br.Reset(tc)
		return tc, br
	}
	tc, br := connect()
	write(t, tc, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 40)+"\r\n")
	assertAnswered(t, br)
	assert.GreaterOrEqual(t, <-held, connBytes+tlsBytes+40*lineBytes)
	write(t, tc, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 60)+"\r\n")
	assertStatus(t, br, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, 1, hi.count(LimitHeaderLines))
	tc, br = connect()
	write(t, tc, "GET / HTTP/1.1\r\nHost: h\r\na: "+strings.Repeat("x", defaultHeaderBytes+headSlack))
	assertStatus(t, br, http.StatusRequestHeaderFieldsTooLarge)
	_, err := dialPlain(t, se)
	require.Error(t, err, "plain HTTP")
}

// Guards against clients that make TLS keep far more than what their connections count, by
// handshakes of many bytes, and against a charge for ordinary clients.
func TestLargeHandshakes(t *testing.T) {
	serves, asks := testTLS(t)
	ordinary := asks.Clone()
	ordinary.DynamicRecordSizingDisabled = true // records of 16 KB
	for number := range 200 {                   // 57 KB
		asks.NextProtos = append(asks.NextProtos, fmt.Sprintf("%0250d", number))
	}
	read := func(wr http.ResponseWriter, rq *http.Request) {
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(wr, "ok")
	}
	request := func(se *Server, config *tls.Config) error {
		nc, _ := dial(t, se)
		tc := tls.Client(nc, config)
		if _, err := io.WriteString(tc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n"+strings.Repeat("x", 500_000)); err != nil {
			return err
		}
		_, err := http.ReadResponse(bufio.NewReader(tc), nil)
		return err
	}
	t.Run("counted", func(t *testing.T) {
		memory := callermemory.New(clk, 8<<20)
		se, _ := startLimited(t, citronstream.ClientLimits{}, read, WithTLS(serves), WithMemory(memory))
		require.NoError(t, request(se, ordinary))
		assert.Eventually(t, func() bool { return memory.Used() == connBytes+tlsBytes }, testTimeout, time.Millisecond, "the head is given back")
		require.NoError(t, request(se, asks))
		assert.Greater(t, memory.Used(), 2*(connBytes+tlsBytes)+80<<10)
		assert.Eventually(t, func() bool { return se.CloseIdle() == 0 && memory.Used() == 0 }, testTimeout, time.Millisecond)
	})
	t.Run("refused", func(t *testing.T) {
		memory := callermemory.New(clk, 160<<10)
		se, hi := startLimited(t, citronstream.ClientLimits{}, read, WithTLS(serves), WithMemory(memory))
		require.Error(t, request(se, asks))
		assert.Equal(t, 1, hi.count(LimitMemory))
		require.NoError(t, request(se, ordinary))
	})
}

// Guards against the end of the process being held up by clients over TLS that do not read:
// the alert of each one's end waits for 5 s.
func TestCloseWithUnreadTLS(t *testing.T) {
	const clients = 8
	serves, asks := testTLS(t)
	full, release := make(chan struct{}), make(chan struct{})
	se, _ := startLimited(t, citronstream.ClientLimits{}, func(_ http.ResponseWriter, rq *http.Request) {
		raw := rq.Context().Value(callerKey{}).(*callerConn).stream.(*tlsStream).raw
		for _, size := range []int{64 << 10, 1 << 10, 16} { // the last segments take small writes for longer
			assert.NoError(t, raw.SetWriteDeadline(clk.Now().Add(500*time.Millisecond)))
			for data := make([]byte, size); ; {
				if _, err := raw.Write(data); err != nil {
					break
				}
			}
		}
		full <- struct{}{}
		<-release
	}, WithTLS(serves))
	defer close(release)
	for range clients {
		nc, _ := dial(t, se)
		write(t, tls.Client(nc, asks), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	for range clients {
		<-full
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		se.Close()
	}()
	select {
	case <-closed:
	case <-clk.After(testTimeout):
		t.Fatal("still closing")
	}
}

// blockedStream is a connection on which the end of a response can't be written.
type blockedStream struct {
	net.Conn
	blocked, release chan struct{}
}

func (bs *blockedStream) CloseWrite() error {
	close(bs.blocked)
	<-bs.release
	return nil
}

// Guards against a client that does not take the alert of the end, for which TLS waits up to
// 5 s, and keeps out new connections meanwhile.
func TestBlockedCloseWrite(t *testing.T) {
	here, there := net.Pipe()
	defer func() { _, _ = here.Close(), there.Close() }()
	bs := &blockedStream{Conn: here, blocked: make(chan struct{}), release: make(chan struct{})}
	ca := newCallers(clk, citronstream.CallerLimits{})
	cc := ca.add(bs)
	var ends sync.WaitGroup
	ends.Go(func() { _ = cc.CloseWrite() })
	<-bs.blocked
	done := make(chan struct{})
	go func() {
		defer close(done)
		ca.closeOne()
		ca.closeIdle()
	}()
	select {
	case <-done:
	case <-clk.After(testTimeout):
		t.Error("still waiting")
	}
	close(bs.release)
	_ = there.Close()
	ends.Wait()
}

func dialPlain(t *testing.T, se *Server) (*http.Response, error) {
	nc, br := dial(t, se)
	write(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return http.ReadResponse(br, nil)
}

// Guards against a process that stops before an answer has been written, and one that waits
// for a request that it has refused.
func TestRunning(t *testing.T) {
	release := make(chan struct{})
	se := startServerWith(t, func(wr http.ResponseWriter, rq *http.Request) {
		if rq.URL.Path == "/run" {
			Count(rq)
			Count(rq)
		}
		<-release
		_, _ = io.WriteString(wr, "ok")
	})
	running, ran := dial(t, se)
	write(t, running, "GET /run HTTP/1.1\r\nHost: h\r\n\r\n")
	refused, _ := dial(t, se)
	write(t, refused, "GET /refuse HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Eventually(t, func() bool { return se.Running() == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, refused.Close())
	assert.Equal(t, 1, se.Running())
	close(release)
	assertAnswered(t, ran)
	assert.Eventually(t, func() bool { return se.Running() == 0 }, testTimeout, time.Millisecond)
}
