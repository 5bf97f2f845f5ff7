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

// merge is one import.
type merge struct {
	im      *Importer
	fl      citronstream.Fleet
	csv     *csv.Reader
	at      map[string]int // position by column
	width   int
	line    int
	record  []string
	report  Report
	faults  []Fault
	dropped int

	zones, owners              map[string]bool
	services                   map[string]citronstream.Service
	models                     map[string]bool
	instances, upstreams, entr map[string]int // positions in fl
	seen                       map[string]int // line of each name in this register
}

func newMerge(im *Importer, fl citronstream.Fleet) *merge {
	fl.Instances, fl.Upstreams, fl.Entries = slices.Clone(fl.Instances), slices.Clone(fl.Upstreams), slices.Clone(fl.Entries)
	me := &merge{
		im: im, fl: fl, at: make(map[string]int), seen: make(map[string]int),
		zones: make(map[string]bool), owners: make(map[string]bool), models: make(map[string]bool),
		services: make(map[string]citronstream.Service), instances: make(map[string]int),
		upstreams: make(map[string]int), entr: make(map[string]int),
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
		me.entr[en.Name] = i
	}
	return me
}

// has is true if the register has the column.
func (me *merge) has(column string) bool { _, ok := me.at[column]; return ok }

func (me *merge) field(column string) string {
	i, ok := me.at[column]
	if !ok {
		return ""
	}
	return strings.TrimSpace(me.record[i])
}

func (me *merge) bad(column, format string, args ...any) {
	pos := 0
	if i, ok := me.at[column]; ok {
		_, pos = me.csv.FieldPos(i)
	}
	me.fault(pos, me.im.headers[column], format, args...)
}

// row merges one line. A line with a fault changes the copy in part, which
// the fault makes the Importer discard.
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
		me.bad(ColIP, "%q is not an IP address", me.field(ColIP))
	}
	me.instance(ip)
	name := me.field(ColHostname)
	column := ColHostname
	if name == "" {
		name, column = me.field(ColAssetID), ColAssetID
	}
	switch role := me.field(ColRole); role {
	case "upstream":
		me.once(column, "upstream", name)
		me.upstream(name, ip)
	case "entry":
		me.once(column, "entry", name)
		me.entry(name, ip)
	case "instance":
		me.unused("an instance", ColService, ColPort, ColAgentPort, ColAdminPort, ColCapacity, ColAccelerators, ColModels)
	default:
		me.bad(ColRole, "unknown role %q, known: entry, instance, upstream", role)
	}
}

// once checks the name of an upstream or entry and refuses a second line for it.
func (me *merge) once(column, role, name string) {
	if !check.ValidName(name) {
		me.bad(column, "%q is not a valid name for an %s", name, role)
		return
	}
	if first, ok := me.seen[role+" "+name]; ok {
		me.bad(column, "%s %q stands on line %d already", role, name, first)
		return
	}
	me.seen[role+" "+name] = me.line
}

// unused refuses a value that the line's role would lose.
func (me *merge) unused(role string, columns ...string) {
	for _, column := range columns {
		if value := me.field(column); value != "" {
			me.bad(column, "%q has no meaning for %s", value, role)
		}
	}
}

// instance merges the instance of a line. Lines of one instance must agree.
func (me *merge) instance(ip netip.Addr) {
	in := citronstream.Instance{Name: me.field(ColAssetID), Zone: me.field(ColZone), Address: ip.String()}
	if !check.ValidName(in.Name) {
		me.bad(ColAssetID, "%q is not a valid name for an instance", in.Name)
	}
	if !me.zones[in.Zone] {
		me.bad(ColZone, "unknown zone %q", in.Zone)
	}
	if owner := me.field(ColOwner); owner != "" && !me.owners[owner] {
		me.bad(ColOwner, "unknown owner %q", owner)
	}
	i, known := me.instances[in.Name]
	first, seen := me.seen["instance "+in.Name]
	if seen {
		if me.fl.Instances[i] != in {
			me.bad(ColAssetID, "instance %q has another zone or address on line %d", in.Name, first)
		}
		return
	}
	me.seen["instance "+in.Name] = me.line
	put(me, &me.fl.Instances, me.instances, i, known, in.Name, "instance", in)
}

// put stores an element and counts what became of it.
func put[T any](me *merge, list *[]T, index map[string]int, i int, known bool, name, kind string, element T) {
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
	me.unused("an upstream", ColAdminPort)
	var up citronstream.Upstream
	i, known := me.upstreams[name]
	if known {
		up = me.fl.Upstreams[i]
	}
	up.Name, up.Instance = name, me.field(ColAssetID)
	if me.has(ColService) || !known {
		up.Service = me.field(ColService)
		sv, ok := me.services[up.Service]
		if !ok {
			me.bad(ColService, "unknown service %q", up.Service)
		} else if owner := me.field(ColOwner); owner != "" && owner != sv.Owner {
			me.bad(ColOwner, "service %q belongs to %q, not %q", up.Service, sv.Owner, owner)
		}
	}
	up.Address = me.port(ColPort, ip, up.Address)
	up.Agent = me.port(ColAgentPort, ip, up.Agent)
	up.Capacity = me.number(ColCapacity, up.Capacity, 1, known)
	up.Accelerators = me.number(ColAccelerators, up.Accelerators, 0, true)
	if me.has(ColModels) {
		up.Models = me.modelList()
	}
	put(me, &me.fl.Upstreams, me.upstreams, i, known, name, "upstream", up)
}

func (me *merge) modelList() []string {
	var models []string
	for part := range strings.SplitSeq(me.field(ColModels), ";") {
		name := strings.TrimSpace(part)
		if name == "" {
			continue
		}
		if !me.models[name] {
			me.bad(ColModels, "unknown model %q", name)
		}
		models = append(models, name)
	}
	return models
}

func (me *merge) entry(name string, ip netip.Addr) {
	me.unused("an entry", ColService, ColAgentPort, ColCapacity, ColAccelerators, ColModels)
	var en citronstream.Entry
	i, known := me.entr[name]
	if known {
		en = me.fl.Entries[i]
	}
	en.Name, en.Instance = name, me.field(ColAssetID)
	en.Address = me.port(ColPort, ip, en.Address)
	en.Admin = me.port(ColAdminPort, ip, en.Admin)
	put(me, &me.fl.Entries, me.entr, i, known, name, "entry", en)
}

// port joins the line's IP address with a port. Without the column the port
// of the element's old address stays.
func (me *merge) port(column string, ip netip.Addr, old string) string {
	text := me.field(column)
	if before, err := netip.ParseAddrPort(old); err == nil && !me.has(column) {
		text = strconv.Itoa(int(before.Port()))
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil || port == 0 {
		me.bad(column, "%q is not a port, want 1 to 65535", text)
	}
	return netip.AddrPortFrom(ip, uint16(port)).String()
}

// number reads a whole number. An empty field is the old value if the column
// is missing, and least if it may be empty.
func (me *merge) number(column string, old, least int, mayMiss bool) int {
	text := me.field(column)
	switch {
	case !me.has(column) && mayMiss:
		return old
	case text == "" && least == 0:
		return 0
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < least {
		me.bad(column, "%q is not a whole number of at least %d", text, least)
	}
	return value
}
