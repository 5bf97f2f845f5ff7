package completions

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a call whose output is complete and that ends only with its engine's
// connection or at its deadline.
func TestEndAfterDone(t *testing.T) {
	for name, after := range map[string]string{"silence": "", "comments": ": x\n\n"} {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
				_, err := io.WriteString(wr, textEvent+doneEvent)
				for wr.(http.Flusher).Flush(); err == nil && after != ""; {
					_, err = io.WriteString(wr, after)
				}
				<-rq.Context().Done()
			}))
			defer srv.Close()
			pr := New(exchange.WithMaxAnswer(256 << 20))
			defer pr.cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout/4)
			defer cancel()
			_, err := pr.Run(ctx, srv.Listener.Addr().String(), call("p", 4), func([]byte) error { return nil })
			require.NoError(t, err)
			assert.NoError(t, ctx.Err())
		})
	}
}

// Guards against a stream that is reset before its end and counts as complete. It has no
// length, and the request is still being sent.
func TestEarlyStreamThatIsReset(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n"
	for range 30 {
		srv := httptest.NewServer(rawanswer.New(clockwork.NewRealClock(), text, rawanswer.WithReset()))
		pr := New()
		_, err := pr.Run(t.Context(), srv.Listener.Addr().String(), call(strings.Repeat("x", 8<<20), 10), func([]byte) error { return nil })
		require.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
		pr.cl.Close()
		srv.Close()
	}
}
