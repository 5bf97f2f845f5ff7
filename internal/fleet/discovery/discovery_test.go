package discovery

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// table returns rows and accepts no writes.
type table struct {
	citronstream.Table
	rows []citronstream.Row
}

func (ta *table) List(context.Context, string, string, int) ([]citronstream.Row, error) {
	return ta.rows, nil
}

// Guards against a log line at each read of a malformed row: each version costs one.
func TestMalformedRowsAreLoggedOnce(t *testing.T) {
	lines := 0
	log := funcr.New(func(string, string) { lines++ }, funcr.Options{})
	ta := &table{rows: []citronstream.Row{
		{Key: prefix + "a", Version: 1, Value: []byte("?")}, {Key: prefix + "b", Version: 2, Value: []byte("{}")}, {Key: prefix + "c", Version: 3},
	}}
	di := New(clockwork.NewFakeClock(), log, ta, nil, "own", "127.0.0.1:1", "z")
	assertLines := func(want int) {
		t.Helper()
		for range 3 {
			_, err := di.readRows(t.Context())
			require.NoError(t, err)
		}
		assert.Equal(t, want, lines)
	}
	assertLines(3)
	ta.rows[1].Version = 4
	assertLines(4)
	ta.rows = ta.rows[:1]
	assertLines(4)
	assert.Len(t, di.malformed, 1)
}

// Guards against a list that the store has cut and that is taken for complete: shares of the
// rate of cold upstreams would be computed from a part of the entries.
func TestCutListIsNotComplete(t *testing.T) {
	for count, complete := range map[int]int{maxListed - 1: 1, maxListed: 0} {
		ta, calls := &table{rows: []citronstream.Row{{Key: prefix + "own", Version: 1}}}, 0
		for len(ta.rows) < count {
			ta.rows = append(ta.rows, citronstream.Row{Key: prefix + "x", Version: 1})
		}
		di := New(clockwork.NewFakeClock(), logr.Discard(), ta, nil, "own", "127.0.0.1:1", "z", WithOnList(func([]string, time.Time) { calls++ }))
		di.written = true
		_, err := di.readRows(t.Context())
		require.NoError(t, err)
		assert.Equal(t, complete, calls, "%d rows", count)
	}
}

// Guards against entries that could not reach each other for long, have removed each other's
// rows, and never link again, as each writes its row once.
func TestRemovedRowIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clockwork.NewRealClock()
		ta := &store{rows: make(map[string]citronstream.Row)}
		ms := mesh.New(clk, logr.Discard(), nil, func() citronstream.PeerInfo { return citronstream.PeerInfo{Address: "127.0.0.1:1"} }, nil, nil)
		di := New(clk, logr.Discard(), ta, ms, "own", "127.0.0.1:1", "z")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			di.Run(ctx)
		}()
		clk.Sleep(time.Minute)
		assert.Equal(t, 1, ta.count(prefix+"own"), "written once while it is there")
		ta.remove(prefix + "own")
		clk.Sleep(2 * readInterval)
		assert.Equal(t, 2, ta.count(prefix+"own"))
		ta.replace(prefix+"own", `{"Address":"127.0.0.1:2","Zone":"z"}`)
		clk.Sleep(2 * readInterval)
		assert.Equal(t, 3, ta.count(prefix+"own"), "the row of an earlier process of the name is replaced")
		ta.remove(prefix + "own")
		di.Renew()
		clk.Sleep(time.Millisecond)
		assert.Equal(t, 4, ta.count(prefix+"own"), "written again at once")
		cancel()
		<-done
	})
}

// store is a table that accepts writes.
type store struct {
	citronstream.Table

	mu     sync.Mutex
	rows   map[string]citronstream.Row
	writes []string
}

func (st *store) List(context.Context, string, string, int) ([]citronstream.Row, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return slices.Collect(maps.Values(st.rows)), nil
}

func (st *store) Write(_ context.Context, _ string, ops ...citronstream.Op) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, op := range ops {
		st.rows[op.Key] = citronstream.Row{Key: op.Key, Value: op.Value, Version: 1}
		st.writes = append(st.writes, op.Key)
	}
	return nil
}

func (st *store) remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.rows, key)
}

func (st *store) replace(key, value string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rows[key] = citronstream.Row{Key: key, Value: []byte(value), Version: 2}
}

// count returns how often a row was written.
func (st *store) count(key string) (count int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, written := range st.writes {
		if written == key {
			count++
		}
	}
	return count
}

// Guards against a replacement that takes itself for the first process of the site, and asks
// nobody which content crashes upstreams, as there is no row of its name.
func TestFirstStart(t *testing.T) {
	for name, want := range map[string]bool{"": true, "other": false, "own": false} {
		t.Run(name, func(t *testing.T) {
			ta := &store{rows: make(map[string]citronstream.Row)}
			if name != "" {
				ta.rows[prefix+name] = citronstream.Row{Key: prefix + name, Version: 1}
			}
			first := false
			di := New(clockwork.NewFakeClock(), logr.Discard(), ta, nil, "own", "127.0.0.1:1", "z", WithOnFirstStart(func() { first = true }))
			require.NoError(t, di.announce(t.Context()))
			assert.Equal(t, want, first)
			assert.Equal(t, 1, ta.count(prefix+"own"))
		})
	}
}
