package server

import (
	"context"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/fairqueue"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// verdictOnce is a Once that knows only whether keys may have run.
type verdictOnce struct {
	Once
	verdict citronstream.Verdict
}

func (vo verdictOnce) Recall(*citronstream.Call) ([]byte, citronstream.Result, bool) {
	return nil, citronstream.Result{}, false
}

func (vo verdictOnce) Verdict(context.Context, *citronstream.Call) citronstream.Verdict {
	return vo.verdict
}

// replies is a Peer that keeps results.
type replies chan citronstream.Result

func (re replies) Chunk(citronstream.Chunk)         {}
func (re replies) Reply(result citronstream.Result) { re <- result }

// Guards against an order that fails because it met a leaving agent that had already given
// up the slot of its key, and so can't say whether the key ran. The owner of the slot can.
func TestOrderAtALeavingAgent(t *testing.T) {
	clk := clockwork.NewRealClock()
	for verdict, code := range map[citronstream.Verdict]citronstream.Code{
		citronstream.NotRun:     citronstream.CodeLeaving,
		citronstream.MayHaveRun: citronstream.CodeNotOwner,
	} {
		se := New(clk, nil, citronstream.Upstream{Name: "desk-1", Service: "desk"}, nil,
			fairqueue.New(clk, citronstream.Fleet{}), WithOnce(verdictOnce{verdict: verdict}))
		se.ctx = t.Context()
		se.leaving = true
		got := make(replies, 1)
		se.admit(citronstream.Call{AttemptID: "a", Key: "k", KeyGiven: true, Service: "desk"}, got)
		result := <-got
		assert.Equal(t, verdict, result.Fault.Verdict)
		assert.Equal(t, code, result.Fault.Code)
	}
}
