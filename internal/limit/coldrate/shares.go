package coldrate

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// settleTime is the age of the process from which on a complete list of the gateways
	// counts: those that started at the same time have written their rows by then.
	settleTime = 1500 * time.Millisecond
	// rewriteTime is how long after the store's return from an older copy its list of the gateways
	// may lack some: each of them writes its row again once it has noticed the return.
	rewriteTime = 5 * time.Second
	// listTTL is how long a list counts. Gateways that start later without a link to this
	// one are missing from it.
	listTTL = 5 * time.Minute
	// gatewayTTL is how long a gateway is counted after it was known last. It is longer
	// than listTTL, so that a gateway that lost all its links does not take over shares
	// of others that send on.
	gatewayTTL  = 2 * listTTL
	maxGateways = 1024
	// fewMore is by how many gateways few ones take themselves for more. At 8.9 requests a
	// second one sends 2 a second, so that the bound holds for 9 that know nobody.
	fewMore = 2
	// unknownShare is the part of the bound that an upstream should get before it is known
	// whether it is cold. The rest is for what gateways send before they hear of each other,
	// 0.2 s with 25 of them: in simulations (TestUnknownColdEngine) up to 3 requests.
	unknownShare = 0.8
)

// share is what this gateway may send to a cold upstream: count requests within window.
type share struct {
	count  int
	window time.Duration
}

// Gateways records other gateways that are known, by address, whether they can be reached
// or not: one that is cut off may go on sending.
func (li *Limiter) Gateways(addresses []string) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.addGateways(addresses)
}

// Listed records a complete list of the gateways, by address, and when its read began. One that
// was read just after the store came back from an older copy only adds gateways.
func (li *Limiter) Listed(addresses []string, began time.Time) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.addGateways(addresses)
	if began.Sub(li.began) >= settleTime && (li.restoredAt.IsZero() || began.Sub(li.restoredAt) >= rewriteTime) {
		li.listedAt = began
		clear(li.listed)
		for _, address := range addresses {
			if address != li.self && len(li.listed) < maxGateways {
				li.listed[address] = true
			}
		}
		li.checkList(li.clk.Now())
	}
}

// Settled reports whether this gateway knows the others well enough to use its shares.
func (li *Limiter) Settled() bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.settled(li.clk.Now())
}

// MayList reports whether this gateway would be settled by a complete list that is read now.
func (li *Limiter) MayList() bool {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	return !li.settled(now) && now.Sub(li.began) >= settleTime
}

func (li *Limiter) settled(now time.Time) bool { return li.incomplete(now) == "" }

func (li *Limiter) addGateways(addresses []string) {
	now := li.clk.Now()
	for _, address := range addresses {
		_, known := li.gateways[address]
		if address == li.self || !known && len(li.gateways) >= maxGateways {
			continue
		}
		if li.gateways[address] = now; !known {
			li.gen++
		}
	}
}

func (li *Limiter) forgetGateways(now time.Time) {
	for address, at := range li.gateways {
		if now.Sub(at) > gatewayTTL {
			delete(li.gateways, address)
			li.gen++
		}
	}
}

// share returns this gateway's share of the rate of a cold upstream. It is fixed by the
// gateways known and not by those that are reachable. Each of the first ones by rendezvous
// hashing sends at most one request within the window, so that the bound holds however
// much their views differ as long as each of them knows all but bound less rate of the
// others (10 at 8.9 requests a second; 7 if there are fewer than 19 gateways). A gateway that
// has reason to believe that it misses more has no share (see incomplete). Few gateways may
// send more than one each.
func (li *Limiter) share(id string, up *upstream, rate float64, now time.Time) share {
	if bound := li.overage*rate + li.slack; bound > 0 {
		rate = min(rate, bound/2) // two views without a common gateway
	}
	sh := share{window: window + jitter}
	if rate < 1 {
		sh.window = time.Duration(float64(window)/rate) + jitter
	}
	if !li.settled(now) {
		return sh
	}
	senders := max(1, int(rate))
	if count := len(li.gateways) + 1; count < senders {
		sh.count = max(1, int(rate/float64(count+fewMore)))
		return sh
	}
	if up.senderGen != li.gen || up.senders != senders {
		up.sender, up.senders, up.senderGen = li.rank(id, senders) < senders, senders, li.gen
	}
	if up.sender {
		sh.count = 1
	}
	return sh
}

// MaxUnknown returns how many requests an upstream of a service, which may have turned cold
// unnoticed, should get from all gateways within a second while others have free capacity;
// 0 means any number.
func (li *Limiter) MaxUnknown(service string) int {
	if li.spec(service).ColdRate <= 0 {
		return 0
	}
	return int(unknownShare * (li.overage*li.spec(service).ColdRate + li.slack))
}

// rank returns how many known gateways come before this one for an upstream, counted up
// to a limit.
func (li *Limiter) rank(id string, limit int) int {
	own, before := score(id, li.self), 0
	for address := range li.gateways {
		if score(id, address) > own {
			if before++; before == limit {
				break
			}
		}
	}
	return before
}

func score(id, address string) uint64 { return xxhash.Sum64String(id + "\x00" + address) }
