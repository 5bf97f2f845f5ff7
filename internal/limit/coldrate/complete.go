package coldrate

import "time"

const (
	// cutOffTTL is how long a list of the gateways counts while less than half of those in it
	// are linked: such a gateway hears of new ones from hardly any other. It is longer than
	// the time between two reads of the list by 25 gateways (10 to 40 s).
	cutOffTTL = 45 * time.Second
	// peerCountTTL is how long it counts how many gateways a peer knows. Peers tell it with their
	// loads, which they send while these change.
	peerCountTTL = time.Minute
)

// Reasons why the list of gateways may be incomplete.
const (
	ReasonNotRead = "no complete list was read within the time for which it counts"
	ReasonNewer   = "more gateways have appeared since the list was read than may be missing"
	ReasonPeer    = "a peer knows more gateways than may be missing here"
	ReasonCutOff  = "the list is old, and most gateways in it are not linked"
)

// peerCount is how many gateways a peer knows.
type peerCount struct {
	count int
	at    time.Time
}

// Linked records which other gateways are linked now, by address.
func (li *Limiter) Linked(addresses []string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	clear(li.linked)
	for _, address := range addresses {
		if address != li.self && len(li.linked) < maxGateways {
			li.linked[address] = true
		}
	}
}

// PeerKnows records how many gateways a peer knows, as its Known returns them. Absurd numbers
// and the 0 of a peer that does not tell are ignored.
func (li *Limiter) PeerKnows(peer string, count int) {
	li.mu.Lock()
	defer li.mu.Unlock()
	if count > 0 && count <= maxGateways+1 && (len(li.peerCounts) < maxGateways || !li.peerCounts[peer].at.IsZero()) {
		li.peerCounts[peer] = peerCount{count: count, at: li.clk.Now()}
	}
}

// Known returns how many gateways there are at present as far as this one knows: itself,
// those of the last complete list while it counts, and those that are linked.
func (li *Limiter) Known() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.clk.Since(li.listedAt) >= listTTL {
		return 1 + len(li.linked) // peers would take gateways that are gone for missing ones
	}
	return 1 + len(li.listed) + li.newer()
}

// newer returns the number of linked gateways that the last complete list lacks.
func (li *Limiter) newer() (count int) {
	for address := range li.linked {
		if !li.listed[address] {
			count++
		}
	}
	return count
}

// Incomplete returns why the list of gateways may be incomplete, so that nothing is sent to
// cold upstreams; it is empty if there is no reason to believe so.
func (li *Limiter) Incomplete() string {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.incomplete(li.clk.Now())
}

func (li *Limiter) incomplete(now time.Time) string {
	switch {
	case li.listedAt.IsZero() || now.Sub(li.listedAt) >= listTTL:
		return ReasonNotRead
	case li.reason != "":
		return li.reason
	case now.Sub(li.listedAt) >= cutOffTTL && li.fewLinked:
		return ReasonCutOff
	}
	return ""
}

// checkList finds out whether what is known of the gateways gives reason to believe that the
// list lacks some. It counts each gateway that this one has known within gatewayTTL, of the
// peers' ones only those that they know at present: a peer that has not noticed yet that
// gateways are gone causes no alarm.
func (li *Limiter) checkList(now time.Time) {
	most := 0
	for peer, te := range li.peerCounts {
		if now.Sub(te.at) > peerCountTTL {
			delete(li.peerCounts, peer)
			continue
		}
		most = max(most, te.count)
	}
	linked := 0
	for address := range li.listed {
		if li.linked[address] {
			linked++
		}
	}
	li.fewLinked, li.reason = 2*linked < len(li.listed), ""
	known := len(li.gateways) + 1
	switch {
	case li.newer() > li.tolerated(known):
		li.reason = ReasonNewer
	case most-known > li.tolerated(most):
		li.reason = ReasonPeer
	}
}

// tolerated returns how many gateways may evidently be missing from a list, in a fleet of some
// size: half of those for which the bound is proven (see share), as there may be others of
// which nothing is heard.
func (li *Limiter) tolerated(count int) int {
	least := -1 // no upstream's rate is bounded
	for _, up := range li.upstreams {
		rate := li.spec(up.service).ColdRate
		if rate <= 0 {
			continue
		}
		bound := li.overage*rate + li.slack
		if bound <= 0 {
			bound = 2 * rate // none is stated
		}
		senders := max(1, int(min(rate, bound/2)))
		missing := max(0, int(bound)-senders)
		if count <= int(bound) {
			missing = min(missing, senders-1)
		}
		if least < 0 || missing/2 < least {
			least = missing / 2
		}
	}
	return max(0, least)
}
