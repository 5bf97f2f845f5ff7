package coverage

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// storeAhead is what the store's clock is ahead of the own one.
const storeAhead = 7 * time.Hour

var start = clockwork.NewFakeClock().Now()

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }

func at(count float64) time.Time { return start.Add(seconds(count)) }

// read records an own read, heard another entry's, told at now, as of some second.
func read(co *Coverage, version uint64, asOf float64) {
	co.Read(version, at(asOf), storeAhead+seconds(asOf))
}

func heard(co *Coverage, after, version uint64, asOf, now float64) bool {
	return co.Heard(after, version, storeAhead+seconds(asOf), at(now))
}

func assertStale(t *testing.T, want bool, co *Coverage, now float64) {
	t.Helper()
	assert.Equal(t, want, co.Age(at(now)) > 2*time.Second)
}

func TestReadersKeepACopyCurrent(t *testing.T) {
	var co Coverage
	assertStale(t, true, &co, 0)
	read(&co, 10, 0)
	assertStale(t, false, &co, 1)
	assert.True(t, heard(&co, 8, 12, 1.5, 1.6))
	assert.True(t, heard(&co, 12, 15, 3, 3.1))
	assertStale(t, false, &co, 4)
	assertStale(t, true, &co, 6)
	read(&co, 16, 6)
	co.Expire()
	assertStale(t, true, &co, 6)
}

// A lost message must not pass unnoticed: the next one of the same reader does
// not make the copy current.
func TestLostMessage(t *testing.T) {
	var co Coverage
	read(&co, 10, 0)
	assert.False(t, heard(&co, 12, 15, 1, 1))
	assert.False(t, heard(&co, 15, 20, 2, 2))
	assertStale(t, true, &co, 3)
	assert.True(t, heard(&co, 9, 16, 2.5, 2.5), "another reader fills the gap")
	assertStale(t, false, &co, 3)
	assert.True(t, heard(&co, 15, 20, 3, 3))
}

// What a paused reader told, or a link held up, is old when it arrives.
func TestDelayedMessage(t *testing.T) {
	var co Coverage
	read(&co, 10, 0)
	assert.True(t, heard(&co, 10, 11, 0.1, 3))
	assertStale(t, true, &co, 3)
	read(&co, 30, 3)
	assert.True(t, heard(&co, 11, 12, 5, 5), "an older version than the copy's says nothing")
	assertStale(t, true, &co, 6)
}

// A suspended process wakes with a clock that has stood still: what it knew is
// older than it seems.
func TestOwnClockStoodStill(t *testing.T) {
	var co Coverage
	read(&co, 10, 0)
	assertStale(t, false, &co, 1)
	assert.False(t, heard(&co, 10, 20, 6, 1), "told 5 s after what seems to be now")
	assertStale(t, true, &co, 1)
}
