package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// bound limits how long a test waits for an event; no result depends on its length.
const bound = 20 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start returns a relay to an echo server, and its fake clock.
func start(t *testing.T) (*Relay, *clockwork.FakeClock) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			co, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(co, co); _ = co.Close() }()
		}
	}()
	clk := clockwork.NewFakeClock()
	re := New(clk, ln.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, re.Start(ctx, "127.0.0.1:0"))
	t.Cleanup(func() { cancel(); <-re.Done(); _ = ln.Close(); <-ended })
	return re, clk
}

func dial(t *testing.T, re *Relay) net.Conn {
	co, err := net.Dial("tcp", re.Address())
	require.NoError(t, err)
	require.NoError(t, co.SetDeadline(clockwork.NewRealClock().Now().Add(bound)))
	t.Cleanup(func() { _ = co.Close() })
	return co
}

func assertEcho(t *testing.T, co net.Conn, text string) {
	t.Helper()
	_, err := co.Write([]byte(text))
	require.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(co, got)
	require.NoError(t, err)
	assert.Equal(t, text, string(got))
}

func TestRelay(t *testing.T) {
	t.Run("forwards data and the end of the stream", func(t *testing.T) {
		re, _ := start(t)
		co := dial(t, re)
		assertEcho(t, co, "hello")
		require.NoError(t, co.(*net.TCPConn).CloseWrite())
		_, err := co.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
	// If a silent connection forwarded its close, the peer would detect it at
	// once, and the tests of silent connections would prove nothing.
	t.Run("silent connections stay open, new ones work", func(t *testing.T) {
		re, _ := start(t)
		old := dial(t, re)
		assertEcho(t, old, "hello")
		re.SilenceExisting()
		_, err := old.Write([]byte("lost"))
		require.NoError(t, err)
		got := make(chan error, 1)
		go func() { _, err := old.Read(make([]byte, 1)); got <- err }()
		assertEcho(t, dial(t, re), "new")
		assert.Equal(t, 2, re.Connections())
		assert.Empty(t, got)
		re.CutAll()
		assert.Error(t, <-got)
	})
	t.Run("refuses new connections", func(t *testing.T) {
		re, _ := start(t)
		old := dial(t, re)
		assertEcho(t, old, "hello")
		require.NoError(t, re.Refuse(true))
		_, err := net.Dial("tcp", re.Address())
		assert.Error(t, err)
		assertEcho(t, old, "still")
		require.NoError(t, re.Refuse(false))
		assertEcho(t, dial(t, re), "again")
	})
	t.Run("cuts after n bytes", func(t *testing.T) {
		re, _ := start(t)
		re.CutAfter(8)
		co := dial(t, re)
		_, err := co.Write([]byte("hello"))
		require.NoError(t, err)
		got, _ := io.ReadAll(co)
		assert.Equal(t, "hel", string(got))
	})
	t.Run("delays each direction", func(t *testing.T) {
		re, clk := start(t)
		re.SetDelay(time.Second)
		co := dial(t, re)
		ctx, cancel := context.WithTimeout(context.Background(), bound)
		defer cancel()
		ended := make(chan struct{})
		go func() { defer close(ended); assertEcho(t, co, "hello") }()
		for range 2 {
			require.NoError(t, clk.BlockUntilContext(ctx, 1))
			clk.Advance(time.Second)
		}
		<-ended
	})
}
