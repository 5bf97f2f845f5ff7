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

// Guards against pooled connections that failed without a FIN or RST: one call
// that times out must close them all, or one call times out on each of them.
func TestSilentPool(t *testing.T) {
	const pooled = 4
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var allOpen sync.WaitGroup
	allOpen.Add(pooled)
	got := make(chan struct{}, pooled)
	rs, cl := newRawServer(t, func(rc *rawConn) {
		rc.request()
		if rc.number > pooled {
			rc.answer(ok200)
			return
		}
		allOpen.Done()
		allOpen.Wait() // so that each call opens its own connection
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
