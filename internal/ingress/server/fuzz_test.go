package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// fuzzBytes bounds the inputs.
	fuzzBytes = 64 << 10
	// allocatedOnce and allocatedPerByte bound what is allocated for one connection, garbage
	// included: maps are copied while they grow, and the shortest line has 3 bytes.
	allocatedOnce    = 1 << 20
	allocatedPerByte = 300
)

// fuzzed is a server for fuzzed requests.
type fuzzed struct {
	*Server
	memory *callermemory.Account
	held   atomic.Int64 // the most that was held while a request ran
}

func startFuzzed(f *testing.F) *fuzzed {
	fu := &fuzzed{memory: callermemory.New(clk, 8<<20)}
	fu.Server = New(clk, logr.Discard(), http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		_, err := io.Copy(io.Discard, rq.Body)
		fu.held.Store(max(fu.held.Load(), int64(fu.memory.Used())))
		if err != nil {
			wr.WriteHeader(http.StatusBadRequest)
		}
	}), WithMemory(fu.memory), WithClientLimits(citronstream.ClientLimits{Connections: 100}))
	require.NoError(f, fu.Start("127.0.0.1:0"))
	f.Cleanup(fu.Close)
	return fu
}

// try sends a text on a connection of its own, cut at two places into writes, and reads
// what comes until the server closes.
func (fu *fuzzed) try(t *testing.T, text []byte, cut uint16) (answer []byte) {
	text = text[:min(len(text), fuzzBytes)]
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	nc, err := net.Dial("tcp", fu.ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	require.NoError(t, nc.SetDeadline(clk.Now().Add(testTimeout)))
	at := min(int(cut), len(text))
	read := make(chan []byte, 1)
	go func() {
		raw, err := io.ReadAll(nc)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			raw = nil // the server does not close
		}
		read <- append(raw, '.')
	}()
	for _, part := range [][]byte{text[:at], text[at:]} {
		_, _ = nc.Write(part) // the server may have closed
	}
	_ = nc.(*net.TCPConn).CloseWrite() // the same
	answer = <-read
	require.NotEmpty(t, answer)
	answer = answer[:len(answer)-1]
	require.Eventually(t, func() bool { return fu.memory.Used() == 0 }, testTimeout, time.Millisecond, "memory is held for a closed connection")
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(allocatedOnce+allocatedPerByte*len(text)), "allocated bytes")
	return answer
}

// FuzzHead fuzzes start lines and header lines. Guards against ones that end the process,
// allocate without bound, hold memory, or are served though the account does not have them.
func FuzzHead(f *testing.F) {
	for _, lines := range []string{
		"", "a:\r\n", ":\r\n", "a\r\n", " a: b\r\n", "a: b\r\n c\r\n", "a: \x00\r\n", "\x80: \xff\r\n", "a:\n", "Host: h\r\n",
		"Content-Length: 1\r\n", "Content-Length: -1\r\n", "Content-Length: 1\r\nContent-Length: 2\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
		"Expect: 100-continue\r\nContent-Length: 1\r\n", "Connection: close\r\n", "Upgrade: h2c\r\n",
		strings.Repeat("a:\r\n", 4000), strings.Repeat("a:\n", 7000), "a:" + strings.Repeat("x", 30<<10) + "\r\n", strings.Repeat("f: a\r\n b\r\n", 1000),
	} {
		f.Add("GET / HTTP/1.1", lines, uint16(20))
	}
	for _, start := range []string{"", "GET", "GET / HTTP/1.0", "GET / HTTP/9.9", "PRI * HTTP/2.0", "G\x00T / HTTP/1.1", "GET //x HTTP/1.1", strings.Repeat("x", 20<<10), "\r\n\r\nGET / HTTP/1.1"} {
		f.Add(start, "Host: h\r\n", uint16(3))
	}
	fu := startFuzzed(f)
	f.Fuzz(func(t *testing.T, start, lines string, cut uint16) {
		fu.held.Store(0)
		text := start + "\r\nHost: h\r\n" + lines + "\r\n"
		answer := fu.try(t, []byte(text), cut)
		if bytes.HasPrefix(answer, []byte("HTTP/1.1 200 ")) {
			assert.GreaterOrEqual(t, int(fu.held.Load()), connBytes)
		}
	})
}

// FuzzChunked fuzzes chunked bodies and their trailers, with a second request after them.
func FuzzChunked(f *testing.F) {
	for _, body := range []string{
		"", "0\r\n\r\n", "1\r\nx\r\n0\r\n\r\n", "1\nx\n0\n\n", "1;e=f\r\nx\r\n0\r\n\r\n", "ffffffffffffffff\r\n", "-1\r\n", "0x1\r\nx\r\n", "1 \r\nx\r\n0\r\n\r\n",
		"5\r\nx\r\n0\r\n\r\n", "0\r\na: b\r\n\r\n", "0\r\na\r\n\r\n", "0\r\nContent-Length: 5\r\n\r\n", "00000000000000000001\r\nx\r\n0\r\n\r\n",
		strings.Repeat("1\r\nx\r\n", 8000) + "0\r\n\r\n", "1;" + strings.Repeat("e", 5000) + "\r\nx\r\n0\r\n\r\n",
		strings.Repeat("1;"+strings.Repeat("e", 100)+"\r\nx\r\n", 500) + "0\r\n\r\n",
		"0\r\n" + strings.Repeat("t:\r\n", 900) + "\r\n", "0\r\n" + strings.Repeat("t:\r\n", 5000) + "\r\n", "0\r\nt:" + strings.Repeat("x", 8000) + "\r\n\r\n",
	} {
		f.Add(body, uint16(100))
	}
	fu := startFuzzed(f)
	f.Fuzz(func(t *testing.T, body string, cut uint16) {
		fu.try(t, fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: t\r\n\r\n%sGET / HTTP/1.1\r\nHost: h\r\n\r\n", body), cut)
	})
}
