package regions

import (
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against a restriction that is lost when another one is empty, and against two
// that exclude each other and are taken for none.
func TestSets(t *testing.T) {
	east, west, both := []string{"east"}, []string{"west"}, []string{"west", "east", "west"}
	for _, one := range []struct {
		lists      [][]string
		east, west bool
	}{
		{nil, true, true},
		{[][]string{nil, {}}, true, true},
		{[][]string{east, nil}, true, false},
		{[][]string{nil, west}, false, true},
		{[][]string{both, east}, true, false},
		{[][]string{both, both}, true, true},
		{[][]string{east, west}, false, false},
	} {
		se := New(one.lists...)
		assert.Equal(t, one.east, se.Has("east"), "%v", one.lists)
		assert.Equal(t, one.west, se.Has("west"), "%v", one.lists)
		assert.Equal(t, one.east && one.west && se == "", se.Has(""), "%v", one.lists)
	}
	assert.Equal(t, New(both), New([]string{"east", "west"}))
	assert.Equal(t, "east,west", New(both).String())
}

// Guards against a zone without a known region that is taken for an allowed one.
func TestUnknownZones(t *testing.T) {
	zones := NewZones(&citronstream.Site{Zone: "own", Region: "east", Regions: map[string]string{"a": "west"}})
	east := New([]string{"east"})
	assert.True(t, zones.Allows(east, "own"))
	assert.False(t, zones.Allows(east, "a"))
	assert.False(t, zones.Allows(east, "unknown"))
	assert.False(t, zones.Allows(east, ""))
	assert.True(t, zones.Allows("", "unknown"))
}
