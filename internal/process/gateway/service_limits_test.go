package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against stalled bodies and idle connections that take all connections of the
// readiness address, so that a sound gateway counts as not ready.
func TestReadinessBesideHeldConnections(t *testing.T) {
	for name, text := range map[string]string{
		"stalled body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n",
		"idle":         "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			hs := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: ioTimeout}
			boundServer(hs)
			go func() { _ = hs.Serve(ln) }()
			t.Cleanup(func() { _ = hs.Close() })
			for range serviceConns {
				nc, err := net.Dial("tcp", ln.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = nc.Close() })
				_, err = io.WriteString(nc, text)
				require.NoError(t, err)
			}
			check := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			assert.Eventually(t, func() bool {
				res, err := check.Get("http://" + ln.Addr().String() + "/")
				if err == nil {
					_ = res.Body.Close()
				}
				return err == nil && res.StatusCode == http.StatusOK
			}, 10*time.Second, 200*time.Millisecond)
		})
	}
}
