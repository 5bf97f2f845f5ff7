package exchange

import (
	"context"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
)

// Guards against a copy of an earlier refusal that tells of a call that it did not run.
func TestCopiesOfRefusals(t *testing.T) {
	for _, status := range []string{"503 Busy", "429 Busy", "421 Misdirected", "408 Timeout", "400 Bad"} {
		refusal := "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nno"
		for name, copies := range map[string]struct{ with, before, after string }{
			"with the refusal":            {with: refusal},
			"before the next answer":      {before: refusal},
			"twice before the next":       {before: refusal + refusal},
			"after an interim answer":     {before: "HTTP/1.1 100 Continue\r\n\r\n" + refusal},
			"body longer than its length": {before: refusal + "more"},
			"after the next answer":       {after: refusal},
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				rs, cl := newRawServer(t, func(rc *rawConn) {
					if rc.number == 1 && rc.request() {
						rc.answer(refusal + copies.with)
					}
					for rc.request() {
						rc.answer(copies.before + ok200 + copies.after)
					}
				}), New()
				assert.Equal(t, citronstream.Ran, citronstream.VerdictOf(run(ctx, cl, rs.ln.Addr().String(), 10, nil)))
				for range 2 {
					err := run(ctx, cl, rs.ln.Addr().String(), 10, nil)
					assert.NotEqual(t, citronstream.NotRun, citronstream.VerdictOf(err), "%v", err)
				}
				cl.Close()
				rs.stop()
			})
		}
	}
}
