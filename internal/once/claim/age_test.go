package claim_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// TestAge guards against an old call that runs on the grant: if its entry has
// restarted since, no entry knows of the key when the owner's doubt is resolved.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(clockwork.NewRealClock(), 1)
		ag := fl.start("a", "")
		fl.clk.Sleep(time.Minute)
		fl.table.SetDown(true)
		rq := claim.Request{Workspace: "w", Key: keyAt(fl.clk.Now(), 0), Digest: 1, Sent: fl.clk.Now()}
		fl.clk.Sleep(31 * time.Second)
		_, err := ag.cl.Do(t.Context(), rq, func(context.Context) (claim.Answer, error) {
			t.Error("the call ran")
			return claim.Answer{}, nil
		})
		assert.ErrorContains(t, err, "too old for the grant (NotRun)")
		fl.close()
	})
}
