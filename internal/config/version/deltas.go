package version

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/patch"
)

// Bounds on the deltas that a process keeps for its peers. A peer asks within a
// second of the announcement of a version, so few deltas are enough. Peers that were
// disconnected for longer get the full document.
const (
	maxDeltas     = 32
	maxDeltaBytes = 64 << 10 // of one delta; 25 changed upstreams at full size take 10 KB
)

// delta is the patch from a version to the next one that this process held.
type delta struct {
	from  uint64
	patch []byte
}

// deltaChain holds consecutive deltas; the last leads to the version of the snapshot
// that has the chain.
type deltaChain []delta

// extend returns the chain to the next document. The chain is empty if the difference
// is unknown or too large.
func (dc deltaChain) extend(held *Snapshot, next Document) deltaChain {
	pa, err := computeDelta(held, next)
	if err != nil || len(pa) > maxDeltaBytes {
		return nil
	}
	dc = append(dc[:len(dc):len(dc)], delta{held.Fleet.Version, pa})
	return dc[max(0, len(dc)-maxDeltas):]
}

// since returns the patch from an earlier version to the last one.
func (dc deltaChain) since(version uint64) ([]byte, bool) {
	for i := range dc {
		if dc[i].from != version {
			continue
		}
		var patches [][]byte
		for _, de := range dc[i:] {
			patches = append(patches, de.patch)
		}
		joined, err := patch.Join(patches...)
		return joined, err == nil
	}
	return nil, false
}

// computeDelta returns the patch from the held version to another document.
func computeDelta(held *Snapshot, next Document) ([]byte, error) {
	if held.Fleet.Version == 0 {
		return nil, citronstream.ErrNotFound
	}
	before, err := unpack(held.Document.Body)
	if err != nil {
		return nil, err
	}
	after, err := unpack(next.Body)
	if err != nil {
		return nil, err
	}
	return patch.New(before, after)
}

// Counts is a snapshot of a store's counters.
type Counts struct {
	FullReceived    uint64 // full documents read from a peer or the object store
	DeltasApplied   uint64 // deltas read and applied
	DeltaMismatches uint64 // deltas that could not be applied or whose result did not match the digest
	FullSent        uint64 // full documents sent to peers
	DeltasSent      uint64 // deltas sent to peers
}

type counters struct {
	fullReceived, deltasApplied, deltaMismatches, fullSent, deltasSent atomic.Uint64
}

// Counts returns a snapshot of the counters.
func (st *Store) Counts() Counts {
	co := &st.counts
	return Counts{
		FullReceived: co.fullReceived.Load(), DeltasApplied: co.deltasApplied.Load(), DeltaMismatches: co.deltaMismatches.Load(),
		FullSent: co.fullSent.Load(), DeltasSent: co.deltasSent.Load(),
	}
}

// DocumentFor returns the response to a peer's request for the configuration: the
// difference from the version that it holds, or the full document if that difference
// is unknown or not smaller.
func (st *Store) DocumentFor(rq citronstream.ConfigRequest) Document {
	sn := st.Current()
	do := sn.Document
	if pa, ok := sn.deltas.since(rq.Holds); ok {
		body, err := pack(pa)
		if err == nil && len(body) < len(do.Body) {
			st.counts.deltasSent.Add(1)
			do.Base, do.Body = rq.Holds, body
			return do
		}
	}
	st.counts.fullSent.Add(1)
	return do
}

// applyDelta applies a delta to the held document and counts the result.
func (st *Store) applyDelta(held *Snapshot, delta Document) (Document, error) {
	do, err := patchedDocument(held, delta)
	if err != nil {
		st.counts.deltaMismatches.Add(1)
		return Document{}, err
	}
	st.counts.deltasApplied.Add(1)
	return do, nil
}

// patchedDocument applies a delta and checks the digest of the result. The result is
// marshalled again, because a patch does not keep the order of members.
func patchedDocument(held *Snapshot, delta Document) (Document, error) {
	if delta.Base != held.Fleet.Version || delta.Record.Version <= delta.Base {
		return Document{}, fmt.Errorf("difference from version %d to %d does not apply to version %d",
			delta.Base, delta.Record.Version, held.Fleet.Version)
	}
	pa, err := unpack(delta.Body)
	if err != nil {
		return Document{}, err
	}
	before, err := unpack(held.Document.Body)
	if err != nil {
		return Document{}, err
	}
	text, err := patch.Apply(before, pa)
	if err != nil {
		return Document{}, err
	}
	fl := &citronstream.Fleet{}
	if err := json.Unmarshal(text, fl); err != nil {
		return Document{}, fmt.Errorf("configuration document: %w", err)
	}
	body, digest, err := Encode(fl)
	if err != nil {
		return Document{}, err
	}
	if digest != delta.Record.Digest {
		return Document{}, fmt.Errorf("difference from version %d results in digest %.12s, its record has %.12s",
			delta.Base, digest, delta.Record.Digest)
	}
	return Document{Record: delta.Record, Body: body}, nil
}

// putDelta stores the difference from the previous version for processes that read the
// object store. If it returns false, they read the full document.
func (st *Store) putDelta(ctx context.Context, next Document) bool {
	held := st.Current()
	if held.Fleet.Version+1 != next.Record.Version {
		return false
	}
	pa, err := computeDelta(held, next)
	if err != nil || len(pa) > maxDeltaBytes {
		return false
	}
	body, err := pack(pa)
	if err != nil || len(body) >= len(next.Body) {
		return false
	}
	return st.objects.Put(ctx, next.Record.Document+deltaSuffix, body) == nil
}
