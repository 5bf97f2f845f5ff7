package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
)

type oneInstance struct{}

func (oneInstance) List(context.Context) ([]citronstream.InstanceState, error) {
	return []citronstream.InstanceState{{Instance: "i"}}, nil
}

// owner starts an agent that owns all slots, with the given table latency.
func owner(b *testing.B, delay time.Duration) *claim.Claim {
	clk := clockwork.NewRealClock()
	ta := memtable.New(clk)
	set := grant.Settings{Upstream: "u", Service: service, Instance: "i", Address: "a"}
	gr := grant.New(set, ta, oneInstance{}, clk)
	cl := claim.New(gr, ta, &store{}, clk)
	gr.Step(context.Background())
	ta.SetSlow(delay)
	ctx, cancel := context.WithCancel(context.Background())
	ended := cl.Run(ctx)
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	return cl
}

func answer(context.Context) (claim.Answer, error) { return claim.Answer{Status: 200}, nil }

// BenchmarkReplay measures Do for a key whose answer is in memory.
func BenchmarkReplay(b *testing.B) {
	cl := owner(b, 0)
	rq := claim.Request{Workspace: "w", Key: "k", Digest: 1}
	if _, err := cl.Do(context.Background(), rq, answer); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = cl.Do(context.Background(), rq, answer)
	}
}

// BenchmarkClaim reports the rows per transaction for concurrent new keys at a
// table latency of 5 ms.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			cl := owner(b, 5*time.Millisecond)
			round := 0
			for b.Loop() {
				round++
				var wg sync.WaitGroup
				for i := range callers {
					wg.Go(func() {
						rq := claim.Request{Workspace: "w", Key: fmt.Sprint(round, "-", i), Digest: 1}
						_, _ = cl.Do(context.Background(), rq, answer)
					})
				}
				wg.Wait()
			}
			co := cl.Counts()
			b.ReportMetric(float64(co.Claims)/float64(co.Transactions), "rows/txn")
		})
	}
}
