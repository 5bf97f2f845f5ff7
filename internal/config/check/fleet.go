package check

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// Upper bounds above any plausible value, to catch typing errors.
const (
	maxDeadline = time.Hour
	maxDistance = time.Second
	maxWeight   = 1e6
	maxCapacity = 100000
	maxCost     = 1e9
)

func (ru *run) fleet() {
	if ru.fl.Site == "" {
		ru.faultf(wholeSection("Site"), "", "missing")
	}
	ru.ownersAndZones()
	ru.rankRules()
	ru.workspaceRules()
	ru.modelRules()
	ru.serviceRules()
	ru.inventory()
	ru.pipelineRules()
	ru.limits(&ru.fl.Limits)
}

func (ru *run) requireNonEmpty(section string, count int) {
	if count == 0 {
		ru.faultf(wholeSection(section), "", "empty, want at least one")
	}
}

func (ru *run) ownersAndZones() {
	fl := ru.fl
	ru.requireNonEmpty("Owners", len(fl.Owners))
	ru.owners = ru.checkNames(len(fl.Owners), func(i int) location { return element("Owners", i) },
		func(i int) string { return fl.Owners[i].Name })
	ru.requireNonEmpty("Regions", len(fl.Regions))
	ru.checkNames(len(fl.Regions), func(i int) location { return element("Regions", i) },
		func(i int) string { return fl.Regions[i].Name })
	ru.zones = make(map[string]int)
	first := make(map[string]location)
	for i, re := range fl.Regions {
		if len(re.Zones) == 0 {
			ru.faultf(element("Regions", i), "Zones", "empty, want at least one")
		}
		for j, zo := range re.Zones {
			loc := element("Regions", i).child("Zones", j)
			ru.checkName(loc, zo.Name)
			if before, ok := first[zo.Name]; ok && zo.Name != "" {
				ru.faultf(loc, "Name", "duplicate name %q, first at %s", zo.Name, before.path(ru.prefix, ""))
			} else {
				first[zo.Name], ru.zones[zo.Name] = loc, i
			}
			ru.checkDuration(loc, "Distance", zo.Distance, 0, maxDistance)
		}
	}
}

func (ru *run) checkDuration(loc location, field string, value citronstream.Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		ru.faultf(loc, field, "%s is out of range, want %s to %s", value.Std(), low, high)
	}
}

func (ru *run) rankRules() {
	ranks := ru.fl.Ranks
	ru.requireNonEmpty("Ranks", len(ranks))
	ru.ranks = ru.checkNames(len(ranks), func(i int) location { return element("Ranks", i) },
		func(i int) string { return ranks[i].Name })
	sum := 0.0
	for i, ra := range ranks {
		loc := element("Ranks", i)
		ru.checkDuration(loc, "Deadline", ra.Deadline, time.Millisecond, maxDeadline)
		checkRange(ru, loc, "Worth", ra.Worth, 0, maxWeight)
		checkRange(ru, loc, "Floor", ra.Floor, 0, 1)
		sum += max(ra.Floor, 0)
		if i > 0 && ra.Deadline < ranks[i-1].Deadline {
			ru.warnf(loc, "Deadline", "%s is shorter than that of %q, which is more urgent", ra.Deadline.Std(), ranks[i-1].Name)
		}
	}
	// The margin covers floating-point rounding.
	if sum > 1+1e-9 {
		ru.faultf(wholeSection("Ranks"), "", "floors sum to %.4g, want at most 1", sum)
	}
}

func (ru *run) workspaceRules() {
	workspaces := ru.fl.Workspaces
	ru.requireNonEmpty("Workspaces", len(workspaces))
	ru.workspaces = ru.checkNames(len(workspaces), func(i int) location { return element("Workspaces", i) },
		func(i int) string { return workspaces[i].Name })
	digests := make(map[string]int)
	external := slices.IndexFunc(ru.fl.Entries, func(en citronstream.Entry) bool {
		ap, err := netip.ParseAddrPort(en.Address)
		return err == nil && !ap.Addr().IsLoopback()
	})
	for i, wo := range workspaces {
		loc := element("Workspaces", i)
		ru.resolve(loc, "Owner", "Owners", "owner", wo.Owner, ru.owners)
		if wo.Weight <= 0 || wo.Weight > maxWeight {
			ru.faultf(loc, "Weight", "%v is out of range, want more than 0 and at most %v", wo.Weight, float64(maxWeight))
		}
		checkRange(ru, loc, "MaxConcurrent", wo.MaxConcurrent, 0, 1<<20)
		for j, name := range wo.Ranks {
			ru.resolve(loc.child("Ranks", j), "", "Ranks", "rank", name, ru.ranks)
			if slices.Contains(wo.Ranks[:j], name) {
				ru.faultf(loc.child("Ranks", j), "", "duplicate rank %q", truncate(name))
			}
		}
		if wo.TokenSHA256 == "" {
			if external >= 0 {
				ru.warnf(loc, "TokenSHA256", "missing, so only callers on loopback are served, but entry %q listens on %s",
					ru.fl.Entries[external].Name, ru.fl.Entries[external].Address)
			}
			continue
		}
		ru.checkDigest(loc, "TokenSHA256", wo.TokenSHA256)
		key := strings.ToLower(wo.TokenSHA256)
		if first, ok := digests[key]; ok {
			ru.faultf(loc, "TokenSHA256", "same token as %s, so callers can't be told apart", element("Workspaces", first).path(ru.prefix, ""))
		} else {
			digests[key] = i
		}
	}
}

func (ru *run) modelRules() {
	models := ru.fl.Models
	ru.models = ru.checkNames(len(models), func(i int) location { return element("Models", i) },
		func(i int) string { return models[i].Name })
	for i, mo := range models {
		loc := element("Models", i)
		if mo.Version == "" {
			ru.faultf(loc, "Version", "missing")
		}
		checkRange(ru, loc, "Bytes", mo.Bytes, 1, 1<<44) // 16 TiB
		checkRange(ru, loc, "Replicas", mo.Replicas, 0, maxCapacity)
		for j, name := range mo.Adapters {
			if name == "" || slices.Contains(mo.Adapters[:j], name) {
				ru.faultf(loc.child("Adapters", j), "", "empty or duplicate adapter %q", truncate(name))
			}
		}
	}
}
