package agent

import (
	"context"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/agent/server"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// resolver asks all configured entries, over their links, how the calls of a
// previous epoch ended.
type resolver struct {
	server  func() *server.Server
	entries func() []citronstream.Entry
}

// Resolve implements citronstream.Resolver.
func (rs resolver) Resolve(ctx context.Context, upstream string, epoch uint64) (time.Time, bool) {
	links := make(map[string]*link.Link)
	rs.server().Links(func(name string, li *link.Link) { links[name] = li })
	entries := rs.entries()
	replies := make([]citronstream.ResolveReply, len(entries))
	failed := make([]bool, len(entries))
	var wg sync.WaitGroup
	for i, en := range entries {
		li := links[en.Name]
		if li == nil {
			return time.Time{}, false
		}
		wg.Go(func() {
			rq := citronstream.ResolveRequest{Upstream: upstream, Epoch: epoch}
			failed[i] = li.Call(ctx, citronstream.MethodResolve, rq, &replies[i]) != nil
		})
	}
	wg.Wait()
	var latest time.Time
	for i := range entries {
		if failed[i] {
			return time.Time{}, false
		}
		if replies[i].Started.After(latest) {
			latest = replies[i].Started
		}
	}
	return latest, true
}
