// Package boottime tells for how long the instance has been suspended. The steady
// clock stands still meanwhile, so that a process that looks only at that one takes
// requests for new whose callers have long given up.
package boottime

import (
	"time"

	"github.com/citronstream/citronstream"
	"golang.org/x/sys/unix"
)

// Meter compares the clock that counts suspended time with the one that does not.
type Meter struct {
	read   func() (sinceBoot time.Duration, err error)
	steady func() time.Duration
	lag    time.Duration // between the two clocks at the start
}

// Option changes a Meter.
type Option func(*Meter)

// WithRead sets the function that reads the time since the instance was booted.
func WithRead(read func() (time.Duration, error)) Option {
	return func(me *Meter) { me.read = read }
}

// New returns a Meter that starts at 0. An error means that the clock can't be read.
func New(clk citronstream.Clock, opts ...Option) (*Meter, error) {
	began := clk.Now()
	me := &Meter{read: readClock, steady: func() time.Duration { return clk.Since(began) }}
	for _, opt := range opts {
		opt(me)
	}
	since, err := me.read()
	if err != nil {
		return nil, err
	}
	me.lag = since - me.steady()
	return me, nil
}

func readClock() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Suspended returns for how long the instance has been suspended since New. The clock
// could be read then, so that an error can't be told from no time.
func (me *Meter) Suspended() time.Duration {
	since, err := me.read()
	if err != nil {
		return 0
	}
	return max(0, since-me.steady()-me.lag)
}
