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
// highest hashes, so that few roles change when an entry comes or goes.
func New(self citronstream.PeerInfo, peers []citronstream.PeerInfo) Choice {
	zones := map[string]int{self.Zone: 1}
	above := 0 // entries of the own zone with a higher hash
	for _, pe := range peers {
		zones[pe.Zone]++
		if pe.Zone == self.Zone && higher(pe.Address, self.Address) {
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

// higher orders addresses by hash, equal ones by name.
func higher(a, b string) bool {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b)) > 0
}
