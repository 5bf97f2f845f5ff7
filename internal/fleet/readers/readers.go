// Package readers decides which entries of a site read the platform's store for
// the others. Load pattern: hundreds of entries that poll the store each for
// itself make calls that grow with the fleet, though one read serves all.
package readers

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"github.com/citronstream/citronstream"
)

const (
	// In a zone with few entries each reads, as if it were alone.
	fewEntries = 2
	// minReaders is the number of readers that a site with more entries has. With
	// fewer zones than that each zone has several.
	minReaders = 3
	// capacityShare is the part of the highest capacity in its zone that an entry needs to
	// be preferred. A reader sends each row that it reads to all others: 160 upstreams with
	// heartbeats of 1.2 s take 30 Mbit/s with 100 entries.
	capacityShare = 0.5
)

// Choice is one entry's view of the readers. It is not exclusive: entries that
// see different peers may both read, which costs calls only.
type Choice struct {
	Self  bool // this entry reads
	Count int  // readers of the whole site
	// Listeners says that some entries do not read and have to be told.
	Listeners bool
}

// New chooses among an entry and its live peers: in each zone those with the
// highest hashes, so that few roles change when an entry comes or goes, of those
// with enough capacity if they suffice.
func New(self citronstream.PeerInfo, peers []citronstream.PeerInfo) Choice {
	zones, strongest := map[string]int{self.Zone: 1}, self.Capacity
	for _, pe := range peers {
		zones[pe.Zone]++
		if pe.Zone == self.Zone {
			strongest = max(strongest, pe.Capacity)
		}
	}
	above := 0 // entries of the own zone that read before this one
	for _, pe := range peers {
		if pe.Zone == self.Zone && before(pe, self, capacityShare*strongest) {
			above++
		}
	}
	perZone := (minReaders + len(zones) - 1) / len(zones)
	var ch Choice
	for zone, entries := range zones {
		count := entries
		if entries > fewEntries {
			count = min(entries, perZone)
		}
		if zone == self.Zone {
			ch.Self = above < count
		}
		ch.Count += count
		ch.Listeners = ch.Listeners || entries > count
	}
	return ch
}

// before orders entries: those with the capacity first, then by hash, equal ones by name.
func before(a, b citronstream.PeerInfo, capacity float64) bool {
	if strong := a.Capacity >= capacity; strong != (b.Capacity >= capacity) {
		return strong
	}
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Address), xxhash.Sum64String(b.Address)), cmp.Compare(a.Address, b.Address)) > 0
}
