package evacuation

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func apply(zo *Zones, zone string, version uint64, evacuated bool) bool {
	return zo.Apply(zone, version, evacuated)
}

// Guards against an old row that takes back a zone or evacuates it again.
func TestNewestVersionWins(t *testing.T) {
	zo := New()
	assert.True(t, apply(zo, "a", 5, true))
	assert.False(t, apply(zo, "a", 4, false), "an older removal")
	assert.Equal(t, map[string]uint64{"a": 5}, zo.Evacuated())
	assert.True(t, apply(zo, "a", 6, false))
	assert.False(t, apply(zo, "a", 5, true), "the row from before its removal")
	assert.Empty(t, zo.Evacuated())
}

// Guards against an end of an evacuation that is missed because the history of the store
// was forgotten, or because the process was away: only a complete read shows it.
func TestCompleteReadEndsAnEvacuation(t *testing.T) {
	zo := New()
	apply(zo, "a", 5, true)
	apply(zo, "b", 9, true)
	assert.Equal(t, []string{"a"}, zo.Missing(map[string]uint64{}, 7), "zone b was evacuated after the read")
	assert.Empty(t, zo.Missing(map[string]uint64{"a": 5}, 7))
}

// Guards against a peer that brings back an evacuation which had ended before this process
// read the table for the first time: nothing would end it again.
func TestPeerTellsOfAnEndedEvacuation(t *testing.T) {
	zo := New()
	zo.Settle(10)
	assert.False(t, apply(zo, "a", 8, true))
	assert.True(t, apply(zo, "a", 11, true))
}

// Guards against memory that grows with the names of zones, and against a forgotten zone
// that an old row evacuates again.
func TestBoundedZones(t *testing.T) {
	zo := New()
	for i := range 3 * maxZones {
		apply(zo, fmt.Sprint(i), uint64(2*i+1), true)
		apply(zo, fmt.Sprint(i), uint64(2*i+2), false)
	}
	assert.LessOrEqual(t, len(zo.Rows()), maxZones)
	assert.False(t, apply(zo, "0", 1, true))
	assert.Empty(t, zo.Evacuated())
}
