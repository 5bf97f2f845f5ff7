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

// TestAge guards against a grant run for an entry that has restarted since it
// sent the call: a later settlement would not know of the key.
func TestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wo := newWorld(clockwork.NewRealClock(), 1)
		ag := wo.start("a", "")
		wo.clk.Sleep(time.Minute)
		wo.table.SetDown(true)
		rq := claim.Request{Workspace: "w", Key: keyAt(wo.clk.Now(), 0), Digest: 1, Sent: wo.clk.Now()}
		wo.clk.Sleep(31 * time.Second)
		_, err := ag.cl.Do(t.Context(), rq, func(context.Context) (claim.Answer, error) {
			t.Error("the call ran")
			return claim.Answer{}, nil
		})
		assert.ErrorContains(t, err, "too old for the grant (NotRun)")
		wo.close()
	})
}
