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
	ln    net.Listener
	bytes atomic.Int64 // received on all connections
	whole atomic.Int64 // complete requests received
	wg    sync.WaitGroup
}

// rawConn is a connection of a rawServer. Reads through in are recorded.
type rawConn struct {
	net.Conn
	rs *rawServer
	in *bufio.Reader
	n  int // counts connections from 1
}

func (rc *rawConn) Read(data []byte) (int, error) {
	n, err := rc.Conn.Read(data)
	rc.rs.bytes.Add(int64(n))
	return n, err
}

// request reads one complete request and reports whether it came.
func (rc *rawConn) request() bool {
	req, err := http.ReadRequest(rc.in)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	rc.rs.whole.Add(1)
	return true
}

func (rc *rawConn) answer(text string) { _, _ = io.WriteString(rc.Conn, text) }

// newRawServer closes each connection when its script returns.
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
				rc := &rawConn{Conn: raw, rs: rs, n: n}
				rc.in = bufio.NewReader(rc)
				script(rc)
				_ = raw.Close()
			})
		}
	})
	return rs
}

// stop waits until every script has ended, so that the record is final.
func (rs *rawServer) stop() {
	_ = rs.ln.Close()
	rs.wg.Wait()
}
