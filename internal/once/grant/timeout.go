package grant

import (
	"context"
	"time"

	"github.com/citronstream/citronstream"
)

// WithTimeout is context.WithTimeout on a given clock. The one of clockwork
// v0.5.0 doesn't work with a fake clock: Err blocks until the context ends.
func WithTimeout(parent context.Context, clk citronstream.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := clk.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
