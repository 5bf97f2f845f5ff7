package flow

import (
	"context"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Two branches of a request, each of which expected the other one to take longer
// when it was about to begin, as queues had changed meanwhile, waited for each
// other until the deadline of the request.
func TestBranchesDoNotWaitForEachOther(t *testing.T) {
	clk := clockwork.NewRealClock()
	newBranch := func(number int) *stage {
		return &stage{
			number: number, pieces: 1, final: true, batch: &citronstream.BatchSpec{Items: 1},
			done: make(chan struct{}), begun: make(chan struct{}),
		}
	}
	one, two := newBranch(0), newBranch(1)
	sg := &stages{list: []*stage{one, two}}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	two.wait = time.Second
	ended := make(chan *citronstream.Fault, 2)
	begin := func(st *stage) {
		fa := sg.align(ctx, st)
		close(st.begun)
		ended <- fa
	}
	go begin(one)
	clk.Sleep(20 * time.Millisecond) // the first one waits
	sg.mu.Lock()
	one.wait, two.wait = time.Second, 0
	sg.mu.Unlock()
	go begin(two)
	for range 2 {
		assert.Nil(t, <-ended)
	}
}
