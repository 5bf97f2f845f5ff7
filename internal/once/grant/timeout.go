package grant

import (
	"context"
	"time"

	"github.com/citronstream/citronstream"
)

// WithTimeout is context.WithTimeout on a given clock. That of clockwork
// v0.5.0 is not usable with a fake clock, as its Err blocks until the end.
func WithTimeout(parent context.Context, clk citronstream.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := clk.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
