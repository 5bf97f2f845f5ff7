package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hits counts the limits that took effect.
type hits struct {
	mu     sync.Mutex
	counts map[string]int
}

func (hi *hits) hit(limit string) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.counts[limit]++
}

func (hi *hits) count(limit string) int {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.counts[limit]
}

func startLimited(t *testing.T, limits citronstream.ClientLimits, handler http.HandlerFunc, opts ...Option) (*Server, *hits) {
	hi := &hits{counts: make(map[string]int)}
	se := New(clk, logr.Discard(), handler, append(opts, WithClientLimits(limits), WithOnLimit(hi.hit))...)
	require.NoError(t, se.Start("127.0.0.1:0"))
	t.Cleanup(se.Close)
	return se, hi
}

func answerOK(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "ok") }

func assertStatus(t *testing.T, br *bufio.Reader, status int) {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	assert.Equal(t, status, res.StatusCode)
	assert.True(t, res.Close)
	assert.Equal(t, status == http.StatusServiceUnavailable, res.Header.Get("Retry-After") != "")
}

// A head with as many lines as allowed is served, one with more is refused.
func TestHeaderLines(t *testing.T) {
	const lines = 50
	head := func(lines int) string {
		return "POST / HTTP/1.1\r\nContent-Length: 1000\r\nHost: h\r\n" + strings.Repeat("a:\r\n", lines-2) + "\r\n" + strings.Repeat("\n", 1000)
	}
	se, hi := startLimited(t, citronstream.ClientLimits{HeaderLines: lines}, answerOK)
	nc, br := dial(t, se)
	for range 3 {
		write(t, nc, head(lines))
		assertAnswered(t, br)
	}
	assert.Zero(t, hi.count(LimitHeaderLines))
	write(t, nc, head(lines+1))
	assertStatus(t, br, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, 1, hi.count(LimitHeaderLines))
}

// A line as long as allowed is served, a longer one is refused, also if it comes in pieces.
func TestHeaderLineBytes(t *testing.T) {
	const most = 100
	line := func(bytes int) string { return "a:" + strings.Repeat("x", bytes-len("a:\r\n")) + "\r\n" }
	se, hi := startLimited(t, citronstream.ClientLimits{HeaderLineBytes: most}, answerOK)
	nc, br := dial(t, se)
	for range 3 {
		write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n"+line(most)+line(most)+secondHalf+strings.Repeat("x", 200))
		assertAnswered(t, br)
	}
	assert.Zero(t, hi.count(LimitHeaderLine))
	for _, part := range []string{firstHalf, line(most + 1)[:most/2], line(most + 1)[most/2:]} {
		write(t, nc, part)
		clk.Sleep(time.Millisecond)
	}
	assertStatus(t, br, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, 1, hi.count(LimitHeaderLine))
}

// Guards against an end of a head that the HTTP server does not see, after which lines
// would not be counted, and against lines of a body that are.
func TestHeadScan(t *testing.T) {
	for _, of := range []struct {
		text         string
		lines, bytes int
		longest      int
		ended        bool
	}{
		{"GET\r\na: b\r\n\r\nbody\n\n", 2, 13, 6, true},
		{"GET\na: b\n\nbody", 2, 10, 5, true},
		{"\r\n\nGET\r\n\r\n", 1, 10, 5, true},
		{"GET\r\n \r\na:\r\n", 3, 12, 5, false},
		{"GET\r\n\r\r\na:\r\n", 3, 12, 5, false},
		{"GET\r\nlong", 1, 9, 5, false},
		{"", 0, 0, 0, false},
	} {
		var whole, pieces headScan
		count := whole.scan([]byte(of.text))
		assert.Equal(t, []int{of.lines, of.bytes, of.longest}, []int{whole.lines, count, whole.longest}, "%q", of.text)
		assert.Equal(t, of.ended, whole.ended, "%q", of.text)
		count = 0
		for i := 0; i < len(of.text) && !pieces.ended; i++ {
			count += pieces.scan([]byte{of.text[i]})
		}
		assert.Equal(t, whole, pieces, "%q", of.text)
		assert.Equal(t, of.bytes, count, "%q", of.text)
	}
}

// fill takes the memory, except for the reserved parts, once the one open connection holds
// no head any more.
func fill(t *testing.T, memory *callermemory.Account, other *callermemory.Holder) {
	t.Helper()
	require.Eventually(t, func() bool { return memory.Used() == connBytes }, testTimeout, time.Millisecond)
	for other.Take(4<<10, callermemory.Request) {
	}
}

// A head for which there is no memory gets 503 before it is parsed, and one is served again
// once the memory is back. No memory is left over in the end.
func TestHeadMemory(t *testing.T) {
	const total = 1 << 20
	memory := callermemory.New(clk, total)
	var ran atomic.Int64
	se, hi := startLimited(t, citronstream.ClientLimits{}, func(wr http.ResponseWriter, _ *http.Request) {
		ran.Add(1)
		_, _ = io.WriteString(wr, "ok")
	}, WithMemory(memory))
	heavy := firstHalf + strings.Repeat("a:\r\n", 1000) + secondHalf
	other := memory.Open()
	nc, br := dial(t, se)
	write(t, nc, heavy)
	assertAnswered(t, br)
	fill(t, memory, other)
	write(t, nc, heavy)
	assertStatus(t, br, http.StatusServiceUnavailable)
	assert.Equal(t, 1, hi.count(LimitMemory))
	assert.EqualValues(t, 1, ran.Load(), "a refused request ran")
	other.Close()
	nc, br = dial(t, se)
	write(t, nc, heavy)
	assertAnswered(t, br)
	_ = nc.Close()
	assert.Eventually(t, func() bool { return memory.Used() == 0 }, testTimeout, time.Millisecond)
}

// Guards against heads that come with the request before them and so need no read of their
// own.
func TestPipelinedHeadIsCharged(t *testing.T) {
	memory := callermemory.New(clk, 1<<20)
	held := make(chan int, 2)
	se, hi := startLimited(t, citronstream.ClientLimits{}, func(wr http.ResponseWriter, _ *http.Request) {
		held <- memory.Used()
		_, _ = io.WriteString(wr, "ok")
	}, WithMemory(memory))
	nc, br := dial(t, se)
	const lines = 800
	write(t, nc, firstHalf+secondHalf+firstHalf+strings.Repeat("a:\r\n", lines)+secondHalf)
	assertAnswered(t, br)
	assertAnswered(t, br)
	<-held
	assert.Greater(t, <-held, lines*lineBytes)
	fill(t, memory, memory.Open())
	write(t, nc, firstHalf+secondHalf+firstHalf+strings.Repeat("a:\r\n", lines)+secondHalf)
	assertAnswered(t, br) // the short one has room in the reserved part
	assertStatus(t, br, http.StatusServiceUnavailable)
	assert.Equal(t, 1, hi.count(LimitMemory))
	assert.Len(t, held, 1, "the refused one ran")
}

// Guards against a head that begins in the read of the request before it, never ends, and
// is neither charged nor counted by lines.
func TestUnendedPipelinedHeadIsCharged(t *testing.T) {
	const lines = 700
	for name, of := range map[string]struct{ most, status int }{"lines": {100, http.StatusRequestHeaderFieldsTooLarge}, "memory": {0, 0}} {
		t.Run(name, func(t *testing.T) {
			memory := callermemory.New(clk, 64<<20)
			begun := make(chan struct{}, 1)
			se, _ := startLimited(t, citronstream.ClientLimits{HeaderLines: of.most}, func(wr http.ResponseWriter, _ *http.Request) {
				begun <- struct{}{}
				_, _ = io.WriteString(wr, "ok")
			}, WithMemory(memory))
			nc, br := dial(t, se)
			write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 4100))
			clk.Sleep(100 * time.Millisecond)
			write(t, nc, strings.Repeat("x", 900)+firstHalf+strings.Repeat("a:\r\n", lines))
			<-begun
			assertAnswered(t, br)
			if of.status != 0 {
				assertStatus(t, br, of.status)
				return
			}
			assert.Eventually(t, func() bool { return memory.Used() > connBytes+lines*lineBytes }, testTimeout, time.Millisecond)
		})
	}
}

// Guards against idle connections that leave no memory for the requests of others.
func TestIdleConnectionsLeaveMemoryForRequests(t *testing.T) {
	const count = 70
	memory := callermemory.New(clk, 2<<20)
	se, _ := startLimited(t, citronstream.ClientLimits{}, answerOK, WithMemory(memory))
	var nc net.Conn
	var br *bufio.Reader
	for range count {
		nc, br = dialKept(t, se)
	}
	write(t, nc, firstHalf+strings.Repeat("Header: value value value\r\n", 100)+secondHalf)
	res, err := http.ReadResponse(br, nil)
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, res.StatusCode)
}

// Guards against a second idle connection that is closed for one newcomer at the cap, by
// a signal of a connection that closed before.
func TestOneIdleConnectionClosesForANewcomer(t *testing.T) {
	const most = 10
	se, _ := startLimited(t, citronstream.ClientLimits{Connections: most}, answerOK)
	first, _ := dialKept(t, se)
	require.NoError(t, first.Close())
	clk.Sleep(50 * time.Millisecond)
	for range most {
		dialKept(t, se)
		clk.Sleep(2 * time.Millisecond)
	}
	require.Equal(t, most, se.Open())
	dialKept(t, se)
	clk.Sleep(100 * time.Millisecond)
	assert.Equal(t, most, se.Open())
}

// As many connections as allowed are served. A further one takes the place of the one that
// was idle for longest.
func TestConnections(t *testing.T) {
	const most = 5
	se, hi := startLimited(t, citronstream.ClientLimits{Connections: most}, answerOK)
	var conns []net.Conn
	var readers []*bufio.Reader
	for range most {
		nc, br := dialKept(t, se)
		conns, readers = append(conns, nc), append(readers, br)
		clk.Sleep(2 * time.Millisecond)
	}
	for i, nc := range conns {
		write(t, nc, firstHalf+secondHalf)
		assertAnswered(t, readers[i])
		clk.Sleep(2 * time.Millisecond)
	}
	assert.Zero(t, hi.count(LimitConnections))
	dialKept(t, se)
	_, err := readers[0].ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.LessOrEqual(t, se.Open(), most)
	write(t, conns[1], firstHalf+secondHalf)
	assertAnswered(t, readers[1])
	assert.Equal(t, 1, hi.count(LimitConnections))
}

// Guards against a server that can't stop while a connection waits for room, and reports
// that it accepts.
func TestStopWhileWaitingForRoom(t *testing.T) {
	begun := make(chan struct{})
	se, _ := startLimited(t, citronstream.ClientLimits{Connections: 1}, func(_ http.ResponseWriter, rq *http.Request) {
		close(begun)
		<-rq.Context().Done()
	})
	nc, _ := dial(t, se)
	write(t, nc, firstHalf+secondHalf)
	<-begun
	dial(t, se)
	assert.Eventually(t, func() bool { return se.Short() > 0 }, testTimeout, time.Millisecond)
	se.StopAccepting()
}

// A caller whose body is refused gets the answer though it still sends.
func TestRefusedBody(t *testing.T) {
	const bytes = 4 << 20
	se, _ := startLimited(t, citronstream.ClientLimits{}, func(wr http.ResponseWriter, rq *http.Request) {
		rq.Body.(interface{ Refuse() }).Refuse()
		wr.Header().Set("Retry-After", "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
	}, WithMemory(callermemory.New(clk, 1<<20)))
	for _, sent := range []int{0, 1 << 10, 300 << 10, bytes} {
		nc, br := dial(t, se)
		var writing sync.WaitGroup
		writing.Go(func() {
			_, _ = fmt.Fprintf(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", sent)) // may be cut
		})
		assertStatus(t, br, http.StatusServiceUnavailable)
		_ = nc.Close()
		writing.Wait()
	}
}
