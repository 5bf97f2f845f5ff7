package jsonpost

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a number that breaks off and is emitted as another one: without a length or
// chunks, the end of the connection may be anywhere.
func TestUnframedNumber(t *testing.T) {
	for body, whole := range map[string]bool{"12": false, "-1.5": false, ` 12 `: true, `{"A":12}`: true, `[12]`: true, `"12"`: true, "true": true} {
		t.Run(body, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(wr).Hijack()
				if assert.NoError(t, err) {
					_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n"+body)
					_ = nc.Close()
				}
			}))
			defer srv.Close()
			pr := New()
			defer pr.cl.Close()
			var out string
			_, err := pr.Run(t.Context(), srv.Listener.Addr().String(), citronstream.Call{Path: "/"}, func(data []byte) error { out = string(data); return nil })
			if whole {
				require.NoError(t, err)
				assert.Equal(t, body, out)
				return
			}
			assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
			assert.Empty(t, out)
		})
	}
}

// Guards against a document of an answer that is reset before its end. It has no length, and
// the request is still being sent.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for name, body := range map[string]string{"part": `{"A":12`, "number": "12", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			for range 30 {
				srv := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), "HTTP/1.1 200 OK\r\n\r\n"+body, rawanswer.WithReset()))
				pr := New()
				_, err := pr.Run(t.Context(), srv.Listener.Addr().String(), citronstream.Call{Path: "/", Body: make([]byte, 8<<20)}, func(data []byte) error {
					assert.Fail(t, "a document that breaks off is emitted", "%s", data)
					return nil
				})
				require.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
				pr.cl.Close()
				srv.Close()
			}
		})
	}
}

// Guards against an answer that has arrived whole and is lost, as the rest of its request can't
// be sent any more.
func TestEarlyAnswerThatEnds(t *testing.T) {
	for name, text := range map[string]string{
		"neither": "\r\n{}", "length": "Content-Length: 2\r\n\r\n{}", "chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for range 30 {
				srv := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), "HTTP/1.1 200 OK\r\n"+text, rawanswer.WithEnd(), rawanswer.WithReset()))
				pr := New()
				var out string
				_, err := pr.Run(t.Context(), srv.Listener.Addr().String(), citronstream.Call{Path: "/", Body: make([]byte, 8<<20)}, func(data []byte) error { out = string(data); return nil })
				assert.NoError(t, err)
				assert.Equal(t, "{}", out)
				pr.cl.Close()
				srv.Close()
			}
		})
	}
}
