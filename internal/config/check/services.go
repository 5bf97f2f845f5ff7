package check

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/citronstream/citronstream"
)

var kinds = []string{
	citronstream.KindEncoder, citronstream.KindEngine, citronstream.KindPlain,
	citronstream.KindReranker, citronstream.KindRetriever,
}

func (ru *run) oneOf(pl place, field, kind, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		ru.bad(pl, field, "unknown %s %q, known: %s", kind, clip(value), known(allowed))
	}
}

func (ru *run) serviceRules() {
	services := ru.fl.Services
	ru.some("Services", len(services))
	ru.services = ru.names(len(services), func(i int) place { return item("Services", i) },
		func(i int) string { return services[i].Name })
	for i := range services {
		sv, pl := &services[i], item("Services", i)
		ru.oneOf(pl, "Kind", "kind", sv.Kind, kinds)
		if sv.Protocol == "" {
			ru.bad(pl, "Protocol", "missing")
		} else if ru.ch.protocols != nil {
			ru.oneOf(pl, "Protocol", "upstream protocol", sv.Protocol, ru.ch.protocols)
		}
		if sv.Policy != "" && ru.ch.policies != nil {
			ru.oneOf(pl, "Policy", "routing policy", sv.Policy, ru.ch.policies)
		}
		ru.refer(pl, "Owner", "Owners", "owner", sv.Owner, ru.owners)
		if sv.ChecksFencing && sv.Kind != citronstream.KindEngine {
			ru.warn(pl, "ChecksFencing", "has no effect, since only engines get commands")
		}
		ru.calls = append(ru.calls, ru.callRules(i, sv))
	}
	ru.hosted = make([]int, len(services))
}

func (ru *run) callRules(i int, sv *citronstream.Service) map[string]int {
	if len(sv.Calls) == 0 {
		ru.bad(item("Services", i), "Calls", "empty, want at least one")
	}
	at := func(j int) place { return item("Services", i).in("Calls", j) }
	index := ru.names(len(sv.Calls), at, func(j int) string { return sv.Calls[j].Name })
	for j, ca := range sv.Calls {
		if !strings.HasPrefix(ca.Path, "/") {
			ru.bad(at(j), "Path", "path %q does not start with /", clip(ca.Path))
		}
		if ca.Rank != "" {
			ru.refer(at(j), "Rank", "Ranks", "rank", ca.Rank, ru.ranks)
		}
		within(ru, at(j), "Cost", ca.Cost, 0, maxCost)
		within(ru, at(j), "CostPer1KTokens", ca.CostPer1KTokens, 0, maxCost)
		if ca.Streams && !ca.Idempotent {
			ru.warn(at(j), "Streams", "a non-idempotent call is answered from its record when it is sent again, not streamed")
		}
	}
	return index
}

func (ru *run) inventory() {
	fl := ru.fl
	ru.instances = ru.names(len(fl.Instances), func(i int) place { return item("Instances", i) },
		func(i int) string { return fl.Instances[i].Name })
	for i, in := range fl.Instances {
		ru.refer(item("Instances", i), "Zone", "Regions", "zone", in.Zone, ru.zones)
		if _, err := netip.ParseAddr(in.Address); err != nil {
			ru.bad(item("Instances", i), "Address", "%q is not an IP address", clip(in.Address))
		}
	}
	ru.names(len(fl.Upstreams), func(i int) place { return item("Upstreams", i) },
		func(i int) string { return fl.Upstreams[i].Name })
	for i := range fl.Upstreams {
		ru.upstream(item("Upstreams", i), &fl.Upstreams[i])
	}
	ru.some("Entries", len(fl.Entries))
	ru.names(len(fl.Entries), func(i int) place { return item("Entries", i) },
		func(i int) string { return fl.Entries[i].Name })
	for i, en := range fl.Entries {
		pl := item("Entries", i)
		in, known := ru.refer(pl, "Instance", "Instances", "instance", en.Instance, ru.instances)
		ru.listen(pl, "Address", en.Address)
		if known {
			ru.sameIP(pl, "Address", en.Address, in)
		}
		ru.listen(pl, "Admin", en.Admin)
	}
	for i, count := range ru.hosted {
		if count == 0 && !ru.partial["Upstreams"] {
			ru.warn(item("Services", i), "", "no upstream serves %q", fl.Services[i].Name)
		}
	}
}

func (ru *run) upstream(pl place, up *citronstream.Upstream) {
	sv, known := ru.refer(pl, "Service", "Services", "service", up.Service, ru.services)
	if known {
		ru.hosted[sv]++
	}
	in, onInstance := ru.refer(pl, "Instance", "Instances", "instance", up.Instance, ru.instances)
	ru.listen(pl, "Address", up.Address)
	ru.listen(pl, "Agent", up.Agent)
	if onInstance {
		ru.sameIP(pl, "Agent", up.Agent, in)
	}
	within(ru, pl, "Capacity", up.Capacity, 1, maxCapacity)
	within(ru, pl, "Accelerators", up.Accelerators, 0, 1024)
	for j, name := range up.Models {
		ru.refer(pl.in("Models", j), "", "Models", "model", name, ru.models)
	}
}

// sameIP warns of a process that listens on another address than that of its
// instance. An instance with several network interfaces may do so rightly.
func (ru *run) sameIP(pl place, field, address string, instance int) {
	in := ru.fl.Instances[instance]
	ap, err := netip.ParseAddrPort(address)
	ip, inErr := netip.ParseAddr(in.Address)
	if err == nil && inErr == nil && ap.Addr() != ip {
		ru.warn(pl, field, "%s is not on the address %s of instance %q", address, ip, in.Name)
	}
}
