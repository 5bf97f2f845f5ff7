package rowaudit_test

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/proof/rowaudit"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

const onceKey = "Once/desk/w/k"

type world struct {
	t     *testing.T
	au    *rowaudit.Audit
	table *memtable.Table
	log   *record.Log
}

func newWorld(t *testing.T) *world {
	clk := clockwork.NewFakeClock()
	au := rowaudit.New(clk)
	return &world{t: t, au: au, table: memtable.New(clk, memtable.WithAudit(au.Wrote)), log: record.New(clk)}
}

func (wo *world) put(key string, value any) {
	data, err := json.Marshal(value)
	require.NoError(wo.t, err)
	op := citronstream.Op{Key: key, Value: data, IfVersion: citronstream.AnyVersion}
	require.NoError(wo.t, wo.table.Write(context.Background(), citronstream.NewID(), op))
}

func (wo *world) want(broken int) {
	wo.t.Helper()
	count, texts := wo.au.Broken(wo.log)
	require.Equal(wo.t, broken, count, "%v", texts)
}

func once(state, op string) claim.Row {
	return claim.Row{State: state, Upstream: "desk-1", Epoch: 1, OpID: op}
}

// Fails if the audit misses a claim that overwrites a row, or reports a write
// that the design allows.
func TestOnceRows(t *testing.T) {
	for _, tc := range []struct {
		name          string
		before, after claim.Row
		broken        int
	}{
		{"own answer", once(claim.Claimed, "a"), once(claim.Done, "a"), 0},
		{"own release", once(claim.Claimed, "a"), once(claim.Released, "a"), 0},
		{"answer over another claim", once(claim.Claimed, "a"), once(claim.Done, "b"), 0},
		{"claim of a released key", once(claim.Released, "a"), once(claim.Claimed, "b"), 0},
		{"claim over a claim", once(claim.Claimed, "a"), once(claim.Claimed, "b"), 1},
		{"release of another claim", once(claim.Claimed, "a"), once(claim.Released, "b"), 1},
		{"claim over an answer", once(claim.Done, "a"), once(claim.Claimed, "b"), 1},
		{"another answer", once(claim.Done, "a"), once(claim.Done, "b"), 1},
		{"answer taken back", once(claim.Done, "a"), once(claim.Claimed, "a"), 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld(t)
			wo.put(onceKey, tc.before)
			wo.put(onceKey, tc.after)
			wo.want(tc.broken)
		})
	}
}

// Fails if the audit misses a call that ran on a claim of a fenced owner, or
// takes the record of a call that had run before for one.
func TestClaimUnderOldEpoch(t *testing.T) {
	for _, tc := range []struct {
		name        string
		ranBefore   bool
		end, writer string
		broken      int
	}{
		{"ran after the claim", false, claim.Done, "a", 1},
		{"ran on the grant before", true, claim.Done, "a", 0},
		{"did not run", false, claim.Released, "a", 0},
		{"claim written by an entry", false, claim.Done, "b", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wo := newWorld(t)
			wo.put(grant.EpochKey("desk-1"), grant.EpochRow{Epoch: 2})
			if !tc.ranBefore {
				wo.put(onceKey, once(claim.Claimed, tc.writer))
			}
			wo.log.Begin(record.Execution{Upstream: "desk-1", Key: "k"})
			if tc.ranBefore {
				wo.put(onceKey, once(claim.Done, "a"))
			} else {
				wo.put(onceKey, once(tc.end, "a"))
			}
			wo.want(tc.broken)
		})
	}
}

// Fails if the audit misses a fencing token that goes back or lacks the epoch.
func TestTokensGoForward(t *testing.T) {
	wo := newWorld(t)
	wo.put(grant.EpochKey("e-1"), grant.EpochRow{Epoch: 2})
	wo.put(grant.GrantKey("e-1"), grant.Record{Epoch: 2, Token: 1<<16 + 2})
	wo.put(grant.GrantKey("e-1"), grant.Record{Epoch: 2, Token: 2<<16 + 2})
	wo.want(0)
	wo.put(grant.GrantKey("e-1"), grant.Record{Epoch: 2, Token: 1<<16 + 2})
	wo.put(grant.EpochKey("e-1"), grant.EpochRow{Epoch: 2})
	wo.want(2)
	wo.put(grant.GrantKey("e-1"), grant.Record{Epoch: 2, Token: 3 << 16})
	wo.want(3)
}
