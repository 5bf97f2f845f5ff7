package link

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// saturated is a Stream that takes one message and then none until it is drained.
type saturated struct {
	Paced
	mu      sync.Mutex
	sent    []string
	queued  int
	drained func()
}

func (sa *saturated) Queued() int {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	return sa.queued
}

func (sa *saturated) OnDrained(drained func()) { sa.drained = drained }

func (sa *saturated) Write(data []byte) (int, error) {
	sa.mu.Lock()
	defer sa.mu.Unlock()
	sa.sent, sa.queued = append(sa.sent, string(data)), len(data)
	return len(data), nil
}

// drain takes what was written, and reports whether there was any.
func (sa *saturated) drain() bool {
	sa.mu.Lock()
	some := sa.queued > 0
	sa.queued = 0
	sa.mu.Unlock()
	sa.drained()
	return some
}

// Guards against news that waits behind other messages, against loads that were replaced and
// are sent all the same, and against messages of one class that overtake each other.
func TestOutboxOrder(t *testing.T) {
	sa, replaced := &saturated{}, atomic.Uint64{}
	ob := newOutbox(sa, &replaced)
	write := func(class Class, method, text string) { require.NoError(t, ob.write(class, method, []byte(text))) }
	write(Ordinary, "job", "job 1")
	write(Latest, "load", "load 1")
	write(Latest, "queues", "queues 1")
	write(Ordinary, "job", "job 2")
	write(First, "config", "config 1")
	write(Latest, "load", "load 2")
	write(Ordinary, "job", "job 3")
	write(First, "config", "config 2")
	for ob.step() {
		sa.drain()
	}
	assert.Equal(t, []string{"job 1", "config 1", "config 2", "job 2", "job 3", "load 2", "queues 1"}, sa.sent)
	assert.Zero(t, ob.bytes)
	assert.EqualValues(t, 1, replaced.Load())
}

// Guards against memory without bound for a peer that reads nothing.
func TestOutboxBound(t *testing.T) {
	ob := newOutbox(&saturated{}, &atomic.Uint64{})
	large := make([]byte, maxWaiting/4)
	for range 5 {
		require.NoError(t, ob.write(Ordinary, "job", large))
	}
	assert.Error(t, ob.write(Ordinary, "job", large))
}

// Guards against news that waits behind the loads that a saturated connection has not taken,
// in the process or in the kernel, and against loads that pile up there.
func TestNewsOnASaturatedLink(t *testing.T) {
	const (
		loads = 3000
		bytes = 1000 // of a load
		// most is for the buffers of the kernel at both ends.
		most = 200_000
	)
	control := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}
	ln, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	eng, err := nbconn.New(nbconn.WithUnsent(4 << 10))
	require.NoError(t, err)
	defer eng.Stop()
	stream, err := eng.Dial(context.Background(), ln.Addr().String())
	require.NoError(t, err)
	nc, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	replied := make(chan struct{})
	li := New(t.Context(), clockwork.NewFakeClock(), stream, func(_ *Link, re *Request) {
		re.ReplyAs(First, "state")
		close(replied)
	}, WithPriorities(&atomic.Uint64{}))
	defer li.Close()
	text := strings.Repeat("x", bytes)
	for i := range loads {
		require.NoError(t, li.NotifyAs(Latest, "load", fmt.Sprint(i, text)))
	}
	require.NoError(t, li.NotifyAs(First, "config", "news"))
	request := `{"id":1,"method":"state"}`
	_, err = nc.Write(append([]byte{byte(len(request))}, request...))
	require.NoError(t, err)
	<-replied
	require.NoError(t, li.NotifyAs(Latest, "load", "end"))
	before, news, rd, co := 0, 0, bufio.NewReader(nc), &codec{}
	for last := ""; last != `"end"`; last = string(co.payload) {
		var in incoming
		require.NoError(t, co.ReadObject(rd, &in))
		if string(in.Method) == `"config"` || string(co.payload) == `"state"` {
			news++
		}
		if news < 2 {
			before += len(co.payload)
		}
		var payload string
		require.NoError(t, json.Unmarshal(co.payload, &payload))
	}
	assert.Less(t, before, most, "bytes before the news")
	assert.Equal(t, 2, news, "a notification and an answer, before the newest load")
}
