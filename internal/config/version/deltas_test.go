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

// scriptedPeer is a peer that answers with the given replies in order and repeats the
// last one.
type scriptedPeer struct {
	replies  []func(rq citronstream.ConfigRequest) (Document, error)
	requests []citronstream.ConfigRequest
}

func (sp *scriptedPeer) Fetch(_ context.Context, _ string, rq citronstream.ConfigRequest) (Document, error) {
	sp.requests = append(sp.requests, rq)
	return sp.replies[min(len(sp.requests), len(sp.replies))-1](rq)
}

// fleetVariant returns a fleet of 200 models of which one depends on number.
func fleetVariant(number int) *citronstream.Fleet {
	var names []string
	for i := range 200 {
		names = append(names, fmt.Sprintf("model-%d-%x", i, i*i*7919))
	}
	fl := models(names...)
	fl.Models[number%len(names)].Replicas = number
	return fl
}

// acceptChanges accepts a number of versions. The readers refresh after each one.
func acceptChanges(t *testing.T, cl *testCluster, number int, readers ...*Store) {
	t.Helper()
	for range number {
		base := cl.procs[0].Version()
		accept(t, cl.procs[0], base, fleetVariant(int(base)+1), "ann")
		for _, st := range readers {
			require.NoError(t, st.Refresh(t.Context()))
		}
	}
}

// newReader returns a process that holds version 1, and its peer.
func newReader(t *testing.T, cl *testCluster) (*Store, *scriptedPeer) {
	t.Helper()
	sp := &scriptedPeer{}
	st := New(cl.clk, cl.table, cl.ob, WithFetcher(sp))
	acceptChanges(t, cl, 1, st)
	return st, sp
}

func answerFrom(st *Store) func(citronstream.ConfigRequest) (Document, error) {
	return func(rq citronstream.ConfigRequest) (Document, error) { return st.DocumentFor(rq), nil }
}

// Guards against a process that missed several changes and ends with another text than
// the accepted one, or fetches the full document although the difference is known.
func TestDifferenceOverChanges(t *testing.T) {
	for _, missed := range []int{1, 2, maxDeltas, maxDeltas + 1} {
		t.Run(fmt.Sprint(missed, " changes"), func(t *testing.T) {
			cl := newCluster()
			st, sp := newReader(t, cl)
			sp.replies = append(sp.replies, answerFrom(cl.procs[0]))
			acceptChanges(t, cl, missed)
			st.Observe(cl.procs[0].Version(), "0")
			cl.setDown(true)
			require.NoError(t, st.fetchAnnounced(t.Context()))
			assert.Equal(t, cl.procs[0].Current().Fleet, st.Current().Fleet)
			assert.Equal(t, cl.procs[0].Current().Document.Record.Digest, st.Current().Document.Record.Digest)
			assert.Zero(t, st.Current().Document.Base, "a process passes on full documents")
			want := Counts{FullReceived: 1, DeltasApplied: 1}
			if missed > maxDeltas {
				want = Counts{FullReceived: 2}
			}
			assert.Equal(t, want, st.Counts())
		})
	}
}

// Guards against a difference that is wrong, outdated or malformed and takes effect, or
// keeps the process from the version that it could have.
func TestRefusedDifference(t *testing.T) {
	packed := func(text string) []byte {
		body, err := pack([]byte(text))
		require.NoError(t, err)
		return body
	}
	for name, corrupt := range map[string]func(do *Document){
		"other content": func(do *Document) {
			do.Body = packed(`[{"op":"replace","path":"/Version","value":2},{"op":"replace","path":"/Site","value":"x"}]`)
		},
		"no change":        func(do *Document) { do.Body = packed(`[]`) },
		"no patch":         func(do *Document) { do.Body = packed(`{}`) },
		"missing path":     func(do *Document) { do.Body = packed(`[{"op":"remove","path":"/Models/999"}]`) },
		"no gzip":          func(do *Document) { do.Body = []byte("no gzip") },
		"truncated body":   func(do *Document) { do.Body = do.Body[:len(do.Body)/2] },
		"other base":       func(do *Document) { do.Base++ },
		"outdated version": func(do *Document) { do.Record.Version = do.Base },
		"wrong digest":     func(do *Document) { do.Record.Digest = strings.Repeat("0", 64) },
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster()
			st, sp := newReader(t, cl)
			valid := answerFrom(cl.procs[0])
			sp.replies = append(sp.replies, func(rq citronstream.ConfigRequest) (Document, error) {
				do, err := valid(rq)
				require.Equal(t, uint64(1), do.Base)
				corrupt(&do)
				return do, err
			}, valid)
			acceptChanges(t, cl, 1)
			st.Observe(2, "0")
			cl.setDown(true)
			require.NoError(t, st.fetchAnnounced(t.Context()))
			assert.Equal(t, cl.procs[0].Current().Fleet, st.Current().Fleet)
			assert.Equal(t, []citronstream.ConfigRequest{{Version: 2, Holds: 1}, {Version: 2}}, sp.requests)
			assert.Equal(t, Counts{FullReceived: 2, DeltaMismatches: 1}, st.Counts())
		})
	}
	// With a peer that sends only wrong differences, the held version stays in force.
	t.Run("peer sends only wrong differences", func(t *testing.T) {
		cl := newCluster()
		st, sp := newReader(t, cl)
		sp.replies = append(sp.replies, func(citronstream.ConfigRequest) (Document, error) {
			return Document{Record: Record{Version: 2}, Base: 1, Body: packed(`[]`)}, nil
		})
		acceptChanges(t, cl, 1)
		st.Observe(2, "0")
		cl.setDown(true)
		require.Error(t, st.fetchAnnounced(t.Context()))
		assert.Equal(t, uint64(1), st.Version())
		cl.setDown(false)
		require.NoError(t, st.Refresh(t.Context()))
		assert.Equal(t, uint64(2), st.Version())
	})
}

// Guards against a lost answer that leaves a process on an old version, and against a
// late answer that reverts it.
func TestLostAnswer(t *testing.T) {
	cl := newCluster()
	st, sp := newReader(t, cl)
	lost := func(citronstream.ConfigRequest) (Document, error) { return Document{}, citronstream.ErrUnavailable }
	late := func(rq citronstream.ConfigRequest) (Document, error) {
		do := cl.procs[0].DocumentFor(rq)
		acceptChanges(t, cl, 1)
		require.NoError(t, st.refreshFromTable(t.Context())) // before the answer arrives
		return do, nil
	}
	sp.replies = append(sp.replies, lost, answerFrom(cl.procs[0]), late)
	acceptChanges(t, cl, 1)
	st.Observe(2, "0")
	cl.setDown(true)
	require.Error(t, st.fetchAnnounced(t.Context()))
	assert.Equal(t, uint64(1), st.Version())
	require.NoError(t, st.fetchAnnounced(t.Context()), "asks again")
	assert.Equal(t, uint64(2), st.Version())
	cl.setDown(false)
	acceptChanges(t, cl, 1)
	st.Observe(3, "0")
	require.NoError(t, st.fetchAnnounced(t.Context()))
	assert.Equal(t, uint64(4), st.Version(), "the answer with version 3 came after version 4")
	assert.Equal(t, cl.procs[0].Current().Fleet, st.Current().Fleet)
}

// Guards against sending a difference that is longer than the full document, and
// against an unbounded number of kept differences.
func TestLargeDifference(t *testing.T) {
	cl := newCluster()
	st, sp := newReader(t, cl)
	sp.replies = append(sp.replies, answerFrom(cl.procs[0]))
	next := fleetVariant(2)
	for i := range next.Models {
		next.Models[i].Version = strings.Repeat(strconv.Itoa(i), 200)
	}
	accept(t, cl.procs[0], 1, next, "ann")
	assert.Empty(t, cl.procs[0].Current().deltas)
	assert.Zero(t, cl.procs[0].DocumentFor(citronstream.ConfigRequest{Holds: 1}).Base)
	require.NoError(t, st.Refresh(t.Context()))
	assert.Equal(t, Counts{FullReceived: 2}, st.Counts())
	acceptChanges(t, cl, 3*maxDeltas, st)
	assert.Len(t, cl.procs[0].Current().deltas, maxDeltas)
	assert.Len(t, st.Current().deltas, maxDeltas)
}

// Guards against entries that read the full document for each change, and against a
// missing or wrong difference in the object store that keeps them from the version.
func TestDifferenceInObjectStore(t *testing.T) {
	for name, tc := range map[string]struct {
		corrupt func(cl *testCluster, key string)
		want    Counts
	}{
		"read":    {func(*testCluster, string) {}, Counts{FullReceived: 1, DeltasApplied: 1}},
		"missing": {func(cl *testCluster, key string) { delete(cl.ob.byID, key) }, Counts{FullReceived: 2}},
		"broken":  {func(cl *testCluster, key string) { cl.ob.byID[key] = []byte("x") }, Counts{FullReceived: 2, DeltaMismatches: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster()
			st, _ := newReader(t, cl)
			acceptChanges(t, cl, 1)
			rec := cl.procs[0].Current().Document.Record
			require.True(t, rec.Delta)
			tc.corrupt(cl, rec.Document+deltaSuffix)
			require.NoError(t, st.Refresh(t.Context()))
			assert.Equal(t, cl.procs[0].Current().Fleet, st.Current().Fleet)
			assert.Equal(t, tc.want, st.Counts())
		})
	}
	t.Run("two changes behind", func(t *testing.T) {
		cl := newCluster()
		st, _ := newReader(t, cl)
		acceptChanges(t, cl, 2)
		require.NoError(t, st.Refresh(t.Context()))
		assert.Equal(t, uint64(3), st.Version())
		assert.Equal(t, Counts{FullReceived: 2}, st.Counts())
	})
}
