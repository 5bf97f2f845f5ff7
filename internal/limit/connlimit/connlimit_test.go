package connlimit

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fixture records the connections that were closed.
type fixture struct {
	*Limit
	closed []string
	hits   int
}

func newFixture(most, mostNew int) *fixture {
	fx := &fixture{}
	fx.Limit = New(most, mostNew, func() { fx.hits++ })
	return fx
}

func (fx *fixture) add(name string) *Conn {
	return fx.Add(func() { fx.closed = append(fx.closed, name) })
}

// Guards against connections of clients that say nothing and keep out peers.
func TestNewOnesGiveWay(t *testing.T) {
	fx := newFixture(5, 2)
	known := fx.add("known")
	known.Known()
	for _, name := range []string{"a", "b", "c", "d"} {
		require.NotNil(t, fx.add(name))
	}
	assert.Equal(t, []string{"a", "b"}, fx.closed)
	assert.Equal(t, 2, fx.hits)
	assert.Equal(t, 3, fx.Open())
}

// Guards against known peers that are closed, and against more connections than the limit.
func TestKnownOnesStay(t *testing.T) {
	fx := newFixture(3, 2)
	var all []*Conn
	for range 3 {
		co := fx.add("peer")
		co.Known()
		all = append(all, co)
	}
	assert.Nil(t, fx.add("late"))
	assert.Empty(t, fx.closed)
	assert.Equal(t, 1, fx.hits)
	all[0].Remove()
	all[0].Remove()
	late := fx.add("late")
	require.NotNil(t, late)
	assert.NotNil(t, fx.add("later"), "one that is not known gives way")
	assert.Equal(t, []string{"late"}, fx.closed)
	late.Known()
	late.Remove()
	assert.Equal(t, 3, fx.Open())
}
