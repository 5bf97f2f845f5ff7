package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// rawServer runs a script on each connection and records what it received.
type rawServer struct {
	ln       net.Listener
	bytes    atomic.Int64 // received on all connections
	requests atomic.Int64 // complete requests received
	wg       sync.WaitGroup
}

// rawConn is a connection of a rawServer, which counts the bytes read through in.
type rawConn struct {
	net.Conn
	rs     *rawServer
	in     *bufio.Reader
	number int // of the connection, from 1
}

func (rc *rawConn) Read(data []byte) (int, error) {
	n, err := rc.Conn.Read(data)
	rc.rs.bytes.Add(int64(n))
	return n, err
}

// request reads one request and reports whether it was complete.
func (rc *rawConn) request() bool {
	req, err := http.ReadRequest(rc.in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	rc.rs.requests.Add(1)
	return true
}

func (rc *rawConn) answer(text string) { _, _ = io.WriteString(rc.Conn, text) }

// newRawServer starts a server. It closes each connection when its script returns.
func newRawServer(t *testing.T, script func(rc *rawConn)) *rawServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	rs := &rawServer{ln: ln}
	rs.wg.Go(func() {
		for n := 1; ; n++ {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			rs.wg.Go(func() {
				rc := &rawConn{Conn: raw, rs: rs, number: n}
				rc.in = bufio.NewReader(rc)
				script(rc)
				_ = raw.Close()
			})
		}
	})
	return rs
}

// stop waits until every script has ended, so that the counts are final.
func (rs *rawServer) stop() {
	_ = rs.ln.Close()
	rs.wg.Wait()
}
