package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// bound ends a test whose event never comes; no outcome depends on its length.
const bound = 20 * time.Second

const (
	ok200     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	half200   = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
	chunk200  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	error500  = "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"
	half500   = "HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\nno"
	move302   = "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
	malformed = "SSH-2.0-nonsense\r\n\r\n"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run sends a request and reads the whole answer.
func run(ctx context.Context, cl *Client, address string, body int, header http.Header) error {
	an, err := cl.Send(ctx, Request{Method: http.MethodPost, Address: address, Path: "/x", Body: make([]byte, body), Header: header})
	if err != nil {
		return err
	}
	defer an.Close()
	_, err = an.Whole(ctx)
	return err
}

// assertRecord checks a verdict against what the server received.
func assertRecord(t *testing.T, rs *rawServer, err error) {
	t.Helper()
	rs.stop()
	switch citronstream.VerdictOf(err) {
	case citronstream.NotRun:
		assert.Zero(t, rs.bytes.Load(), "NotRun, but the server received bytes: %v", err)
	case citronstream.Ran:
		assert.EqualValues(t, 1, rs.whole.Load(), "Ran, but the server has no complete request: %v", err)
	}
	assert.LessOrEqual(t, rs.whole.Load(), int64(1), "request was sent twice")
}

// Each case breaks the call at one point. A verdict that promises more than
// the server recorded would run an order twice or report one that never ran.
func TestVerdict(t *testing.T) {
	read := func(answer string) func(*rawConn) {
		return func(rc *rawConn) {
			if rc.request() {
				rc.answer(answer)
			}
		}
	}
	cases := []struct {
		name    string
		script  func(rc *rawConn)
		body    int
		verdict citronstream.Verdict
		code    citronstream.Code
	}{
		{"half sent", func(rc *rawConn) { _, _ = io.CopyN(io.Discard, rc.in, 1000) }, 32 << 20, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"sent", read(""), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"answer head half read", read(ok200[:20]), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"answer body half read", read(half200), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"chunked answer half read", read(chunk200), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"error answer half read", read(half500), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"malformed answer", read(malformed), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamFailed},
		{"error answer", read(error500), 10, citronstream.Ran, citronstream.CodeUpstreamFailed},
		{"redirect is not followed", read(move302), 10, citronstream.Ran, citronstream.CodeUpstreamFailed},
		{"after the answer", read(ok200), 10, citronstream.Ran, ""},
		{"empty body", read(ok200), 0, citronstream.Ran, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			rs, cl := newRawServer(t, tc.script), New()
			err := run(ctx, cl, rs.ln.Addr().String(), tc.body, nil)
			cl.Close()
			assertRecord(t, rs, err)
			assert.Equal(t, tc.verdict, citronstream.VerdictOf(err), "%v", err)
			if tc.code != "" {
				assert.Equal(t, tc.code, citronstream.FaultOf(err).Code, "%v", err)
			}
		})
	}
}

func TestVerdictBeforeConnect(t *testing.T) {
	rs, cl := newRawServer(t, func(rc *rawConn) { rc.request() }), New()
	address := rs.ln.Addr().String()
	t.Run("cancelled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.Equal(t, citronstream.NotRun, citronstream.VerdictOf(run(ctx, cl, address, 10, nil)))
	})
	cl.Close()
	rs.stop()
	t.Run("refused", func(t *testing.T) {
		err := run(context.Background(), cl, address, 10, nil)
		assert.Equal(t, citronstream.NotRun, citronstream.VerdictOf(err))
		assert.Equal(t, citronstream.CodeUnavailable, citronstream.FaultOf(err).Code)
	})
}

// net/http writes from its own goroutine, which races with a cancel or a
// close that comes just after the connect. Whichever wins, the verdict must
// agree with the server's record.
func TestVerdictAfterConnect(t *testing.T) {
	const rounds = 300
	t.Run("cancelled", func(t *testing.T) {
		counts := map[citronstream.Verdict]int{}
		for range rounds {
			ctx, cancel := context.WithCancel(context.Background())
			rs, cl := newRawServer(t, func(rc *rawConn) { rc.request() }), New()
			traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { cancel() }})
			err := run(traced, cl, rs.ln.Addr().String(), 10, nil)
			cl.Close()
			assertRecord(t, rs, err)
			counts[citronstream.VerdictOf(err)]++
			cancel()
		}
		t.Log(counts)
	})
	t.Run("closed by the server", func(t *testing.T) {
		counts := map[citronstream.Verdict]int{}
		for range rounds {
			rs, cl := newRawServer(t, func(*rawConn) {}), New()
			err := run(context.Background(), cl, rs.ln.Addr().String(), 10, nil)
			cl.Close()
			assertRecord(t, rs, err)
			counts[citronstream.VerdictOf(err)]++
		}
		t.Log(counts)
	})
	// The server has got a part of the request and the rest waits in the
	// sender when the call is cancelled.
	t.Run("cancelled half sent", func(t *testing.T) {
		got := make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		rs, cl := newRawServer(t, func(rc *rawConn) {
			_, _ = rc.in.ReadByte()
			close(got)
			rc.request()
		}), New()
		go func() { <-got; cancel() }()
		err := run(ctx, cl, rs.ln.Addr().String(), 64<<20, nil)
		cl.Close()
		assertRecord(t, rs, err)
		assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
	})
}

// net/http sends a request with an Idempotency-Key again when a reused
// connection ends before the answer. An order would then run twice.
func TestNotSentTwice(t *testing.T) {
	cases := []struct {
		name string
		body int
	}{{"with a body", 10}, {"without a body", 0}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			rs, cl := newRawServer(t, func(rc *rawConn) {
				if rc.n > 1 {
					rc.request()
					return
				}
				rc.request()
				rc.answer(ok200)
				rc.request() // and dies
			}), New()
			address := rs.ln.Addr().String()
			require.NoError(t, run(ctx, cl, address, tc.body, nil))
			err := run(ctx, cl, address, tc.body, http.Header{"Idempotency-Key": {"k"}})
			cl.Close()
			rs.stop()
			assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err), "%v", err)
			assert.Equal(t, citronstream.CodeUpstreamDied, citronstream.FaultOf(err).Code, "%v", err)
			assert.EqualValues(t, 2, rs.whole.Load())
		})
	}
}

// A call on a pooled connection that the server closed while it was idle, as
// a restart does, must go out on a new one and not end in doubt.
func TestClosedWhileIdle(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	const rounds = 100
	rs, cl := newRawServer(t, func(rc *rawConn) {
		if rc.request() {
			rc.answer(ok200)
		}
	}), New()
	var last net.Conn
	dial := cl.tr.DialContext
	cl.tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		co, err := dial(ctx, network, address)
		if err == nil {
			last = co.(*conn).Conn
		}
		return co, err
	}
	for range rounds {
		require.NoError(t, run(ctx, cl, rs.ln.Addr().String(), 10, nil))
		require.Eventually(t, func() bool { return peerClosed(last) }, bound, 10*time.Microsecond)
	}
	cl.Close()
	rs.stop()
	assert.EqualValues(t, rounds, rs.whole.Load())
}

// An answer without an end must not fill the memory.
func TestAnswerLimit(t *testing.T) {
	rs, cl := newRawServer(t, func(rc *rawConn) {
		rc.request()
		rc.answer("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")
		rc.answer(string(make([]byte, 1000)))
	}), New(WithMaxAnswer(999))
	err := run(context.Background(), cl, rs.ln.Addr().String(), 0, nil)
	cl.Close()
	rs.stop()
	assert.Equal(t, citronstream.CodeTooLarge, citronstream.FaultOf(err).Code)
}
