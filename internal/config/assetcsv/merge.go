package assetcsv

import (
	"encoding/csv"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/check"
)

// merge is the state of one import.
type merge struct {
	im        *Importer
	fl        citronstream.Fleet
	csv       *csv.Reader
	positions map[string]int // position by column
	width     int
	line      int
	record    []string
	report    Report
	faults    []Fault
	dropped   int

	zones, owners                 map[string]bool
	services                      map[string]citronstream.Service
	models                        map[string]bool
	instances, upstreams, entries map[string]int // positions in fl
	seen                          map[string]int // line of each name in this register
}

func newMerge(im *Importer, fl citronstream.Fleet) *merge {
	fl.Instances, fl.Upstreams, fl.Entries = slices.Clone(fl.Instances), slices.Clone(fl.Upstreams), slices.Clone(fl.Entries)
	me := &merge{
		im: im, fl: fl, positions: make(map[string]int), seen: make(map[string]int),
		zones: make(map[string]bool), owners: make(map[string]bool), models: make(map[string]bool),
		services: make(map[string]citronstream.Service), instances: make(map[string]int),
		upstreams: make(map[string]int), entries: make(map[string]int),
	}
	for _, re := range fl.Regions {
		for _, zo := range re.Zones {
			me.zones[zo.Name] = true
		}
	}
	for _, ow := range fl.Owners {
		me.owners[ow.Name] = true
	}
	for _, mo := range fl.Models {
		me.models[mo.Name] = true
	}
	for _, sv := range fl.Services {
		me.services[sv.Name] = sv
	}
	for i, in := range fl.Instances {
		me.instances[in.Name] = i
	}
	for i, up := range fl.Upstreams {
		me.upstreams[up.Name] = i
	}
	for i, en := range fl.Entries {
		me.entries[en.Name] = i
	}
	return me
}

// hasColumn is true if the register has the column.
func (me *merge) hasColumn(column string) bool { _, ok := me.positions[column]; return ok }

func (me *merge) field(column string) string {
	i, ok := me.positions[column]
	if !ok {
		return ""
	}
	return strings.TrimSpace(me.record[i])
}

func (me *merge) columnFault(column, format string, args ...any) {
	pos := 0
	if i, ok := me.positions[column]; ok {
		_, pos = me.csv.FieldPos(i)
	}
	me.fault(pos, me.im.headers[column], format, args...)
}

// row merges one line. A line with a fault may be merged in part; Import then discards the
// copy.
func (me *merge) row(record []string) {
	me.record = record
	for i, field := range record {
		if _, pos := me.csv.FieldPos(i); !utf8.ValidString(field) {
			me.fault(pos, "", "field is not valid UTF-8")
			return
		} else if len(field) > me.im.maxField {
			me.fault(pos, "", "field of %d bytes is longer than %d", len(field), me.im.maxField)
			return
		}
	}
	ip, err := netip.ParseAddr(me.field(ColIP))
	if err != nil {
		me.columnFault(ColIP, "%q is not an IP address", me.field(ColIP))
	}
	me.instance(ip)
	name := me.field(ColHostname)
	column := ColHostname
	if name == "" {
		name, column = me.field(ColAssetID), ColAssetID
	}
	switch role := me.field(ColRole); role {
	case "upstream":
		me.checkName(column, "upstream", name)
		me.upstream(name, ip)
	case "entry":
		me.checkName(column, "entry", name)
		me.entry(name, ip)
	case "instance":
		me.rejectColumns("an instance", ColService, ColPort, ColAgentPort, ColAdminPort, ColCapacity, ColAccelerators, ColModels)
	default:
		me.columnFault(ColRole, "unknown role %q, known: entry, instance, upstream", role)
	}
}

// checkName checks the name of an upstream or entry and rejects a second line for it.
func (me *merge) checkName(column, role, name string) {
	if !check.ValidName(name) {
		me.columnFault(column, "%q is not a valid name for an %s", name, role)
		return
	}
	if first, ok := me.seen[role+" "+name]; ok {
		me.columnFault(column, "%s %q already appears on line %d", role, name, first)
		return
	}
	me.seen[role+" "+name] = me.line
}

// rejectColumns reports values in columns that the line's role does not use.
func (me *merge) rejectColumns(role string, columns ...string) {
	for _, column := range columns {
		if value := me.field(column); value != "" {
			me.columnFault(column, "%q has no meaning for %s", value, role)
		}
	}
}

// instance merges the instance of a line. All lines of an instance must agree.
func (me *merge) instance(ip netip.Addr) {
	in := citronstream.Instance{Name: me.field(ColAssetID), Zone: me.field(ColZone), Address: ip.String()}
	if !check.ValidName(in.Name) {
		me.columnFault(ColAssetID, "%q is not a valid name for an instance", in.Name)
	}
	if !me.zones[in.Zone] {
		me.columnFault(ColZone, "unknown zone %q", in.Zone)
	}
	if owner := me.field(ColOwner); owner != "" && !me.owners[owner] {
		me.columnFault(ColOwner, "unknown owner %q", owner)
	}
	i, known := me.instances[in.Name]
	first, seen := me.seen["instance "+in.Name]
	if seen {
		if me.fl.Instances[i] != in {
			me.columnFault(ColAssetID, "instance %q has another zone or address on line %d", in.Name, first)
		}
		return
	}
	me.seen["instance "+in.Name] = me.line
	upsert(me, &me.fl.Instances, me.instances, i, known, in.Name, "instance", in)
}

// upsert adds or replaces an element and updates the report.
func upsert[T any](me *merge, list *[]T, index map[string]int, i int, known bool, name, kind string, element T) {
	switch {
	case !known:
		index[name] = len(*list)
		*list = append(*list, element)
		me.report.Added = append(me.report.Added, kind+" "+name)
	case reflect.DeepEqual((*list)[i], element):
		me.report.Unchanged++
	default:
		(*list)[i] = element
		me.report.Replaced = append(me.report.Replaced, kind+" "+name)
	}
}

func (me *merge) upstream(name string, ip netip.Addr) {
	me.rejectColumns("an upstream", ColAdminPort)
	var up citronstream.Upstream
	i, known := me.upstreams[name]
	if known {
		up = me.fl.Upstreams[i]
	}
	up.Name, up.Instance = name, me.field(ColAssetID)
	if me.hasColumn(ColService) || !known {
		up.Service = me.field(ColService)
		sv, ok := me.services[up.Service]
		if !ok {
			me.columnFault(ColService, "unknown service %q", up.Service)
		} else if owner := me.field(ColOwner); owner != "" && owner != sv.Owner {
			me.columnFault(ColOwner, "service %q belongs to %q, not %q", up.Service, sv.Owner, owner)
		}
	}
	up.Address = me.port(ColPort, ip, up.Address)
	up.Agent = me.port(ColAgentPort, ip, up.Agent)
	up.Capacity = me.number(ColCapacity, up.Capacity, 1, known)
	up.Accelerators = me.number(ColAccelerators, up.Accelerators, 0, true)
	if me.hasColumn(ColModels) {
		up.Models = me.modelList()
	}
	upsert(me, &me.fl.Upstreams, me.upstreams, i, known, name, "upstream", up)
}

func (me *merge) modelList() []string {
	var models []string
	for part := range strings.SplitSeq(me.field(ColModels), ";") {
		name := strings.TrimSpace(part)
		if name == "" {
			continue
		}
		if !me.models[name] {
			me.columnFault(ColModels, "unknown model %q", name)
		}
		models = append(models, name)
	}
	return models
}

func (me *merge) entry(name string, ip netip.Addr) {
	me.rejectColumns("an entry", ColService, ColAgentPort, ColCapacity, ColAccelerators, ColModels)
	var en citronstream.Entry
	i, known := me.entries[name]
	if known {
		en = me.fl.Entries[i]
	}
	en.Name, en.Instance = name, me.field(ColAssetID)
	en.Address = me.port(ColPort, ip, en.Address)
	en.Admin = me.port(ColAdminPort, ip, en.Admin)
	upsert(me, &me.fl.Entries, me.entries, i, known, name, "entry", en)
}

// port joins the line's IP address with a port. If the column is missing, the element keeps
// its port.
func (me *merge) port(column string, ip netip.Addr, old string) string {
	text := me.field(column)
	if before, err := netip.ParseAddrPort(old); err == nil && !me.hasColumn(column) {
		text = strconv.Itoa(int(before.Port()))
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil || port == 0 {
		me.columnFault(column, "%q is not a port, want 1 to 65535", text)
	}
	return netip.AddrPortFrom(ip, uint16(port)).String()
}

// number parses a whole number. If the column is missing, the old value stays, provided
// that optional is true. An empty field is 0 if least is 0.
func (me *merge) number(column string, old, least int, optional bool) int {
	text := me.field(column)
	switch {
	case !me.hasColumn(column) && optional:
		return old
	case text == "" && least == 0:
		return 0
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < least {
		me.columnFault(column, "%q is not a whole number of at least %d", text, least)
	}
	return value
}
