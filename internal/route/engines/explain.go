package engines

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
)

// Explanation is what a choice follows from.
type Explanation struct {
	Chosen     *node.Node // nil if none can be used
	Home       string     // that would get the shared parts
	Known      bool       // the home is known to have them
	Candidates []citronstream.WhereCandidate
}

// Explain returns the choice that Pick would make and the costs that it compares. It
// changes nothing.
func (pi *Picker) Explain(nodes []*node.Node, rq Request) (ex Explanation) {
	pi.mu.Lock()
	defer pi.mu.Unlock()
	now := pi.clk.Now()
	pi.setBound(nodes, &rq, now)
	ch := pi.compare(nodes, &rq, now, func(op option) {
		ca := citronstream.WhereCandidate{Upstream: op.node.ID, Zone: op.node.Zone, Cost: op.cost.sum(), Figures: pi.figures(op, now)}
		for _, te := range op.cost.terms() {
			ca.Terms = append(ca.Terms, citronstream.WhereTerm{Name: te.name, Cost: te.cost})
		}
		ex.Candidates = append(ex.Candidates, ca)
	})
	ex.Chosen, ex.Home, ex.Known = ch.best, ch.home, ch.known
	slices.SortStableFunc(ex.Candidates, func(a, b citronstream.WhereCandidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return ex
}

// figures returns the figures of an engine with their sources.
func (pi *Picker) figures(op option, now time.Time) (list []citronstream.WhereFigure) {
	add := func(name, source string, value float64, age time.Duration) {
		list = append(list, citronstream.WhereFigure{Name: name, Value: value, Source: source, AgeMs: citronstream.Milliseconds(age)})
	}
	add("unread tokens of the request", "own", float64(op.unread), 0)
	add("tokens read in a ms", "own", pi.readRate, 0)
	long, present := op.node.Factors()
	add("slowness", "node", op.node.Slowness(), 0)
	add("long-term slowness", string(long.Source), long.Factor, long.Age)
	add("present slowness", string(present.Source), present.Factor, present.Age)
	add("failure rate", "own", op.node.FailureRate(), 0)
	if count := pi.starts(op.node.ID, now); count > 0 {
		add("requests within a second", "own and peers", float64(count), 0)
	}
	if ld := pi.ownLoads[op.node.ID]; ld != nil {
		add("running", "own", float64(ld.running), 0)
		add("unread tokens", "own", float64(ld.prefillTokens), 0)
	}
	peers := pi.peers[op.node.ID]
	names := make([]string, 0, len(peers))
	for peer, pe := range peers {
		if now.Sub(pe.at) < peerLoadTTL {
			names = append(names, peer)
		}
	}
	slices.Sort(names)
	for _, peer := range names {
		add("running", peer, float64(peers[peer].Running), now.Sub(peers[peer].at))
		add("unread tokens", peer, float64(peers[peer].PrefillTokens), now.Sub(peers[peer].at))
	}
	return list
}
