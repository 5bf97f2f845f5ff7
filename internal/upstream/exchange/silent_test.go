package exchange

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// When pooled connections have gone silent, one call that times out must
// clear them all; otherwise each of them costs a call its deadline.
func TestSilentPool(t *testing.T) {
	const pooled = 4
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	var both sync.WaitGroup
	both.Add(pooled)
	got := make(chan struct{}, pooled)
	rs, cl := newRawServer(t, func(rc *rawConn) {
		rc.request()
		if rc.n > pooled {
			rc.answer(ok200)
			return
		}
		both.Done()
		both.Wait() // so that each call takes a connection of its own
		rc.answer(ok200)
		if rc.request() {
			got <- struct{}{}
		}
		_, _ = io.Copy(io.Discard, rc) // silent until the client closes
	}), New()
	address := rs.ln.Addr().String()
	var calls sync.WaitGroup
	for range pooled {
		calls.Go(func() { assert.NoError(t, run(ctx, cl, address, 10, nil)) })
	}
	calls.Wait()
	clk := clockwork.NewFakeClock()
	short, stop := clockwork.WithTimeout(ctx, clk, time.Second)
	defer stop()
	ended := make(chan error)
	go func() { ended <- run(short, cl, address, 10, nil) }()
	<-got
	clk.Advance(time.Second)
	err := <-ended
	assert.Equal(t, citronstream.CodeDeadline, citronstream.FaultOf(err).Code, "%v", err)
	assert.Equal(t, citronstream.MayHaveRun, citronstream.VerdictOf(err))
	require.NoError(t, run(ctx, cl, address, 10, nil))
	cl.Close()
	rs.stop()
}
