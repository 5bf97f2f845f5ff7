package check

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
)

// Upper bounds that no plausible document passes; a higher value is a typing error.
const (
	maxDeadline = time.Hour
	maxDistance = time.Second
	maxWeight   = 1e6
	maxCapacity = 100000
	maxCost     = 1e9
)

func (ru *run) fleet() {
	if ru.fl.Site == "" {
		ru.bad(top("Site"), "", "missing")
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

func (ru *run) some(section string, count int) {
	if count == 0 {
		ru.bad(top(section), "", "empty, want at least one")
	}
}

func (ru *run) ownersAndZones() {
	fl := ru.fl
	ru.some("Owners", len(fl.Owners))
	ru.owners = ru.names(len(fl.Owners), func(i int) place { return item("Owners", i) },
		func(i int) string { return fl.Owners[i].Name })
	ru.some("Regions", len(fl.Regions))
	ru.names(len(fl.Regions), func(i int) place { return item("Regions", i) },
		func(i int) string { return fl.Regions[i].Name })
	ru.zones = make(map[string]int)
	first := make(map[string]place)
	for i, re := range fl.Regions {
		if len(re.Zones) == 0 {
			ru.bad(item("Regions", i), "Zones", "empty, want at least one")
		}
		for j, zo := range re.Zones {
			pl := item("Regions", i).in("Zones", j)
			ru.name(pl, zo.Name)
			if before, ok := first[zo.Name]; ok && zo.Name != "" {
				ru.bad(pl, "Name", "duplicate name %q, first at %s", zo.Name, before.text(ru.prefix, ""))
			} else {
				first[zo.Name], ru.zones[zo.Name] = pl, i
			}
			ru.duration(pl, "Distance", zo.Distance, 0, maxDistance)
		}
	}
}

func (ru *run) duration(pl place, field string, value citronstream.Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		ru.bad(pl, field, "%s is out of range, want %s to %s", value.Std(), low, high)
	}
}

func (ru *run) rankRules() {
	ranks := ru.fl.Ranks
	ru.some("Ranks", len(ranks))
	ru.ranks = ru.names(len(ranks), func(i int) place { return item("Ranks", i) },
		func(i int) string { return ranks[i].Name })
	sum := 0.0
	for i, ra := range ranks {
		pl := item("Ranks", i)
		ru.duration(pl, "Deadline", ra.Deadline, time.Millisecond, maxDeadline)
		within(ru, pl, "Worth", ra.Worth, 0, maxWeight)
		within(ru, pl, "Floor", ra.Floor, 0, 1)
		sum += max(ra.Floor, 0)
		if i > 0 && ra.Deadline < ranks[i-1].Deadline {
			ru.warn(pl, "Deadline", "%s is shorter than that of %q, which is more urgent", ra.Deadline.Std(), ranks[i-1].Name)
		}
	}
	// The margin covers the rounding of decimal fractions.
	if sum > 1+1e-9 {
		ru.bad(top("Ranks"), "", "floors sum to %.4g, want at most 1", sum)
	}
}

func (ru *run) workspaceRules() {
	workspaces := ru.fl.Workspaces
	ru.some("Workspaces", len(workspaces))
	ru.workspaces = ru.names(len(workspaces), func(i int) place { return item("Workspaces", i) },
		func(i int) string { return workspaces[i].Name })
	digests := make(map[string]int)
	outside := slices.IndexFunc(ru.fl.Entries, func(en citronstream.Entry) bool {
		ap, err := netip.ParseAddrPort(en.Address)
		return err == nil && !ap.Addr().IsLoopback()
	})
	for i, wo := range workspaces {
		pl := item("Workspaces", i)
		ru.refer(pl, "Owner", "Owners", "owner", wo.Owner, ru.owners)
		if wo.Weight <= 0 || wo.Weight > maxWeight {
			ru.bad(pl, "Weight", "%v is out of range, want more than 0 and at most %v", wo.Weight, float64(maxWeight))
		}
		within(ru, pl, "MaxConcurrent", wo.MaxConcurrent, 0, 1<<20)
		for j, name := range wo.Ranks {
			ru.refer(pl.in("Ranks", j), "", "Ranks", "rank", name, ru.ranks)
			if slices.Contains(wo.Ranks[:j], name) {
				ru.bad(pl.in("Ranks", j), "", "duplicate rank %q", clip(name))
			}
		}
		if wo.TokenSHA256 == "" {
			if outside >= 0 {
				ru.warn(pl, "TokenSHA256", "missing, so only callers on loopback are served, but entry %q listens on %s",
					ru.fl.Entries[outside].Name, ru.fl.Entries[outside].Address)
			}
			continue
		}
		ru.digest(pl, "TokenSHA256", wo.TokenSHA256)
		key := strings.ToLower(wo.TokenSHA256)
		if first, ok := digests[key]; ok {
			ru.bad(pl, "TokenSHA256", "same token as %s, so callers can't be told apart", item("Workspaces", first).text(ru.prefix, ""))
		} else {
			digests[key] = i
		}
	}
}

func (ru *run) modelRules() {
	models := ru.fl.Models
	ru.models = ru.names(len(models), func(i int) place { return item("Models", i) },
		func(i int) string { return models[i].Name })
	for i, mo := range models {
		pl := item("Models", i)
		if mo.Version == "" {
			ru.bad(pl, "Version", "missing")
		}
		within(ru, pl, "Bytes", mo.Bytes, 1, 1<<44) // 16 TiB
		within(ru, pl, "Replicas", mo.Replicas, 0, maxCapacity)
		for j, name := range mo.Adapters {
			if name == "" || slices.Contains(mo.Adapters[:j], name) {
				ru.bad(pl.in("Adapters", j), "", "empty or duplicate adapter %q", clip(name))
			}
		}
	}
}
