// Package bench measures whole processes: the latency that entry and agent
// add, the requests an entry carries, and what holding a configuration and its
// links costs. The measured process runs alone in a child of the test binary.
package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
)

// Example reads the fleet of a file of examples/, moved to loopback addresses
// of this process and number, so that runs side by side don't meet.
func Example(root, name string, number int) (*citronstream.Fleet, error) {
	data, err := os.ReadFile(filepath.Join(root, "examples", name+".json"))
	if err != nil {
		return nil, err
	}
	set, faults := check.New().Settings(data)
	if check.Failed(faults) || set.Fleet == nil {
		return nil, fmt.Errorf("examples/%s.json has faults", name)
	}
	Rebase(set.Fleet, os.Getpid()+number)
	return set.Fleet, nil
}

// Rebase moves all addresses to other networks of 127.0.0.0/8, chosen by number.
func Rebase(fl *citronstream.Fleet, number int) {
	move := func(address string) string {
		return strings.NewReplacer("127.0.0.", fmt.Sprintf("127.%d.%d.", 100+number/256%100, number%256),
			"127.1.", fmt.Sprintf("127.%d.", 2+number%90)).Replace(address)
	}
	for i := range fl.Instances {
		fl.Instances[i].Address = move(fl.Instances[i].Address)
	}
	for i := range fl.Upstreams {
		fl.Upstreams[i].Address, fl.Upstreams[i].Agent = move(fl.Upstreams[i].Address), move(fl.Upstreams[i].Agent)
	}
	for i := range fl.Entries {
		fl.Entries[i].Address, fl.Entries[i].Admin = move(fl.Entries[i].Address), move(fl.Entries[i].Admin)
	}
}

// Region is what the processes of one region connect to.
type Region struct {
	Zone      string
	Entry     citronstream.Entry      // an entry of the region
	Upstreams []citronstream.Upstream // whose agents the entry connects to
}

// Home returns the first region. An entry connects to the agents of its
// region, and to all agents of services with non-idempotent calls.
func Home(fl *citronstream.Fleet) Region {
	re := Region{Zone: fl.Regions[0].Zones[0].Name}
	zones, zone := make(map[string]bool), make(map[string]string)
	for _, zo := range fl.Regions[0].Zones {
		zones[zo.Name] = true
	}
	for _, in := range fl.Instances {
		zone[in.Name] = in.Zone
	}
	keyed := make(map[string]bool)
	for _, se := range fl.Services {
		for _, sc := range se.Calls {
			keyed[se.Name] = keyed[se.Name] || !sc.Idempotent
		}
	}
	for _, up := range fl.Upstreams {
		if zones[zone[up.Instance]] || keyed[up.Service] {
			re.Upstreams = append(re.Upstreams, up)
		}
	}
	for _, en := range fl.Entries {
		if zones[zone[en.Instance]] {
			re.Entry = en
			break
		}
	}
	return re
}

// Thin returns the fleet with one in every of all entries and of the upstreams
// that the first region connects to, at least one of each service. Other
// regions keep theirs, so that the size of the configuration changes less than
// the number of links.
func Thin(fl *citronstream.Fleet, every int) *citronstream.Fleet {
	drop := make(map[string]bool)
	seen := make(map[string]int)
	for _, up := range Home(fl).Upstreams {
		drop[up.Name] = seen[up.Service]%every != 0
		seen[up.Service]++
	}
	next := *fl
	next.Upstreams, next.Entries = nil, nil
	for _, up := range fl.Upstreams {
		if !drop[up.Name] {
			next.Upstreams = append(next.Upstreams, up)
		}
	}
	for i, en := range fl.Entries {
		if i%every == 0 {
			next.Entries = append(next.Entries, en)
		}
	}
	return &next
}
