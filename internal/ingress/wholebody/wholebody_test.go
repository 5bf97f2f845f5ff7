package wholebody

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/ingress/server"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Deadlines of real sockets need the real clock.
var clk = clockwork.NewRealClock()

// testTimeout bounds waits; no result depends on its length.
const testTimeout = 20 * time.Second

const limit = 1 << 20

// fixture serves requests by reading their bodies.
type fixture struct {
	t      *testing.T
	memory *callermemory.Account
	server *server.Server
	errs   chan error
}

func start(t *testing.T, total int, stall time.Duration) *fixture {
	fx := &fixture{t: t, memory: callermemory.New(clk, total), errs: make(chan error, 100)}
	re := New(clk, fx.memory, stall)
	fx.server = server.New(clk, logr.Discard(), http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		ho := fx.memory.Open()
		defer ho.Close()
		data, err := re.Read(wr, rq, ho, rq.Header.Get("Workspace"), limit)
		fx.errs <- err
		if err != nil {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(wr, len(data))
	}), server.WithMemory(fx.memory), server.WithClientLimits(citronstream.ClientLimits{Connections: 100}))
	require.NoError(t, fx.server.Start("127.0.0.1:0"))
	t.Cleanup(fx.server.Close)
	return fx
}

// send opens a connection and sends a request of a workspace.
func (fx *fixture) send(workspace, rest string) *bufio.Reader {
	nc, err := net.Dial("tcp", fx.server.Listener().Addr().String())
	require.NoError(fx.t, err)
	fx.t.Cleanup(func() { _ = nc.Close() })
	require.NoError(fx.t, nc.SetDeadline(clk.Now().Add(testTimeout)))
	go func() { _, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nWorkspace: "+workspace+"\r\n"+rest) }()
	return bufio.NewReader(nc)
}

// assertRead asserts that a body is read and its response has its length.
func (fx *fixture) assertRead(br *bufio.Reader, length int) {
	fx.t.Helper()
	require.NoError(fx.t, <-fx.errs)
	res, err := http.ReadResponse(br, nil)
	require.NoError(fx.t, err)
	text, err := io.ReadAll(res.Body)
	require.NoError(fx.t, err)
	assert.Equal(fx.t, fmt.Sprint(length), string(text))
}

// assertRefused asserts that a body is refused with a response that ends the connection.
func (fx *fixture) assertRefused(br *bufio.Reader, want error) {
	fx.t.Helper()
	require.ErrorIs(fx.t, <-fx.errs, want)
	res, err := http.ReadResponse(br, nil)
	require.NoError(fx.t, err)
	assert.Equal(fx.t, http.StatusServiceUnavailable, res.StatusCode)
	assert.True(fx.t, res.Close)
}

func chunked(body, chunk int) string {
	text := "Transfer-Encoding: chunked\r\n\r\n"
	for ; body > 0; body -= chunk {
		text += fmt.Sprintf("%x\r\n%s\r\n", min(chunk, body), strings.Repeat("x", min(chunk, body)))
	}
	return text + "0\r\n\r\n"
}

func whole(length int) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, strings.Repeat("x", length))
}

// Guards against a single request within the limit that finds no memory in the smallest
// account that the settings allow, and against one beyond it that is taken.
func TestSizes(t *testing.T) {
	fx := start(t, 4*limit+1<<20, testTimeout)
	for _, length := range []int{0, 1, minChunk - 1, minChunk, minChunk + 1, atOnce - 1, atOnce, atOnce + 1, 100_000, limit} {
		fx.assertRead(fx.send("w", whole(length)), length)
		fx.assertRead(fx.send("w", chunked(length, 64<<10)), length)
	}
	fx.assertRead(fx.send("w", chunked(10_000, 1)), 10_000)
	fx.assertRefused(fx.send("w", whole(limit+1)), ErrTooLarge)
	fx.assertRefused(fx.send("w", chunked(limit+1, 64<<10)), ErrTooLarge)
	assert.Eventually(t, func() bool { return fx.server.CloseIdle() == 0 && fx.memory.Used() == 0 }, testTimeout, time.Millisecond)
}

// Guards against bodies that take more than their memory, and against one that has stalled
// and keeps out others.
func TestMemory(t *testing.T) {
	fx := start(t, 8*limit, testTimeout) // for three bodies, and less for the one that is joined
	stalled := fx.send("w", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", limit, strings.Repeat("x", limit-1)))
	require.Eventually(t, func() bool { return fx.memory.Used() > limit }, testTimeout, time.Millisecond)
	fx.send("v", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", limit, strings.Repeat("x", limit-1)))
	require.Eventually(t, func() bool { return fx.memory.Used() > 2*limit }, testTimeout, time.Millisecond)
	clk.Sleep(2100 * time.Millisecond) // a body counts as stalled after 2 s
	newcomer := fx.send("u", whole(limit))
	fx.assertRefused(stalled, ErrNoMemory)
	fx.assertRead(newcomer, limit)
}

// Guards against a body without an end that keeps its memory for good.
func TestStall(t *testing.T) {
	fx := start(t, 4*limit+1<<20, 50*time.Millisecond)
	fx.assertRefused(fx.send("w", "Content-Length: 10\r\n\r\nx"), ErrStalled)
	fx.assertRefused(fx.send("w", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"), ErrStalled)
}

// Guards against a reader that needs an account or the HTTP server of this project.
func TestWithoutAccount(t *testing.T) {
	rq := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	data, err := New(clk, nil, time.Second).Read(httptest.NewRecorder(), rq, nil, "w", limit)
	require.NoError(t, err)
	assert.Equal(t, "body", string(data))
}
