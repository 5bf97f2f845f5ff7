package discovery

import (
	"context"
	"testing"

	"github.com/citronstream/citronstream"
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
			require.NoError(t, di.readRows(t.Context()))
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
