package version

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// answers is a peer whose answers a test makes, in order; the last is repeated.
type answers struct {
	give  []func(rq citronstream.ConfigRequest) (Document, error)
	asked []citronstream.ConfigRequest
}

func (an *answers) Fetch(_ context.Context, _ string, rq citronstream.ConfigRequest) (Document, error) {
	an.asked = append(an.asked, rq)
	return an.give[min(len(an.asked), len(an.give))-1](rq)
}

// changed returns a fleet of many models of which one differs by number.
func changed(number int) *citronstream.Fleet {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("model-%d-%x", i, i*i*7919))
	}
	fl := models(names...)
	fl.Models[number%len(names)].Replicas = number
	return fl
}

// changes accepts a number of versions, each of which the reader holds before the next.
func changes(t *testing.T, wo *world, number int, readers ...*Store) {
	t.Helper()
	for range number {
		base := wo.procs[0].Version()
		accept(t, wo.procs[0], base, changed(int(base)+1), "ann")
		for _, st := range readers {
			require.NoError(t, st.Refresh(t.Context()))
		}
	}
}

// reader is a process that holds the first version, and whose peer is set by the test.
func reader(t *testing.T, wo *world) (*Store, *answers) {
	t.Helper()
	an := &answers{}
	st := New(wo.clk, wo.table, wo.ob, WithFetcher(an))
	changes(t, wo, 1, st)
	return st, an
}

func pass(st *Store) func(citronstream.ConfigRequest) (Document, error) {
	return func(rq citronstream.ConfigRequest) (Document, error) { return st.Answer(rq), nil }
}

// Guards against processes that were away for some changes and get another
// text than the accepted one, or the whole where the difference is known.
func TestDifferenceOverChanges(t *testing.T) {
	for _, missed := range []int{1, 2, maxSteps, maxSteps + 1} {
		t.Run(fmt.Sprint(missed, " changes"), func(t *testing.T) {
			wo := newWorld()
			st, an := reader(t, wo)
			an.give = append(an.give, pass(wo.procs[0]))
			changes(t, wo, missed)
			st.Observe(wo.procs[0].Version(), "0")
			wo.setDown(true)
			require.NoError(t, st.fetch(t.Context()))
			assert.Equal(t, wo.procs[0].Current().Fleet, st.Current().Fleet)
			assert.Equal(t, wo.procs[0].Current().Document.Record.Digest, st.Current().Document.Record.Digest)
			assert.Zero(t, st.Current().Document.Base, "a process passes whole documents on")
			want := Counts{Wholes: 1, Deltas: 1}
			if missed > maxSteps {
				want = Counts{Wholes: 2}
			}
			assert.Equal(t, want, st.Counts())
		})
	}
}

// Guards against a difference that is wrong, out of date or broken and takes
// effect, or keeps the process from the version that it could have.
func TestRefusedDifference(t *testing.T) {
	packed := func(text string) []byte {
		body, err := pack([]byte(text))
		require.NoError(t, err)
		return body
	}
	for name, spoil := range map[string]func(do *Document){
		"other content": func(do *Document) {
			do.Body = packed(`[{"op":"replace","path":"/Version","value":2},{"op":"replace","path":"/Site","value":"x"}]`)
		},
		"no change":             func(do *Document) { do.Body = packed(`[]`) },
		"no patch":              func(do *Document) { do.Body = packed(`{}`) },
		"path that isn't there": func(do *Document) { do.Body = packed(`[{"op":"remove","path":"/Models/999"}]`) },
		"no gzip":               func(do *Document) { do.Body = []byte("no gzip") },
		"cut off":               func(do *Document) { do.Body = do.Body[:len(do.Body)/2] },
		"other base":            func(do *Document) { do.Base++ },
		"out of date":           func(do *Document) { do.Record.Version = do.Base },
		"record of another":     func(do *Document) { do.Record.Digest = strings.Repeat("0", 64) },
	} {
		t.Run(name, func(t *testing.T) {
			wo := newWorld()
			st, an := reader(t, wo)
			honest := pass(wo.procs[0])
			an.give = append(an.give, func(rq citronstream.ConfigRequest) (Document, error) {
				do, err := honest(rq)
				require.Equal(t, uint64(1), do.Base)
				spoil(&do)
				return do, err
			}, honest)
			changes(t, wo, 1)
			st.Observe(2, "0")
			wo.setDown(true)
			require.NoError(t, st.fetch(t.Context()))
			assert.Equal(t, wo.procs[0].Current().Fleet, st.Current().Fleet)
			assert.Equal(t, []citronstream.ConfigRequest{{Version: 2, Holds: 1}, {Version: 2}}, an.asked)
			assert.Equal(t, Counts{Wholes: 2, Mismatches: 1}, st.Counts())
		})
	}
	// A peer that only ever gives wrong differences leaves the version held in force.
	t.Run("nothing else from the peer", func(t *testing.T) {
		wo := newWorld()
		st, an := reader(t, wo)
		an.give = append(an.give, func(citronstream.ConfigRequest) (Document, error) {
			return Document{Record: Record{Version: 2}, Base: 1, Body: packed(`[]`)}, nil
		})
		changes(t, wo, 1)
		st.Observe(2, "0")
		wo.setDown(true)
		require.Error(t, st.fetch(t.Context()))
		assert.Equal(t, uint64(1), st.Version())
		wo.setDown(false)
		require.NoError(t, st.Refresh(t.Context()))
		assert.Equal(t, uint64(2), st.Version())
	})
}

// Guards against an answer that is lost and leaves a process behind, and
// against a late one that takes it back.
func TestLostAnswer(t *testing.T) {
	wo := newWorld()
	st, an := reader(t, wo)
	lost := func(citronstream.ConfigRequest) (Document, error) { return Document{}, citronstream.ErrUnavailable }
	late := func(rq citronstream.ConfigRequest) (Document, error) {
		do := wo.procs[0].Answer(rq)
		changes(t, wo, 1)
		require.NoError(t, st.fromTable(t.Context())) // overtakes the answer
		return do, nil
	}
	an.give = append(an.give, lost, pass(wo.procs[0]), late)
	changes(t, wo, 1)
	st.Observe(2, "0")
	wo.setDown(true)
	require.Error(t, st.fetch(t.Context()))
	assert.Equal(t, uint64(1), st.Version())
	require.NoError(t, st.fetch(t.Context()), "asks again")
	assert.Equal(t, uint64(2), st.Version())
	wo.setDown(false)
	changes(t, wo, 1)
	st.Observe(3, "0")
	require.NoError(t, st.fetch(t.Context()))
	assert.Equal(t, uint64(4), st.Version(), "the answer with version 3 came after version 4")
	assert.Equal(t, wo.procs[0].Current().Fleet, st.Current().Fleet)
}

// Guards against a change of most of the document that is sent as a longer
// difference, and against kept differences without a bound.
func TestLargeDifference(t *testing.T) {
	wo := newWorld()
	st, an := reader(t, wo)
	an.give = append(an.give, pass(wo.procs[0]))
	next := changed(2)
	for i := range next.Models {
		next.Models[i].Version = strings.Repeat(strconv.Itoa(i), 200)
	}
	accept(t, wo.procs[0], 1, next, "ann")
	assert.Empty(t, wo.procs[0].Current().steps)
	assert.Zero(t, wo.procs[0].Answer(citronstream.ConfigRequest{Holds: 1}).Base)
	require.NoError(t, st.Refresh(t.Context()))
	assert.Equal(t, Counts{Wholes: 2}, st.Counts())
	changes(t, wo, 3*maxSteps, st)
	assert.Len(t, wo.procs[0].Current().steps, maxSteps)
	assert.Len(t, st.Current().steps, maxSteps)
}

// Guards against entries that read the whole document for each change, and
// against a difference in the object store that is lost or wrong and keeps
// them from the version.
func TestDifferenceOfTheObjectStore(t *testing.T) {
	for name, tc := range map[string]struct {
		spoil func(wo *world, key string)
		want  Counts
	}{
		"read":    {func(*world, string) {}, Counts{Wholes: 1, Deltas: 1}},
		"missing": {func(wo *world, key string) { delete(wo.ob.byID, key) }, Counts{Wholes: 2}},
		"broken":  {func(wo *world, key string) { wo.ob.byID[key] = []byte("x") }, Counts{Wholes: 2, Mismatches: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			wo := newWorld()
			st, _ := reader(t, wo)
			changes(t, wo, 1)
			rec := wo.procs[0].Current().Document.Record
			require.True(t, rec.Delta)
			tc.spoil(wo, rec.Document+deltaSuffix)
			require.NoError(t, st.Refresh(t.Context()))
			assert.Equal(t, wo.procs[0].Current().Fleet, st.Current().Fleet)
			assert.Equal(t, tc.want, st.Counts())
		})
	}
	t.Run("two changes behind", func(t *testing.T) {
		wo := newWorld()
		st, _ := reader(t, wo)
		changes(t, wo, 2)
		require.NoError(t, st.Refresh(t.Context()))
		assert.Equal(t, uint64(3), st.Version())
		assert.Equal(t, Counts{Wholes: 2}, st.Counts())
	})
}
