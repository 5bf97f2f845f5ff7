package local

import (
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/citronstream/citronstream"
)

// Reduce returns a fleet with a fraction of the entries of each region and of the
// upstreams of each service and region, at least one of each.
func Reduce(fl *citronstream.Fleet, fraction float64) *citronstream.Fleet {
	next := *fl
	region := regionsByInstance(fl)
	next.Upstreams = keepFraction(fl.Upstreams, fraction, func(up citronstream.Upstream) string { return up.Service + "/" + region[up.Instance] })
	next.Entries = keepFraction(fl.Entries, fraction, func(en citronstream.Entry) string { return region[en.Instance] })
	used := make(map[string]bool)
	for _, up := range next.Upstreams {
		used[up.Instance] = true
	}
	for _, en := range next.Entries {
		used[en.Instance] = true
	}
	next.Instances = nil
	for _, inst := range fl.Instances {
		if used[inst.Name] {
			next.Instances = append(next.Instances, inst)
		}
	}
	return &next
}

// regionsByInstance returns the region of each instance.
func regionsByInstance(fl *citronstream.Fleet) map[string]string {
	byZone := make(map[string]string)
	for _, re := range fl.Regions {
		for _, zo := range re.Zones {
			byZone[zo.Name] = re.Name
		}
	}
	byInstance := make(map[string]string, len(fl.Instances))
	for _, inst := range fl.Instances {
		byInstance[inst.Name] = byZone[inst.Zone]
	}
	return byInstance
}

// keepFraction returns a fraction of each group, spread evenly over it.
func keepFraction[T any](all []T, fraction float64, group func(T) string) []T {
	sizes := make(map[string]int)
	for _, one := range all {
		sizes[group(one)]++
	}
	seen := make(map[string]int)
	var kept []T
	for _, one := range all {
		name := group(one)
		want := max(1, int(math.Round(float64(sizes[name])*fraction)))
		if seen[name]*want/sizes[name] != (seen[name]-1)*want/sizes[name] || seen[name] == 0 {
			kept = append(kept, one)
		}
		seen[name]++
	}
	return kept
}

// Range of ports for FreePorts, below the system's ephemeral ports: an outgoing
// connection could otherwise take the port of a stopped process.
const (
	lowestPort  = 12000
	highestPort = 32000
)

// FreePorts returns a fleet whose processes all listen on free ports of
// 127.0.0.1, so that several fleets can run concurrently.
func FreePorts(fl *citronstream.Fleet) (*citronstream.Fleet, error) {
	next := *fl
	next.Upstreams = append([]citronstream.Upstream(nil), fl.Upstreams...)
	next.Entries = append([]citronstream.Entry(nil), fl.Entries...)
	var open []net.Listener
	defer func() {
		for _, ln := range open {
			_ = ln.Close()
		}
	}()
	port := lowestPort + rand.IntN(highestPort-lowestPort)
	free := func(address *string) error {
		for range highestPort - lowestPort {
			if port++; port >= highestPort {
				port = lowestPort
			}
			ln, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
			if err == nil {
				open = append(open, ln)
				*address = ln.Addr().String()
				return nil
			}
		}
		return errors.New("no free port on 127.0.0.1")
	}
	var addresses []*string
	for i := range next.Upstreams {
		addresses = append(addresses, &next.Upstreams[i].Address, &next.Upstreams[i].Agent)
	}
	for i := range next.Entries {
		addresses = append(addresses, &next.Entries[i].Address, &next.Entries[i].Admin)
	}
	for _, address := range addresses {
		if err := free(address); err != nil {
			return nil, err
		}
	}
	return &next, nil
}
