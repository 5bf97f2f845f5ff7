package boottime

import (
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSuspended(t *testing.T) {
	clk := clockwork.NewFakeClock()
	began, asleep := clk.Now(), 5*time.Hour // before the process started
	me, err := New(clk, WithRead(func() (time.Duration, error) { return clk.Since(began) + asleep, nil }))
	require.NoError(t, err)
	clk.Advance(time.Minute)
	assert.Zero(t, me.Suspended())
	asleep += 3 * time.Second
	assert.Equal(t, 3*time.Second, me.Suspended())
}

// The clock of this instance can be read.
func TestRealClock(t *testing.T) {
	me, err := New(clockwork.NewRealClock())
	require.NoError(t, err)
	assert.Less(t, me.Suspended(), time.Minute)
	_, err = New(clockwork.NewRealClock(), WithRead(func() (time.Duration, error) { return 0, errors.New("no clock") }))
	assert.Error(t, err)
}
