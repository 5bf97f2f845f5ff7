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

// movingModel is a service whose only upstream refuses a call because its model is
// moved to another upstream, which has loaded it at the seventh pick.
type movingModel struct{ picks int }

func (mo *movingModel) Pick(pr citronstream.PickRequest) (string, bool) {
	mo.picks++
	switch {
	case mo.picks == 1:
		return "old", true
	case mo.picks > 6 && !slices.Contains(pr.Exclude, "new"):
		return "new", true
	}
	return "", false
}

func (mo *movingModel) Sent(string, int, float64)                        {}
func (mo *movingModel) Ended(string, int, float64, time.Duration, error) {}

func (mo *movingModel) Run(_ context.Context, upstream string, ca citronstream.Call, _ func([]byte)) citronstream.Result {
	if upstream == "old" {
		return citronstream.Result{Upstream: upstream, Fault: citronstream.NewFault(citronstream.NotRun, citronstream.CodeNotReady, "not loaded")}
	}
	return citronstream.Result{AttemptID: ca.AttemptID, Upstream: upstream, Status: 200}
}

// TestModelMoves guards against a call that fails instead of waiting for the
// engine to which its model moves.
func TestModelMoves(t *testing.T) {
	fl := &citronstream.Fleet{
		Limits:   citronstream.DefaultLimits(),
		Services: []citronstream.Service{{Name: "s", Calls: []citronstream.ServiceCall{{Name: "c", Idempotent: true}}}},
	}
	mo, clk := &movingModel{}, clockwork.NewRealClock()
	ru := New(clk, "z", mo, func(string) citronstream.Picker { return mo }, retrybudget.New(clk, fl.Limits))
	out := ru.Service(t.Context(), catalog.New(fl), "s", "c", Request{ID: "r", Workspace: &citronstream.Workspace{}, Deadline: 30 * time.Second})
	require.Nil(t, out.Fault)
	assert.Equal(t, "new", out.Upstream)
}
