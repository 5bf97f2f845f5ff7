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

func (ru *run) checkOneOf(loc location, field, kind, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		ru.faultf(loc, field, "unknown %s %q, known: %s", kind, truncate(value), nameList(allowed))
	}
}

func (ru *run) serviceRules() {
	services := ru.fl.Services
	ru.requireNonEmpty("Services", len(services))
	ru.services = ru.checkNames(len(services), func(i int) location { return element("Services", i) },
		func(i int) string { return services[i].Name })
	for i := range services {
		sv, loc := &services[i], element("Services", i)
		ru.checkOneOf(loc, "Kind", "kind", sv.Kind, kinds)
		if sv.Protocol == "" {
			ru.faultf(loc, "Protocol", "missing")
		} else if ru.ch.protocols != nil {
			ru.checkOneOf(loc, "Protocol", "upstream protocol", sv.Protocol, ru.ch.protocols)
		}
		if sv.Policy != "" && ru.ch.policies != nil {
			ru.checkOneOf(loc, "Policy", "routing policy", sv.Policy, ru.ch.policies)
		}
		ru.resolve(loc, "Owner", "Owners", "owner", sv.Owner, ru.owners)
		if sv.ChecksFencing && sv.Kind != citronstream.KindEngine {
			ru.warnf(loc, "ChecksFencing", "has no effect, since only engines get commands")
		}
		ru.calls = append(ru.calls, ru.callRules(i, sv))
	}
	ru.upstreamCounts = make([]int, len(services))
}

func (ru *run) callRules(i int, sv *citronstream.Service) map[string]int {
	if len(sv.Calls) == 0 {
		ru.faultf(element("Services", i), "Calls", "empty, want at least one")
	}
	at := func(j int) location { return element("Services", i).child("Calls", j) }
	index := ru.checkNames(len(sv.Calls), at, func(j int) string { return sv.Calls[j].Name })
	for j, ca := range sv.Calls {
		if !strings.HasPrefix(ca.Path, "/") {
			ru.faultf(at(j), "Path", "path %q does not start with /", truncate(ca.Path))
		}
		if ca.Rank != "" {
			ru.resolve(at(j), "Rank", "Ranks", "rank", ca.Rank, ru.ranks)
		}
		checkRange(ru, at(j), "Cost", ca.Cost, 0, maxCost)
		checkRange(ru, at(j), "CostPer1KTokens", ca.CostPer1KTokens, 0, maxCost)
		if ca.Streams && !ca.Idempotent {
			ru.warnf(at(j), "Streams", "a non-idempotent call is answered from its record when it is sent again, not streamed")
		}
	}
	return index
}

func (ru *run) inventory() {
	fl := ru.fl
	ru.instances = ru.checkNames(len(fl.Instances), func(i int) location { return element("Instances", i) },
		func(i int) string { return fl.Instances[i].Name })
	for i, in := range fl.Instances {
		ru.resolve(element("Instances", i), "Zone", "Regions", "zone", in.Zone, ru.zones)
		if _, err := netip.ParseAddr(in.Address); err != nil {
			ru.faultf(element("Instances", i), "Address", "%q is not an IP address", truncate(in.Address))
		}
	}
	ru.checkNames(len(fl.Upstreams), func(i int) location { return element("Upstreams", i) },
		func(i int) string { return fl.Upstreams[i].Name })
	for i := range fl.Upstreams {
		ru.upstream(element("Upstreams", i), &fl.Upstreams[i])
	}
	ru.requireNonEmpty("Entries", len(fl.Entries))
	ru.checkNames(len(fl.Entries), func(i int) location { return element("Entries", i) },
		func(i int) string { return fl.Entries[i].Name })
	for i, en := range fl.Entries {
		loc := element("Entries", i)
		in, known := ru.resolve(loc, "Instance", "Instances", "instance", en.Instance, ru.instances)
		ru.checkListen(loc, "Address", en.Address)
		if known {
			ru.sameIP(loc, "Address", en.Address, in)
		}
		ru.checkListen(loc, "Admin", en.Admin)
	}
	for i, count := range ru.upstreamCounts {
		if count == 0 && !ru.incomplete["Upstreams"] {
			ru.warnf(element("Services", i), "", "no upstream serves %q", fl.Services[i].Name)
		}
	}
}

func (ru *run) upstream(loc location, up *citronstream.Upstream) {
	sv, known := ru.resolve(loc, "Service", "Services", "service", up.Service, ru.services)
	if known {
		ru.upstreamCounts[sv]++
	}
	in, onInstance := ru.resolve(loc, "Instance", "Instances", "instance", up.Instance, ru.instances)
	ru.checkListen(loc, "Address", up.Address)
	ru.checkListen(loc, "Agent", up.Agent)
	if onInstance {
		ru.sameIP(loc, "Agent", up.Agent, in)
	}
	checkRange(ru, loc, "Capacity", up.Capacity, 1, maxCapacity)
	checkRange(ru, loc, "Accelerators", up.Accelerators, 0, 1024)
	for j, name := range up.Models {
		ru.resolve(loc.child("Models", j), "", "Models", "model", name, ru.models)
	}
}

// sameIP warns of a process that listens on an address other than that of its instance.
// This is only a warning because an instance may have several network interfaces.
func (ru *run) sameIP(loc location, field, address string, instance int) {
	in := ru.fl.Instances[instance]
	ap, err := netip.ParseAddrPort(address)
	ip, inErr := netip.ParseAddr(in.Address)
	if err == nil && inErr == nil && ap.Addr() != ip {
		ru.warnf(loc, field, "%s is not on the address %s of instance %q", address, ip, in.Name)
	}
}
