package load

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/citronstream/citronstream"
)

// conn is a caller's connection that knows when it was opened.
type conn struct {
	net.Conn
	opened time.Time
}

func newClient(clk citronstream.Clock) *http.Client {
	var di net.Dialer
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024, MaxConnsPerHost: 4096, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			opened := clk.Now()
			nc, err := di.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{nc, opened}, nil
		},
	}}
}

// withConn notes when the connection that a request uses was opened. A kept
// connection of a killed entry can take a request before the client has seen
// that it is closed, so that the request breaks although it was sent later.
func withConn(ctx context.Context, an *answer) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if co, ok := info.Conn.(*conn); ok {
			an.opened = co.opened
		}
	}})
}
