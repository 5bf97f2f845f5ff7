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

// testTimeout bounds a test that waits for an event; no result depends on its value.
const testTimeout = 20 * time.Second

const (
	ok200               = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	truncated200        = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"
	truncatedChunked200 = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	error500            = "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno"
	truncated500        = "HTTP/1.1 500 Oops\r\nContent-Length: 9\r\n\r\nno"
	redirect302         = "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"
	malformed           = "SSH-2.0-nonsense\r\n\r\n"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run sends a request and reads the whole answer.
func run(ctx context.Context, cl *Client, address string, body int, header http.Header) error {
	ans, err := cl.Send(ctx, Request{Method: http.MethodPost, Address: address, Path: "/x", Body: make([]byte, body), Header: header})
	if err != nil {
		return err
	}
	defer ans.Close()
	_, err = ans.ReadAll(ctx)
	return err
}

// assertVerdictMatches checks the verdict of err against what the server received.
func assertVerdictMatches(t *testing.T, rs *rawServer, err error) {
	t.Helper()
	rs.stop()
	switch citronstream.VerdictOf(err) {
	case citronstream.NotRun:
		assert.Zero(t, rs.bytes.Load(), "NotRun, but the server received bytes: %v", err)
	case citronstream.Ran:
		assert.EqualValues(t, 1, rs.requests.Load(), "Ran, but the server has no complete request: %v", err)
	}
	assert.LessOrEqual(t, rs.requests.Load(), int64(1), "request was sent twice")
}

// Each case breaks the call at one point. Guards against a verdict that
// contradicts what the server received: an order would run twice, or be
// reported as run although it was not.
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
		{"request sent in part", func(rc *rawConn) { _, _ = io.CopyN(io.Discard, rc.in, 1000) }, 32 << 20, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"sent", read(""), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"truncated answer head", read(ok200[:20]), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"truncated answer body", read(truncated200), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"truncated chunked answer", read(truncatedChunked200), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"truncated error answer", read(truncated500), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamDied},
		{"malformed answer", read(malformed), 10, citronstream.MayHaveRun, citronstream.CodeUpstreamFailed},
		{"error answer", read(error500), 10, citronstream.Ran, citronstream.CodeUpstreamFailed},
		{"redirect is not followed", read(redirect302), 10, citronstream.Ran, citronstream.CodeUpstreamFailed},
		{"after the answer", read(ok200), 10, citronstream.Ran, ""},
		{"empty body", read(ok200), 0, citronstream.Ran, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			rs, cl := newRawServer(t, tc.script), New()
			err := run(ctx, cl, rs.ln.Addr().String(), tc.body, nil)
			cl.Close()
			assertVerdictMatches(t, rs, err)
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

// net/http writes from its own goroutine, which races with a cancel or close
// just after the connect. In either order, the verdict must match what the
// server received.
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
			assertVerdictMatches(t, rs, err)
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
			assertVerdictMatches(t, rs, err)
			counts[citronstream.VerdictOf(err)]++
		}
		t.Log(counts)
	})
	// The call is cancelled after the server has received a part of the request.
	t.Run("cancelled with the request sent in part", func(t *testing.T) {
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
		assertVerdictMatches(t, rs, err)
		assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
	})
}

// net/http sends a request with an Idempotency-Key again when a reused
// connection ends before the answer. Guards against an order that runs twice.
func TestNotSentTwice(t *testing.T) {
	cases := []struct {
		name string
		body int
	}{{"with a body", 10}, {"without a body", 0}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			rs, cl := newRawServer(t, func(rc *rawConn) {
				if rc.number > 1 {
					rc.request()
					return
				}
				rc.request()
				rc.answer(ok200)
				rc.request() // then closes the connection
			}), New()
			address := rs.ln.Addr().String()
			require.NoError(t, run(ctx, cl, address, tc.body, nil))
			err := run(ctx, cl, address, tc.body, http.Header{"Idempotency-Key": {"k"}})
			cl.Close()
			rs.stop()
			assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err), "%v", err)
			assert.Equal(t, citronstream.CodeUpstreamDied, citronstream.FaultOf(err).Code, "%v", err)
			assert.EqualValues(t, 2, rs.requests.Load())
		})
	}
}

// Guards against an unknown outcome for a call on a pooled connection that the
// server closed while it was idle, as in a restart: the call must use a new one.
func TestClosedWhileIdle(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
		require.Eventually(t, func() bool { return peerClosed(last) }, testTimeout, 10*time.Microsecond)
	}
	cl.Close()
	rs.stop()
	assert.EqualValues(t, rounds, rs.requests.Load())
}

// Guards against unbounded memory for an answer above the limit.
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
