package plain

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/rawanswer"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
	"github.com/citronstream/citronstream/internal/upstream/exchange"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// run runs a call and returns the emitted answer.
func run(ctx context.Context, pr *Protocol, address string, ca citronstream.Call) (citronstream.Result, string, error) {
	var out []byte
	rs, err := pr.Run(ctx, address, ca, func(data []byte) error { out = append(out, data...); return nil })
	return rs, string(out), err
}

// serve starts a server with a handler and a protocol on a fake clock.
func serve(t testing.TB, handler http.HandlerFunc) (*Protocol, string, *clockwork.FakeClock) {
	clk := clockwork.NewFakeClock()
	pr := New(exchange.WithClock(clk))
	srv := httptest.NewServer(handler)
	t.Cleanup(func() { pr.cl.Close(); srv.Close() })
	return pr, srv.Listener.Addr().String(), clk
}

func TestHeaders(t *testing.T) {
	seen := make(chan *http.Request, 1)
	pr, address, clk := serve(t, func(w http.ResponseWriter, r *http.Request) { seen <- r; _, _ = w.Write([]byte("ok")) })
	ctx, cancel := clockwork.WithDeadline(context.Background(), clk, clk.Now().Add(1500*time.Millisecond))
	defer cancel()
	ca := citronstream.Call{RequestID: "r", AttemptID: "a", Key: "k", Path: "/orders", Trace: "00-1-2-01", Body: []byte(`{}`), Left: time.Hour}
	rs, out, err := run(ctx, pr, address, ca)
	require.NoError(t, err)
	assert.Equal(t, "ok", out)
	assert.Equal(t, 200, rs.Status)
	r := <-seen
	assert.Equal(t, "POST", r.Method)
	for name, value := range map[string]string{"Idempotency-Key": "k", "Deadline": "1500", "Traceparent": "00-1-2-01", "X-Request-Id": "r", "X-Attempt-Id": "a"} {
		assert.Equal(t, value, r.Header.Get(name), name)
	}
	t.Run("method in the path", func(t *testing.T) {
		_, _, err := run(context.Background(), pr, address, citronstream.Call{Path: "GET /status", Left: time.Second})
		require.NoError(t, err)
		r := <-seen
		assert.Equal(t, "GET /status", r.Method+" "+r.URL.Path)
		assert.Equal(t, "1000", r.Header.Get("Deadline"))
	})
}

// Guards against a truncated answer without a length that is reported as complete.
func TestUnframedAnswer(t *testing.T) {
	pr, address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		raw, _, _ := http.NewResponseController(w).Hijack()
		_, _ = raw.Write([]byte("HTTP/1.0 200 OK\r\n\r\nhalf"))
		_ = raw.Close()
	})
	_, out, err := run(context.Background(), pr, address, citronstream.Call{Path: "/x"})
	assert.Empty(t, out)
	assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
}

// Guards against an answer that a caller who has it already gets once more, and against one
// joined with another.
func TestResumedAnswer(t *testing.T) {
	pr, address, _ := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) })
	for prefix, rest := range map[string]string{"": "answer", "ans": "wer", "answer": ""} {
		_, out, err := run(t.Context(), pr, address, citronstream.Call{Path: "/x", Prefix: prefix, ResumeFrom: len(prefix)})
		require.NoError(t, err, prefix)
		assert.Equal(t, rest, out, prefix)
	}
	for _, prefix := range []string{"other", "answers"} {
		_, out, err := run(t.Context(), pr, address, citronstream.Call{Path: "/x", Prefix: prefix, ResumeFrom: len(prefix)})
		assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err), prefix)
		assert.Empty(t, out, prefix)
	}
}

func TestAgainstService(t *testing.T) {
	clk := clockwork.NewRealClock()
	log := record.New(clk)
	se := service.New(clk, "desk-1", log, service.WithScale(0))
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, se.Start(ctx, "127.0.0.1:0"))
	pr := New()
	ca := citronstream.Call{Path: "/orders", Key: "k", Body: []byte(`{"Part":7}`)}
	var numbers []uint64
	for range 2 {
		_, out, err := run(ctx, pr, se.Address(), ca)
		require.NoError(t, err)
		var ans service.Answer
		require.NoError(t, json.Unmarshal([]byte(out), &ans))
		assert.Equal(t, service.InputDigest(ca.Body), ans.Input)
		numbers = append(numbers, ans.Execution)
	}
	// The test service must count a call that is sent twice.
	assert.Equal(t, []uint64{1, 2}, numbers)
	assert.Len(t, log.ByKey("k"), 2)
	ca.Body = []byte(`{"Part":"citronstream-poison"}`)
	rs, _, err := run(ctx, pr, se.Address(), ca)
	assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
	assert.True(t, rs.Died)
	pr.cl.Close()
	cancel()
	<-se.Done()
}

// Guards against an answer that is reset before its end and is emitted. It has no length, and
// the request is still being sent.
func TestEarlyAnswerThatIsReset(t *testing.T) {
	for name, text := range map[string]string{
		"part": "HTTP/1.1 200 OK\r\n\r\npart", "empty": "HTTP/1.1 200 OK\r\n\r\n", "failure": "HTTP/1.1 500 No\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			for range 30 {
				pr, address, _ := serve(t, rawanswer.New(clockwork.NewRealClock(), text, rawanswer.WithReset()).ServeHTTP)
				_, out, err := run(t.Context(), pr, address, citronstream.Call{Path: "/", Body: make([]byte, 8<<20), Left: time.Hour})
				require.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
				assert.Empty(t, out)
			}
		})
	}
}
