package promises

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/observe/timeline"
	"github.com/stretchr/testify/require"
)

// Guards against two operators who both change the same version, a loser who
// does not learn who won, and a change that is late in force (P7).
func TestOperatorsRace(t *testing.T) {
	const inForceWithin = 5 * time.Second
	fl := start(t, shape{desks: []string{"desk"}, each: 3, entries: 2})
	slowest := time.Duration(0)
	for round := range 5 {
		base := fl.Operator
		require.NoError(t, base.Refresh(context.Background()))
		from := base.Current().Fleet
		names := []string{"ada", "bob"}
		errs, versions := make([]error, 2), make([]uint64, 2)
		var wg sync.WaitGroup
		for i, name := range names {
			wg.Go(func() {
				next := *from
				next.Workspaces = append([]citronstream.Workspace(nil), from.Workspaces...)
				next.Workspaces[i].Weight += float64(round + 1)
				versions[i], errs[i] = version.New(clk, fl.Table, fl.Objects).Accept(context.Background(), from.Version, &next, name)
			})
		}
		wg.Wait()
		won := 0
		if errs[0] != nil {
			won = 1
		}
		require.NoError(t, errs[won])
		var conflict *version.ConflictError
		require.True(t, errors.As(errs[1-won], &conflict), "%v", errs[1-won])
		require.ErrorIs(t, errs[1-won], citronstream.ErrConflict)
		require.ErrorContains(t, errs[1-won], names[won])
		at := clk.Now()
		until(t, "in force", func() bool { return fl.inForce(versions[won]) })
		slowest = max(slowest, clk.Now().Sub(at))
	}
	t.Logf("slowest of 5 changes in force on 2 entries and 3 agents after %s", slowest.Round(time.Millisecond))
	require.LessOrEqual(t, slowest, inForceWithin)
	fl.requireDifferences(t, 5)
}

// requireDifferences guards against differences between honest processes that
// don't lead to the digest, which would send every document twice. It logs
// what a number of changes cost.
func (fl *fleet) requireDifferences(t *testing.T, changes int) {
	t.Helper()
	var notices uint64
	stores := []*version.Store{fl.Operator}
	for _, en := range fl.Config.Entries {
		notices += fl.Entry(en.Name).Agents.Counts().Notices.Load()
		stores = append(stores, fl.Entry(en.Name).Config)
	}
	for _, up := range fl.Config.Upstreams {
		notices += fl.Agent(up.Name).Server.Counts().Notices.Load()
		stores = append(stores, fl.Agent(up.Name).Config)
	}
	var wholes, deltas uint64
	for _, st := range stores {
		co := st.Counts()
		require.Zero(t, co.DeltaMismatches)
		wholes, deltas = wholes+co.FullReceived, deltas+co.DeltasApplied
	}
	links := len(fl.Config.Entries) * len(fl.Config.Upstreams)
	t.Logf("%d changes on %d links: %.2f notices a link and change, %d differences and %d whole documents read by %d processes",
		changes, links, float64(notices)/float64(links*changes), deltas, wholes, len(stores))
}

// history has the versions in force by life of a process, and for each life
// the version that was in force everywhere when it began.
type history struct {
	lives   [][]uint64
	atLeast []uint64
}

func (hi *history) collect(t *testing.T, ri *timeline.Ring, since uint64) {
	var seen []uint64
	for _, ev := range ri.Snapshot(timeline.Filter{}) {
		if ev.Kind == "ConfigInForce" {
			version, err := strconv.ParseUint(ev.Detail, 10, 64)
			require.NoError(t, err)
			seen = append(seen, version)
		}
	}
	hi.lives, hi.atLeast = append(hi.lives, seen), append(hi.atLeast, since)
}

// requireGrowth fails if a version is not above the one before in its life.
func (hi *history) requireGrowth(t *testing.T) {
	changes := 0
	for i, seen := range hi.lives {
		last := uint64(0)
		for _, version := range seen {
			require.Greater(t, version, last, "versions of one life: %v", seen)
			require.GreaterOrEqual(t, version, hi.atLeast[i], "first version after a restart: %v", seen)
			last = version
			changes++
		}
	}
	t.Logf("%d lives of processes, %d versions put in force, none older than the one before", len(hi.lives), changes)
}

// acceptWhilePaused accepts a version that an agent can't hear of until it runs again.
func (fl *fleet) acceptWhilePaused(agent string) uint64 {
	fl.t.Helper()
	fl.Gate(agent).Pause(true)
	defer fl.Gate(agent).Pause(false)
	require.NoError(fl.t, fl.Operator.Refresh(context.Background()))
	next := fl.Operator.Current()
	edited := *next.Fleet
	edited.Workspaces = slices.Clone(edited.Workspaces)
	edited.Workspaces[1].Weight++
	version, err := fl.Operator.Accept(context.Background(), next.Fleet.Version, &edited, "during a pause")
	require.NoError(fl.t, err)
	return version
}

// Guards against a process that goes back to an older configuration after a
// restart, a pause or an outage of the table (P7).
func TestConfigurationNeverReverts(t *testing.T) {
	fl := start(t, shape{desks: []string{"desk"}, each: 3, entries: 2})
	var hi history
	old, err := fl.Table.Get(context.Background(), version.RowKey)
	require.NoError(t, err)
	since := fl.accept(func(next *citronstream.Fleet) { next.Workspaces[0].Weight++ })
	down := func(on bool) {
		fl.Table.SetDown(on)
		fl.Objects.SetDown(on)
	}
	began := map[string]uint64{}
	for round := range 2 {
		for _, outage := range []bool{false, true} {
			down(outage)
			entry, agent := fl.Config.Entries[round].Name, fl.Config.Upstreams[round].Name
			hi.collect(t, fl.Entry(entry).Timeline, began[entry])
			fl.StopEntry(entry)
			hi.collect(t, fl.Agent(agent).Timeline, began[agent])
			fl.StopAgent(agent)
			require.NoError(t, fl.StartAgent(agent))
			require.NoError(t, fl.StartEntry(entry))
			began[entry], began[agent] = since, since
			until(t, "restarted processes are up to date", func() bool { return fl.inForce(since) })
			down(false)
			since = fl.acceptWhilePaused("desk-3")
			until(t, "in force after the pause", func() bool { return fl.inForce(since) })
		}
	}
	// A table that shows an old row, as after a restored backup, changes nothing.
	require.NoError(t, fl.Table.Write(context.Background(), citronstream.NewID(), citronstream.Op{Key: version.RowKey, Value: old.Value, IfVersion: citronstream.AnyVersion}))
	before, _, _ := fl.Table.Counts()
	until(t, "entries read the old row", func() bool {
		reads, _, _ := fl.Table.Counts()
		return reads >= before+4*uint64(len(fl.Config.Entries))
	})
	require.True(t, fl.inForce(since))
	for _, en := range fl.Config.Entries {
		hi.collect(t, fl.Entry(en.Name).Timeline, began[en.Name])
	}
	for _, up := range fl.Config.Upstreams {
		hi.collect(t, fl.Agent(up.Name).Timeline, began[up.Name])
	}
	hi.requireGrowth(t)
}
