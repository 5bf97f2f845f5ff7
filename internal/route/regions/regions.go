// Package regions decides in which regions a request may run and its body may be sent.
// Load pattern: requests that are restricted to a region whose upstreams or gateways are
// partly gone.
package regions

import (
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

// Set is the regions that a request is restricted to, in a form that can be compared and
// sent to peers: sorted, each after a line feed. Empty means all regions.
type Set string

const separator = "\n"

// New returns the regions that are in all of the lists. An empty list has all regions.
func New(lists ...[]string) Set {
	var common []string
	restricted := false
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !restricted:
			common, restricted = slices.Clone(list), true
		default:
			common = slices.DeleteFunc(common, func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	if !restricted {
		return ""
	}
	slices.Sort(common)
	return Set(separator + strings.Join(slices.Compact(common), separator))
}

// Has reports whether a region is in the set. An unknown region, which is empty, is in none
// but that of all regions.
func (se Set) Has(region string) bool {
	if se == "" {
		return true
	}
	return region != "" && slices.Contains(strings.Split(string(se), separator), region)
}

// String returns the regions for logs.
func (se Set) String() string {
	return strings.ReplaceAll(strings.TrimPrefix(string(se), separator), separator, ",")
}

// Zones has the regions of zones.
type Zones struct {
	own, region string
	regions     map[string]string
}

// NewZones returns the regions of the zones of a site.
func NewZones(si *citronstream.Site) Zones {
	return Zones{own: si.Zone, region: si.Region, regions: si.Regions}
}

// Region returns the region of a zone, empty if it is not known.
func (zo Zones) Region(zone string) string {
	if region := zo.regions[zone]; region != "" {
		return region
	}
	if zone == zo.own {
		return zo.region
	}
	return ""
}

// Allows reports whether a set has the region of a zone.
func (zo Zones) Allows(se Set, zone string) bool { return se == "" || se.Has(zo.Region(zone)) }
