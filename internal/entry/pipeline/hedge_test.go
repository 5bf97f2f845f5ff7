package pipeline

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/citronstream/citronstream/internal/limit/retrybudget"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// twoFailures are two upstreams, of which the first has started a call and the second
// refuses it. The first answers once the second has received the hedge.
type twoFailures struct {
	hedged, ended chan struct{}
	clk           citronstream.Clock
}

func (tf *twoFailures) Pick(pr citronstream.PickRequest) (string, bool) {
	if !slices.Contains(pr.Exclude, "first") {
		return "first", true
	}
	return "second", !slices.Contains(pr.Exclude, "second")
}

func (tf *twoFailures) Sent(string, int, float64) {}

// Ended lets the second upstream answer once the attempt at the first has ended.
func (tf *twoFailures) Ended(upstream string, _ int, _ float64, _ time.Duration, _ error) {
	if upstream == "first" {
		close(tf.ended)
	}
}

func (tf *twoFailures) P50(string, float64) time.Duration      { return 0 }
func (tf *twoFailures) Observe(string, float64, time.Duration) {}
func (tf *twoFailures) fail(ve citronstream.Verdict) citronstream.Result {
	return citronstream.Result{Fault: citronstream.NewFault(ve, citronstream.CodeDeadline, "late")}
}

func (tf *twoFailures) Run(ctx context.Context, upstream string, _ citronstream.Call, _ func([]byte)) citronstream.Result {
	if upstream == "first" {
		select {
		case <-tf.hedged:
		case <-ctx.Done():
		}
		return tf.fail(citronstream.MayHaveRun)
	}
	close(tf.hedged)
	<-tf.ended
	<-tf.clk.After(50 * time.Millisecond) // time for the first result to arrive
	return tf.fail(citronstream.NotRun)
}

// TestHedgeKeepsVerdict guards against NotRun for a call whose first attempt may have
// run, because the hedge, which ended last, did not run.
func TestHedgeKeepsVerdict(t *testing.T) {
	fl := &citronstream.Fleet{
		Limits:   citronstream.DefaultLimits(),
		Services: []citronstream.Service{{Name: "s", Calls: []citronstream.ServiceCall{{Name: "c", Idempotent: true}}}},
	}
	clk := clockwork.NewRealClock()
	tf := &twoFailures{hedged: make(chan struct{}), ended: make(chan struct{}), clk: clk}
	ru := New(clk, "z", tf, func(string) citronstream.Picker { return tf }, retrybudget.New(clk, fl.Limits), WithTimes(tf))
	out := ru.Service(t.Context(), catalog.New(fl), "s", "c", Request{ID: "r", Workspace: &citronstream.Workspace{}, Deadline: 30 * time.Second})
	require.NotNil(t, out.Fault)
	assert.Equal(t, citronstream.MayHaveRun, out.Fault.Verdict)
}
