package server

import (
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// Bytes that TLS may read for a handshake, and afterwards between two reads that return
	// application data, within tlsBytes: a record of 16 KB, later with what the buffer, of
	// 37 KB at most, takes of the next ones.
	handshakeBytes   = 17 << 10
	undeliveredBytes = 40 << 10
	// undeliveredFactor is the memory of each byte beyond these: crypto/tls joins handshake
	// messages in a buffer that doubles, and keeps it. A ClientHello of 57 KB left 93 KB.
	undeliveredFactor = 3
)

// tlsStream is TLS over a TCP connection.
type tlsStream struct {
	*tls.Conn
	raw         *rawConn
	established bool // the handshake is complete
}

func newTLSStream(nc *net.TCPConn, config *tls.Config) *tlsStream {
	raw := &rawConn{TCPConn: nc}
	raw.allowed.Store(handshakeBytes)
	return &tlsStream{Conn: tls.Server(raw, config), raw: raw}
}

// Read implements net.Conn.
func (ts *tlsStream) Read(data []byte) (int, error) {
	if err := ts.Handshake(); err != nil {
		return 0, err
	}
	if !ts.established {
		ts.established = true
		ts.raw.allowed.Store(undeliveredBytes)
	}
	count, err := ts.Conn.Read(data)
	if count > 0 {
		ts.raw.allowed.Store(undeliveredBytes)
	}
	return count, err
}

// rawConn is the TCP connection below TLS. It charges the connection for messages that TLS
// keeps until they are complete.
type rawConn struct {
	*net.TCPConn
	callers *callers
	memory  *callermemory.Holder
	allowed atomic.Int64 // bytes that may still be read without a charge
}

// Read implements net.Conn.
func (rc *rawConn) Read(data []byte) (int, error) {
	count, err := rc.TCPConn.Read(data)
	before := rc.allowed.Add(-int64(count)) + int64(count)
	over := min(int64(count), int64(count)-before)
	if over > 0 && !rc.memory.Take(undeliveredFactor*int(over), callermemory.Request) {
		rc.callers.hit(LimitMemory)
		return 0, errNoMemory
	}
	return count, err
}
