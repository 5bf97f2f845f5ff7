package gateway

import (
	"context"
	"strconv"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// suspects returns the prompt parts and the requests that are suspected of crashing
// upstreams, or held for it.
func (ga *Gateway) suspects() citronstream.SuspectParts {
	return citronstream.SuspectParts{Suspects: ga.parts.Export(), Contents: ga.holds.ExportSuspects(), Knows: ga.holds.Knows()}
}

// heardSuspects merges what a peer suspects or holds.
func (ga *Gateway) heardSuspects(all citronstream.SuspectParts, from string) {
	ga.parts.Import(all.Suspects, from)
	ga.logHeld(ga.holds.ImportSuspects(all.Contents, all.Knows), from)
}

// askQuarantine asks a peer what it suspects or holds, as this process has just started.
// Both may be nil.
func (ga *Gateway) askQuarantine(pe *mesh.Peer, li *link.Link) {
	if pe == nil || li == nil || ga.ctx.Err() != nil {
		return
	}
	ga.runInBackground(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, stateTimeout)
		defer cancel()
		var all citronstream.SuspectParts
		if err := li.Call(ctx, citronstream.MethodQuarantine, nil, &all); err != nil {
			return // the next peer is asked
		}
		if all.Knows && !ga.holds.Knows() {
			ga.log.Info("suspect content known", "source", pe.Name(), "requests", len(all.Contents), "parts", len(all.Suspects))
		}
		ga.heardSuspects(all, pe.Name())
	})
}

// logHeld logs requests that are held from now on.
func (ga *Gateway) logHeld(held []uint64, source string) {
	for _, digest := range held {
		ga.log.Info("request content held", "content", strconv.FormatUint(digest, 16), "source", source)
	}
}
