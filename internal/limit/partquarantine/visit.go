package partquarantine

import (
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// Refusal says why a request is not sent.
type Refusal struct {
	Part uint64
	// Held says that the part is held, else it is a suspect that is tried by one
	// request at a time.
	Held       bool
	RetryAfter time.Duration
}

// Visit is a request until its answer is complete. It is used by one goroutine at a time.
type Visit struct {
	qu       *Quarantine
	parts    []uint64
	admitted []uint64 // parts that are counted until the first event
	sends    int      // that have not returned
	sent     []uint64 // parts that are counted while there are some, until the first event
	open     []uint64 // parts that are counted from the first event on
	began    bool     // an upstream has sent an event
	broke    bool     // the connection of an attempt
	complete bool     // an upstream has answered it completely
}

// Enter admits a request with these shared parts, unless one is held, or is a suspect
// and in another request without a first event. The caller ends the visit with Leave.
func (qu *Quarantine) Enter(shared []citronstream.PromptPart) (*Visit, *Refusal) {
	vi := &Visit{qu: qu, parts: identifiers(shared)}
	if len(vi.parts) == 0 {
		return vi, nil
	}
	qu.mu.Lock()
	defer qu.unlock()
	if re := qu.refusal(vi.parts, qu.admitted, false); re != nil {
		return vi, re
	}
	vi.admitted = countIn(qu.admitted, vi.parts)
	return vi, nil
}

// identifiers returns the IDs of all parts. The bytes of a request's head bound their number.
func identifiers(shared []citronstream.PromptPart) []uint64 {
	if len(shared) == 0 {
		return nil
	}
	parts := make([]uint64, len(shared))
	for i, part := range shared {
		parts[i] = part.ID
	}
	return parts
}

// Check returns the refusal that Enter would give, without admitting anything.
func (qu *Quarantine) Check(shared []citronstream.PromptPart) *Refusal {
	qu.mu.Lock()
	defer qu.unlock()
	return qu.refusal(identifiers(shared), qu.admitted, false)
}

// refusal returns why a request with these parts can't go on, nil if it can. Broke
// says that an upstream may just have died of it, which is not known yet. One crash
// before a part is held, it is tried when the next crash is sure to count, and no other
// request with it is being answered.
func (qu *Quarantine) refusal(parts []uint64, others map[uint64]int, broke bool) *Refusal {
	now := qu.clk.Now()
	for _, part := range parts {
		rec := qu.lookup(part, now)
		switch {
		case rec == nil:
		case rec.held():
			return &Refusal{Part: part, Held: true, RetryAfter: rec.heldUntil.Sub(now)}
		case qu.vouched(part, now):
		case others[part] > 0 || rec.likely() && (broke || qu.open[part] > 0 || now.Sub(rec.last()) < crashGap):
			return &Refusal{Part: part, RetryAfter: busyRetryAfter}
		}
	}
	return nil
}

// vouched reports whether a part has run soundly a short time ago.
func (qu *Quarantine) vouched(part uint64, now time.Time) bool {
	last, ok := qu.sound.get(part)
	return ok && now.Sub(last.at) < soundFor
}

// Send is called right before the request is sent to an upstream. Returned must be
// called after it. A request with a suspect part is at one upstream at a time until its first
// event. A stream that goes on elsewhere does so beside others, unless the next crash may get
// a part of it held: many break with their upstream, and most of them are sound.
func (vi *Visit) Send() *Refusal {
	if len(vi.parts) == 0 || vi.complete {
		return nil
	}
	vi.qu.mu.Lock()
	defer vi.qu.unlock()
	if vi.began {
		return vi.qu.refusal(vi.parts, nil, vi.broke)
	}
	if re := vi.qu.refusal(vi.parts, vi.qu.sent, vi.broke); re != nil {
		return re
	}
	if vi.sends++; vi.sends == 1 {
		vi.sent = countIn(vi.qu.sent, vi.parts)
	}
	return nil
}

// Broke records that the connection broke while the request was at the upstream. It
// returns the parts of which the upstream may have died: none of a complete answer. Earlier
// sound runs say nothing, as a part may crash upstreams from some time on.
func (vi *Visit) Broke() []uint64 {
	vi.broke = true
	if vi.complete {
		return nil
	}
	if len(vi.open) > 0 {
		vi.qu.mu.Lock()
		defer vi.qu.mu.Unlock()
		vi.open = countOut(vi.qu.open, vi.open)
	}
	return vi.parts
}

// Returned records that the request is no longer at one upstream.
func (vi *Visit) Returned() {
	if vi.sends = max(0, vi.sends-1); vi.sends > 0 || len(vi.sent) == 0 {
		return
	}
	vi.qu.mu.Lock()
	defer vi.qu.mu.Unlock()
	vi.sent = countOut(vi.qu.sent, vi.sent)
}

// Began records the first event of an upstream. It proves nothing, as an upstream may crash in
// the middle of its answer.
func (vi *Visit) Began() {
	if len(vi.parts) == 0 || vi.complete || len(vi.open) > 0 {
		return
	}
	vi.began = true
	vi.qu.mu.Lock()
	defer vi.qu.mu.Unlock()
	vi.leave()
	vi.open = countIn(vi.qu.open, vi.parts)
}

// Finished records the complete answer of an upstream, which proves the parts sound. One whose
// end only the end of its connection tells, which the end of the upstream does as well, is a
// proof when the upstream is not known to have died a while later.
func (vi *Visit) Finished(upstream string, framed bool) {
	if len(vi.parts) == 0 || vi.complete {
		return
	}
	vi.complete = true
	qu := vi.qu
	qu.mu.Lock()
	defer qu.unlock()
	vi.leave()
	if framed {
		qu.prove(vi.parts, qu.clk.Now())
	} else if len(qu.unframed) < maxUnframed {
		qu.unframed = append(qu.unframed, unframedAnswer{parts: vi.parts, upstream: upstream, at: qu.clk.Now()})
	}
}

// Leave ends the visit.
func (vi *Visit) Leave() {
	if len(vi.admitted) == 0 && len(vi.sent) == 0 && len(vi.open) == 0 {
		return
	}
	vi.qu.mu.Lock()
	defer vi.qu.mu.Unlock()
	vi.leave()
}

func (vi *Visit) leave() {
	vi.admitted = countOut(vi.qu.admitted, vi.admitted)
	vi.sent = countOut(vi.qu.sent, vi.sent)
	vi.open = countOut(vi.qu.open, vi.open)
}

// Apart reports whether the request may be the one that crashes upstreams, so that it
// should run apart from others like it.
func (vi *Visit) Apart() bool {
	if len(vi.parts) == 0 || vi.complete {
		return false
	}
	if vi.broke && !vi.began {
		return true
	}
	vi.qu.mu.Lock()
	defer vi.qu.mu.Unlock()
	now := vi.qu.clk.Now()
	return slices.ContainsFunc(vi.parts, func(part uint64) bool {
		rec := vi.qu.lookup(part, now)
		return rec != nil && (!vi.began || rec.likely()) && !vi.qu.vouched(part, now)
	})
}

// countIn adds a request to the counts of its parts and returns the counted ones.
func countIn(counts map[uint64]int, parts []uint64) (counted []uint64) {
	for _, part := range parts {
		if _, known := counts[part]; known || len(counts) < maxInFlight {
			counts[part]++
			counted = append(counted, part)
		}
	}
	return counted
}

func countOut(counts map[uint64]int, parts []uint64) []uint64 {
	for _, part := range parts {
		if counts[part]--; counts[part] <= 0 {
			delete(counts, part)
		}
	}
	return nil
}
