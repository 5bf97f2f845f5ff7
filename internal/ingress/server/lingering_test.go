package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A caller that sends on after its response does not hold its connection for long, nor up
// the end of the process.
func TestLingering(t *testing.T) {
	refused := func(t *testing.T) (*Server, net.Conn, *bufio.Reader) {
		se := startServerWith(t, func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "ok") })
		nc, br := dial(t, se)
		write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1000000\r\n\r\n")
		assertAnswered(t, br)
		return se, nc, br
	}
	open := func(se *Server) bool {
		se.callers.mu.Lock()
		defer se.callers.mu.Unlock()
		return len(se.callers.open) > 0
	}
	t.Run("ends", func(t *testing.T) {
		t.Parallel()
		se, nc, _ := refused(t)
		write(t, nc, "x")
		assert.True(t, open(se), "it lingers")
		assert.Eventually(t, func() bool { return !open(se) }, testTimeout, time.Millisecond)
	})
	t.Run("ends with the caller", func(t *testing.T) {
		t.Parallel()
		se, nc, _ := refused(t)
		began := clk.Now()
		require.NoError(t, nc.Close())
		assert.Eventually(t, func() bool { return !open(se) }, testTimeout, time.Millisecond)
		assert.Less(t, clk.Since(began), lingerTime)
	})
	t.Run("ends with the server", func(t *testing.T) {
		t.Parallel()
		se, _, _ := refused(t)
		began := clk.Now()
		se.Close()
		assert.Less(t, clk.Since(began), lingerTime)
	})
}

// Guards against requests refused before their body is read that hold their connection for
// as long as the body stalls, without an answer.
func TestRefusedBeforeStalledBody(t *testing.T) {
	for _, status := range []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			t.Parallel()
			se := startServerWith(t, func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(status) })
			nc, br := dial(t, se)
			write(t, nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
			require.NoError(t, nc.SetReadDeadline(clk.Now().Add(testTimeout)))
			res, err := http.ReadResponse(br, nil)
			require.NoError(t, err)
			assert.Equal(t, status, res.StatusCode)
			assert.Eventually(t, func() bool { return se.Open() == 0 }, testTimeout, time.Millisecond)
		})
	}
}
