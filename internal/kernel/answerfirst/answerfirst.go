// Package answerfirst lets an http.Transport read an answer that has arrived although the rest
// of its request can't be sent any more. By itself an http.Transport closes a connection as soon
// as a write fails.
package answerfirst

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"

	"github.com/citronstream/citronstream/internal/kernel/eofconn"
)

// Conn is a connection on which a write that fails returns only when a read has failed as well
// or the connection is closed.
type Conn struct {
	net.Conn

	end   func() // closes ended
	ended chan struct{}
}

// New wraps a connection from which its owner reads until a read fails, or which it closes.
func New(nc net.Conn) *Conn {
	co := &Conn{Conn: nc, ended: make(chan struct{})}
	co.end = sync.OnceFunc(func() { close(co.ended) })
	return co
}

// Write implements net.Conn.
func (co *Conn) Write(data []byte) (int, error) {
	count, err := co.Conn.Write(data)
	if err != nil {
		<-co.ended
	}
	return count, err
}

// Read implements net.Conn.
func (co *Conn) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if err != nil {
		co.end()
	}
	return count, err
}

// Close implements net.Conn.
func (co *Conn) Close() error {
	co.end()
	return co.Conn.Close()
}

// Use makes a transport that has a DialContext open such connections, on which an answer that
// breaks off does not end like a whole one, and returns the transport.
func Use(tr *http.Transport) *http.Transport {
	dial, config := tr.DialContext, tr.TLSClientConfig
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(eofconn.New(nc)), nil
	}
	// TLS tells the end of an answer by itself. It must stand below Conn: when it is closed, it
	// writes an alert, and that may fail while nobody reads.
	tr.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tc := tls.Client(nc, withServerName(config, address))
		if err = tc.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, err
		}
		return New(tc), nil
	}
	return tr
}

// withServerName returns a copy of a configuration, which may be nil, that names the server of
// an address.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config = config.Clone(); config == nil {
		config = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	if config.ServerName == "" {
		config.ServerName, _, _ = net.SplitHostPort(address)
	}
	return config
}
