package load

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// killedAt says that the one entry was killed then.
type killedAt struct {
	Target
	at time.Time
}

func (ki killedAt) Killed(_ string, since time.Time) bool { return ki.at.After(since) }

// Guards against a request that counts as lost although it went out on a
// connection that the kill of its entry had closed, and against one on a later
// connection that is excused by the kill.
func TestBrokenConnection(t *testing.T) {
	clk := clockwork.NewFakeClock()
	client := newClient(clk)
	defer client.CloseIdleConnections()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(ln) }()
	defer func() { require.NoError(t, srv.Close()); <-ended }()
	get := func() answer {
		an := answer{sent: clk.Now()}
		rq, err := http.NewRequestWithContext(withConn(context.Background(), &an), http.MethodGet, "http://"+ln.Addr().String(), nil)
		require.NoError(t, err)
		re, err := client.Do(rq)
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, re.Body)
		require.NoError(t, re.Body.Close())
		return an
	}
	first := get()
	assert.Equal(t, clk.Now(), first.opened)
	clk.Advance(time.Second)
	killed := clk.Now()
	clk.Advance(time.Second)
	lo := &Load{target: killedAt{at: killed}}
	kept := get()
	assert.Equal(t, first.opened, kept.opened, "a kept connection")
	kept.broken(lo, io.EOF)
	assert.Equal(t, mayHaveRun, kept.outcome)
	client.CloseIdleConnections()
	fresh := get()
	fresh.broken(lo, io.EOF)
	assert.Equal(t, lost, fresh.outcome)
}
