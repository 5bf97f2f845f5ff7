package flow

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/route/zoneramp"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Guards against requests that leave an evacuated zone at once or use it for longer than the
// ramp, also ones that were chosen for it while their inputs were computed, and against ones
// that go to its upstreams that have said that they leave.
func TestRequestsLeaveAnEvacuatedZone(t *testing.T) {
	const bound, ramp = 6 * time.Second, 2 * time.Second
	rt := coldRequest(t)
	clk := rt.fl.clk.(*clockwork.FakeClock)
	rt.fl.View = view.New(clk, logr.Discard(), view.Decode{
		Member: func(ro citronstream.Row) (citronstream.Member, error) {
			return citronstream.Member{ID: ro.Key, Service: "s", Zone: string(ro.Value)}, nil
		},
		ConfigKey: "c", MemberPrefix: "m/", EvacuationPrefix: "e/",
	})
	member := func(key, zone string) citronstream.Change {
		return citronstream.Change{Row: citronstream.Row{Key: key, Version: 1, Value: []byte(zone)}}
	}
	rt.fl.View.Apply([]citronstream.Change{member("m/a", "y"), member("m/b", "z"), member("m/c", "z")}, view.SourceStore)
	rt.fl.Ramp = zoneramp.New(clk, bound)
	begun := 0
	rt.fl.View.OnEvacuated(func(zone string) {
		begun++
		rt.fl.Ramp.Evacuated(zone, clk.Now())
	})
	evacuate := func(version uint64) {
		rt.fl.View.Apply([]citronstream.Change{{Row: citronstream.Row{Key: "e/z", Version: version}}}, view.SourceStore)
	}
	evacuate(2)
	rt.fl.View.Leaves(rt.fl.View.Members().Node("m/c"), false)
	used := func() (ids []string) {
		for _, nd := range rt.permitted() {
			ids = append(ids, nd.ID)
		}
		return ids
	}
	rt.stay = 0.4
	assert.Equal(t, []string{"m/a", "m/b"}, used())
	at := rt.newAttempt(t.Context(), rt.fl.View.Members().Node("m/b"), nil, time.Time{})
	assert.Nil(t, rt.recheck(at))
	clk.Advance(ramp / 2)
	assert.Equal(t, []string{"m/a", "m/b"}, used())
	rt.stay = 0.6
	assert.Equal(t, []string{"m/a"}, used())
	if fa := rt.recheck(at); assert.NotNil(t, fa) {
		assert.Equal(t, citronstream.NotRun, fa.Verdict)
	}
	rt.stay = 0
	assert.Len(t, used(), 2)
	evacuate(3) // its row is written again
	clk.Advance(ramp / 2)
	assert.Equal(t, []string{"m/a"}, used())
	assert.Equal(t, 1, begun)
	assert.NotNil(t, rt.recheck(at))
}
