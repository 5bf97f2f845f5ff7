package poison

import (
	"container/list"
	"slices"
	"time"

	"github.com/citronstream/citronstream"
)

// maxRecords bounds the records that a process tells a peer.
const maxRecords = 1024

// Learned returns a channel that is closed when a peer has told what it knows.
func (ho *Holds) Learned() <-chan struct{} { return ho.learned }

// Knows reports whether the process knows which content has crashed upstreams lately.
func (ho *Holds) Knows() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return !ho.learns(ho.clk.Now())
}

func (ho *Holds) learns(now time.Time) bool { return now.Before(ho.learnsUntil) }

// Unsettled reports whether it is not decided yet whether a digest is held, as it ran at
// an upstream that has just died.
func (ho *Holds) Unsettled(digest uint64) bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return slices.ContainsFunc(ho.unsettled, func(de *death) bool { return de.seen[digest] })
}

// Tick holds the content that ran alone at an upstream that died while the process knew
// nothing. It returns the newly held digests.
func (ho *Holds) Tick() []uint64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	var held []uint64
	ho.unsettled = slices.DeleteFunc(ho.unsettled, func(de *death) bool {
		if now.Sub(de.at) < settleTime {
			return false
		}
		for digest := range de.seen {
			if len(de.seen) == 1 && ho.learns(now) && !ho.sound[digest] && ho.digests.hold(Hold{Digest: digest, At: now, Until: now.Add(firstHold), Upstream: de.upstream}, now) {
				held = append(held, digest)
			}
		}
		return true
	})
	return held
}

// ExportSuspects returns the held and the suspect content for a peer, most recently used first.
func (ho *Holds) ExportSuspects() []citronstream.SuspectContent {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	var records []citronstream.SuspectContent
	for _, from := range []*list.List{ho.digests.holds, ho.digests.suspects} {
		for el := from.Front(); el != nil && len(records) < maxRecords; el = el.Next() {
			hold := el.Value.(*digestRecord).hold
			sc := citronstream.SuspectContent{Digest: hold.Digest}
			if hold.inForce(now) {
				sc.Held, sc.Upstream = hold.Until.Sub(now), hold.Upstream
			}
			records = append(records, sc)
		}
	}
	return records
}

// ImportSuspects merges the records of a peer, which knows what has crashed upstreams unless it is
// learning itself. It returns the newly held digests.
func (ho *Holds) ImportSuspects(records []citronstream.SuspectContent, knows bool) []uint64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	holdFor := time.Duration(ho.holdFor.Load())
	var held []uint64
	for _, sc := range records[:min(len(records), maxRecords)] {
		if !ho.digests.suspect(sc.Digest) {
			ho.digests.addSuspect(sc.Digest).told = now
		}
		left := min(sc.Held, holdFor)
		if left > 0 && ho.digests.hold(Hold{Digest: sc.Digest, At: now.Add(left - holdFor), Until: now.Add(left), Upstream: sc.Upstream}, now) {
			held = append(held, sc.Digest)
		}
	}
	if knows {
		ho.endLearning(now)
	}
	ho.size.Store(int64(ho.digests.len()))
	return held
}

// FirstStart records that no process has run here before, so that there is nothing to learn.
func (ho *Holds) FirstStart() {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.endLearning(ho.clk.Now())
}

func (ho *Holds) endLearning(now time.Time) {
	if ho.learns(now) {
		ho.learnsUntil, ho.unsettled = now, nil
		close(ho.learned)
	}
	ho.learning.Store(false)
	ho.sound = nil
}

// ran records content that has run to completion while the process learned. Content that
// many send is not held for the death of an upstream that it had nothing to do with.
func (ho *Holds) ran(digest uint64) {
	switch {
	case ho.sound == nil:
	case !ho.learns(ho.clk.Now()):
		ho.learning.Store(false)
		ho.sound = nil
	case len(ho.sound) < ho.cap:
		ho.sound[digest] = true
	}
}

// Counts returns the number of held and of other suspect digests.
func (ho *Holds) Counts() (suspects, held int) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	now := ho.clk.Now()
	for el := ho.digests.holds.Front(); el != nil; el = el.Next() {
		if el.Value.(*digestRecord).hold.inForce(now) {
			held++
		}
	}
	return ho.digests.len() - held, held
}
