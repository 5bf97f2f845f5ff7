package version

import (
	"bytes"
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func models(names ...string) *citronstream.Fleet {
	fl := &citronstream.Fleet{Site: "s"}
	for _, name := range names {
		fl.Models = append(fl.Models, citronstream.Model{Name: name})
	}
	return fl
}

func accept(t *testing.T, st *Store, base uint64, fl *citronstream.Fleet, author string) {
	t.Helper()
	got, err := st.Accept(t.Context(), base, fl, author)
	require.NoError(t, err)
	require.Equal(t, base+1, got)
}

// Guards against a conflict that does not show the operator who made the accepted
// change and what differs.
func TestConflictText(t *testing.T) {
	cl := newCluster()
	accept(t, cl.procs[0], 0, models("a", "b"), "ann")
	changed := models("b", "c")
	changed.Models[0].Replicas = 2
	changed.Site = "t"
	_, err := cl.procs[1].Accept(t.Context(), 0, changed, "bob")
	require.ErrorIs(t, err, citronstream.ErrConflict)
	assert.EqualError(t, err, "version 1 by ann was accepted before this change to version 0; differs in "+
		"Models a removed, Models b changed, Models c added, Site changed")
}

func TestSubscribe(t *testing.T) {
	cl := newCluster()
	accept(t, cl.procs[0], 0, models("a"), "ann")
	var got []uint64
	cl.procs[0].Subscribe(func(sn *Snapshot) { got = append(got, sn.Fleet.Version) })
	accept(t, cl.procs[0], 1, models("b"), "ann")
	require.NoError(t, cl.procs[0].Refresh(t.Context()))
	assert.Equal(t, []uint64{1, 2}, got)
}

// run starts a store's loop and returns a channel of the versions it installs.
func run(t *testing.T, cl *testCluster, st *Store) <-chan uint64 {
	versions := make(chan uint64, 8)
	st.Subscribe(func(sn *Snapshot) { versions <- sn.Fleet.Version })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		st.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		goleak.VerifyNone(t)
	})
	require.NoError(t, cl.clk.BlockUntilContext(ctx, 1))
	return versions
}

func TestRun(t *testing.T) {
	// A change must be in force within 5 s of its acceptance: the poll takes at most 2.5 s.
	t.Run("polls the table", func(t *testing.T) {
		cl := newCluster()
		versions := run(t, cl, cl.procs[1])
		accept(t, cl.procs[0], 0, models("a"), "ann")
		cl.clk.Advance(2500 * time.Millisecond)
		assert.Equal(t, uint64(1), <-versions)
	})
	// With the table down, processes must still get versions from each other.
	t.Run("fetches from the peer that announced the version", func(t *testing.T) {
		cl := newCluster()
		accept(t, cl.procs[0], 0, models("a"), "ann")
		versions := run(t, cl, cl.procs[1])
		cl.setDown(true)
		cl.procs[1].Observe(1, "0")
		for len(versions) == 0 {
			cl.clk.Advance(fetchJitter)
			runtime.Gosched()
		}
		assert.Equal(t, uint64(1), <-versions)
	})
}

// Guards against 2,060 processes that all poll, which would take half of the table's
// read capacity.
func TestPollHoldoff(t *testing.T) {
	cl := newCluster()
	st := New(cl.clk, cl.table, cl.ob, WithPollHoldoff(10*time.Second))
	accept(t, cl.procs[0], 0, models("a"), "ann")
	assert.True(t, st.pollDue(), "not ready")
	require.NoError(t, st.Refresh(t.Context()))
	st.Observe(1, "0")
	assert.False(t, st.pollDue(), "announced recently")
	cl.clk.Advance(10 * time.Second)
	assert.True(t, st.pollDue(), "no recent announcement")
	st.Observe(2, "0")
	assert.True(t, st.pollDue(), "a higher version is not held yet")
}

// Guards against a document from a peer, which is untrusted input, that is accepted
// although it does not match its record.
func FuzzDecode(f *testing.F) {
	body, digest, _ := Encode(&citronstream.Fleet{Version: 3, Site: "s"})
	f.Add(body, digest, uint64(3))
	f.Add(body, digest, uint64(4))
	f.Add(body, digest[1:]+"0", uint64(3))
	f.Add(body[:len(body)/2], digest, uint64(3))
	f.Add([]byte("no gzip"), "", uint64(0))
	f.Fuzz(func(t *testing.T, packed []byte, sum string, version uint64) {
		fl, err := Decode(Document{Record: Record{Version: version, Digest: sum}, Body: packed})
		if err == nil && (fl.Version != version || bytes.Equal(packed, body) && sum != digest) {
			t.Fatalf("decoded version %d as %d", fl.Version, version)
		}
	})
}
