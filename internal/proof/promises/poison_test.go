package promises

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/host"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/stretchr/testify/require"
)

// Guards against a request that kills one upstream after another because its
// caller sends it again under other identifiers and through other entries, and
// against a hold on innocent calls beside it or one that never ends.
func TestPoisonKillsAtMostTwo(t *testing.T) {
	for _, kind := range []string{"look", "place"} {
		t.Run(kind, func(t *testing.T) {
			const holdFor = 6 * time.Second
			fl := start(t, shape{desks: []string{"desk"}, each: 4, entries: 2, deadline: 2 * time.Second, edit: func(co *citronstream.Fleet) {
				co.Limits.HoldFor = citronstream.Duration(holdFor)
			}})
			ctx, cancel := context.WithCancel(context.Background())
			var beside sync.WaitGroup
			defer beside.Wait()
			defer cancel()
			for i := range 4 { // innocent calls run beside it all the time
				beside.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						an := fl.post(call{entry: i % 2, path: "services/desk/look", body: fmt.Sprintf(`{"Innocent":"%d of %d"}`, n, i)})
						if an.fault != nil && an.fault.Code == citronstream.CodeQuarantined {
							t.Errorf("an innocent call is held: %+v", an)
						}
					}
				})
			}
			beside.Go(func() { // the platform restarts what died, once the agent can have seen it
				for ctx.Err() == nil {
					for _, up := range fl.Config.Upstreams {
						if st := fl.Upstream(up.Name); !st.Running() && fl.Agent(up.Name).Server.Load().Down {
							_ = st.Restart()
						}
					}
					<-clk.After(poll)
				}
			})
			deadly := fmt.Sprintf(`{"Content":"%s"}`, host.PoisonMarker)
			held := 0
			for i := range 12 {
				ca := call{entry: i % 2, path: "services/desk/" + kind, body: deadly}
				if kind == "place" {
					ca.key = citronstream.NewID()
				}
				if an := fl.post(ca); an.fault != nil && an.fault.Code == citronstream.CodeQuarantined {
					held++
				}
			}
			deaths := fl.count(func(ex record.Execution) bool { return ex.Outcome == record.Poisoned })
			t.Logf("12 sendings: %d deaths, %d refused as held", deaths, held)
			require.LessOrEqual(t, deaths, 2)
			require.NotZero(t, held)
			digest := citronstream.Digest([]byte(deadly))
			for _, en := range fl.Config.Entries {
				until(t, "the hold ends", func() bool {
					_, still := fl.Entry(en.Name).Holds.Held(digest)
					return !still
				})
			}
		})
	}
}
