package gateway

import (
	"cmp"
	"context"
	"slices"
	"strconv"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/limit/partquarantine"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/peer/link"
)

// maxPartsPerMessage is the number of prompt parts above which peers are told of them in
// several messages. So many take a link of 10 Mbit/s 20 ms.
const maxPartsPerMessage = 1024

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

// tellParts tells the peers which suspect prompt parts have run soundly here and which
// are held.
func (ga *Gateway) tellParts() {
	sound, holds := ga.parts.TakeUnsent()
	for some := range slices.Chunk(sound, maxPartsPerMessage) {
		ga.mesh.Broadcast(citronstream.MethodSoundParts, citronstream.SoundParts{Sound: some})
	}
	if len(holds) > 0 {
		ga.mesh.Broadcast(citronstream.MethodSuspectParts, citronstream.SuspectParts{Suspects: holds})
	}
}

// upstreamDied records an upstream's death and reports it to the peers.
func (ga *Gateway) upstreamDied(report poison.Report) {
	ga.recordDeath(report, ga.site.Process)
	for _, message := range report.Split(maxPartsPerMessage) {
		ga.mesh.Broadcast(citronstream.MethodDeath, message)
	}
}

// recordDeath holds the content that is suspected of the death and marks the upstream dead.
func (ga *Gateway) recordDeath(report poison.Report, source string) {
	ga.parts.Crashed(partquarantine.Report{Death: report.ID, Upstream: report.Upstream, Source: source, Own: source == ga.site.Process, Age: report.Age, Requests: report.Requests})
	if report.Rest {
		return
	}
	held := ga.holds.Merge(report)
	if nd := ga.view.Members().Node(report.Upstream); nd != nil {
		nd.MarkDead(ga.clk.Now(), ga.listingTTL())
	}
	ga.cold.Died(report.Upstream, ga.listingTTL())
	ga.log.Info("upstream died", "upstream", report.Upstream, "death", report.ID, "running", len(report.Running), "held", len(held), "source", source)
	ga.logHeld(held, source)
}

// partChanged logs a change of a prompt part's state.
func (ga *Gateway) partChanged(ch partquarantine.Change) {
	ga.log.Info(string(ch.Event), "part", partquarantine.PartName(ch.Part), "upstream", ch.Upstream, "death", ch.Death, "crashes", ch.Crashes, "source", cmp.Or(ch.Source, ga.site.Process))
}
