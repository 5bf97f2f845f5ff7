package answerfirst

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a connection that is closed because a write has failed, and against a write
// that never returns.
func TestWrite(t *testing.T) {
	for name, end := range map[string]func(*Conn) error{
		"a read that fails": func(co *Conn) error {
			_, err := co.Read(make([]byte, 1))
			return err
		},
		"close": func(co *Conn) error { return co.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				assert.NoError(t, far.Close())
				co := New(near)
				written := make(chan error, 1)
				go func() {
					_, err := co.Write(make([]byte, 1))
					written <- err
				}()
				synctest.Wait()
				assert.Empty(t, written)
				_ = end(co)
				assert.ErrorIs(t, <-written, io.ErrClosedPipe)
			})
		})
	}
}

// closing is a connection that notes when it is closed.
type closing struct {
	net.Conn
	closed *atomic.Int32
}

func (cl closing) Close() error {
	cl.closed.Add(1)
	return cl.Conn.Close()
}

// ended answers without a length, ends its side of the connection and resets it.
func ended(wr http.ResponseWriter, _ *http.Request) {
	nc, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nhello")
	raw := nc
	if tc, ok := nc.(*tls.Conn); ok {
		raw = tc.NetConn()
		_ = tc.CloseWrite()
	}
	_ = raw.(*net.TCPConn).CloseWrite()
	_ = raw.(*net.TCPConn).SetLinger(0)
	_ = raw.Close()
}

// Guards against a connection that is never closed, as its server has closed it before: TLS
// writes an alert then, which fails.
func TestUse(t *testing.T) {
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		t.Run(name, func(t *testing.T) {
			server := start(http.HandlerFunc(ended))
			defer server.Close()
			var closed atomic.Int32
			tr := Use(&http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					nc, err := new(net.Dialer).DialContext(ctx, network, address)
					return closing{nc, &closed}, err
				},
				TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig,
			})
			for i := range 30 {
				res, err := (&http.Client{Transport: tr}).Get(server.URL)
				require.NoError(t, err)
				body, err := io.ReadAll(res.Body)
				require.NoError(t, err)
				assert.Equal(t, "hello", string(body))
				assert.NoError(t, res.Body.Close())
				require.Eventually(t, func() bool { return closed.Load() == int32(i+1) }, 5*time.Second, time.Millisecond)
			}
		})
	}
	t.Run("unknown certificate", func(t *testing.T) {
		server := httptest.NewTLSServer(http.HandlerFunc(ended))
		defer server.Close()
		_, err := (&http.Client{Transport: Use(&http.Transport{DialContext: new(net.Dialer).DialContext})}).Get(server.URL)
		assert.ErrorAs(t, err, new(*tls.CertificateVerificationError))
	})
}
