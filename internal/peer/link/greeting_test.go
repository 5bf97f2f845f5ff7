package link

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	testTimeout = 20 * time.Second
	greet       = "Test.Greet"
)

// greetingPair returns both ends of a connection: a link that waits for a greeting, and one that
// dialed it.
func greetingPair(t *testing.T, within time.Duration) (accepted, dialed *Link) {
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	stream, err := eng.Dial(t.Context(), ln.Addr().String())
	require.NoError(t, err)
	nc, err := ln.Accept()
	require.NoError(t, err)
	other, err := eng.Attach(nc)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	clk := clockwork.NewRealClock()
	accepted = New(ctx, clk, other, func(li *Link, re *Request) {
		if re.Method == greet {
			li.Greeted()
		}
		re.Reply(len(re.Params))
	}, WithGreeting(within))
	dialed = New(ctx, clk, stream, func(*Link, *Request) {})
	t.Cleanup(func() {
		cancel()
		<-accepted.Done()
		<-dialed.Done()
	})
	return accepted, dialed
}

func send(t *testing.T, li *Link, method string, bytes int) error {
	return li.Call(t.Context(), method, strings.Repeat("x", bytes), nil)
}

func assertEnds(t *testing.T, li *Link) {
	t.Helper()
	select {
	case <-li.Done():
	case <-clockwork.NewRealClock().After(testTimeout):
		require.Fail(t, "the link goes on")
	}
}

// Guards against messages of unknown peers that take the memory of the process.
func TestLargeMessageBeforeTheGreeting(t *testing.T) {
	accepted, dialed := greetingPair(t, GreetingTime)
	require.Error(t, send(t, dialed, greet, maxGreetingBytes))
	assertEnds(t, accepted)
	assert.ErrorIs(t, accepted.Err(), ErrNotGreeted)
}

// Guards against unknown peers that keep a link by any messages but the greeting.
func TestManyMessagesBeforeTheGreeting(t *testing.T) {
	accepted, dialed := greetingPair(t, GreetingTime)
	for range maxGreetings {
		require.NoError(t, send(t, dialed, "Test.Other", 1))
	}
	require.Error(t, send(t, dialed, "Test.Other", 1))
	assertEnds(t, accepted)
	assert.ErrorIs(t, accepted.Err(), ErrNotGreeted)
}

// Guards against bounds that outlast the greeting.
func TestAfterTheGreeting(t *testing.T) {
	_, dialed := greetingPair(t, GreetingTime)
	require.NoError(t, send(t, dialed, greet, 1))
	for range 2 * maxGreetings {
		require.NoError(t, send(t, dialed, "Test.Other", 1<<20))
	}
}

// Guards against links that are opened and never used.
func TestNoGreeting(t *testing.T) {
	accepted, _ := greetingPair(t, time.Millisecond)
	assertEnds(t, accepted)
	assert.ErrorIs(t, accepted.Err(), ErrNotGreeted)
}
