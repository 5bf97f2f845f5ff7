package assetcsv

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream"
)

const header = "asset_id,hostname,ip,zone,role,service,port,agent_port,admin_port,capacity,accelerators,models,owner\n"

func base() citronstream.Fleet {
	return citronstream.Fleet{
		Owners:    []citronstream.Owner{{Name: "magnolia"}, {Name: "nullagine"}},
		Regions:   []citronstream.Region{{Name: "r", Zones: []citronstream.Zone{{Name: "r-a"}, {Name: "r-b"}}}},
		Models:    []citronstream.Model{{Name: "m1"}, {Name: "m2"}},
		Services:  []citronstream.Service{{Name: "writer", Owner: "magnolia"}},
		Instances: []citronstream.Instance{{Name: "A1", Zone: "r-a", Address: "10.0.0.1"}},
		Upstreams: []citronstream.Upstream{{
			Name: "w1", Service: "writer", Instance: "A1", Address: "10.0.0.1:80",
			Agent: "10.0.0.1:81", Capacity: 4, Accelerators: 8, Models: []string{"m1"},
		}},
	}
}

func imported(t *testing.T, text string, opts ...Option) (citronstream.Fleet, Report) {
	t.Helper()
	fl, report, faults := New(opts...).Import(strings.NewReader(text), base())
	require.Empty(t, faults)
	return fl, report
}

func TestImport(t *testing.T) {
	// Guards against lost fields, and against a misread first column after a byte order
	// mark, quotes or blank lines from a spreadsheet.
	t.Run("new elements", func(t *testing.T) {
		fl, report := imported(t, "\xef\xbb\xbf"+header+
			"A2,w2,10.0.0.2,r-b,upstream,writer,80,81,,16,2,\"m1; m2\",magnolia\n\n,,,,,,,,,,,,\n"+
			"A2,,10.0.0.2,r-b,entry,,90,,91,,,,nullagine\r\nA3,,10.0.0.3,r-a,instance,,,,,,,,\n")
		assert.Equal(t, Report{Rows: 3, BlankLines: 1, Added: []string{"instance A2", "upstream w2", "entry A2", "instance A3"}}, report)
		assert.Equal(t, citronstream.Upstream{
			Name: "w2", Service: "writer", Instance: "A2", Address: "10.0.0.2:80",
			Agent: "10.0.0.2:81", Capacity: 16, Accelerators: 2, Models: []string{"m1", "m2"},
		}, fl.Upstreams[1])
		assert.Equal(t, []citronstream.Entry{{Name: "A2", Instance: "A2", Address: "10.0.0.2:90", Admin: "10.0.0.2:91"}}, fl.Entries)
		assert.Len(t, fl.Instances, 3)
	})
	// Guards against an import that clears values without a column.
	t.Run("values without a column are kept", func(t *testing.T) {
		fl, report := imported(t, "Asset,ip,zone,role,hostname,capacity,rack\nA1,10.0.0.9,r-a,upstream,w1,5,7\n", WithColumn(ColAssetID, "asset"))
		assert.Equal(t, Report{Rows: 1, Replaced: []string{"instance A1", "upstream w1"}, IgnoredColumns: []string{"rack"}}, report)
		want := base().Upstreams[0]
		want.Address, want.Agent, want.Capacity = "10.0.0.9:80", "10.0.0.9:81", 5
		assert.Equal(t, []citronstream.Upstream{want}, fl.Upstreams)
	})
	t.Run("same line again", func(t *testing.T) {
		_, report := imported(t, header+"A1,w1,10.0.0.1,r-a,upstream,writer,80,81,,4,8,m1,\n")
		assert.Equal(t, Report{Rows: 1, Unchanged: 2}, report)
	})
}

// Guards against invalid lines that are dropped silently or hide later faults.
func TestFaults(t *testing.T) {
	const good = "A2,w2,10.0.0.2,r-b,upstream,writer,80,81,,16,2,m1,magnolia\n"
	for text, want := range map[string][]string{
		"":                         {"line 1: no header line"},
		"asset_id,ip\n":            {"(zone): column is missing", "(role): column is missing"},
		"ip,ip,asset_id,zone,role": {"line 1, column 4 (ip): column appears twice"},
		header + "A2,w2\n" + good + good: {
			"line 2: 2 fields, the header has 13", `line 4, column 4 (hostname): upstream "w2" already appears on line 3`,
		},
		header + strings.Replace(good, "r-b", "r-x", 1) + strings.Replace(good, "w2", `w"2`, 1) + strings.Replace(good, "10.0.0.2", "host", 1): {
			`line 2, column 16 (zone): unknown zone "r-x"`, "line 3, column 5: not CSV: bare \"",
			`line 4, column 7 (ip): "host" is not an IP address`, `instance "A2" has another zone or address on line 2`, "already appears on line 2",
		},
		header + "A2,w2,10.0.0.2,r-b,upstream,nope,x,0,7,0,-1,m9,nobody\n": {
			`(owner): unknown owner "nobody"`, `(admin_port): "7" has no meaning for an upstream`, `(service): unknown service "nope"`,
			`(port): "x" is not a port`, `(agent_port): "0" is not a port`, `(capacity): "0" is not`, `(accelerators): "-1" is not`, `(models): unknown model "m9"`,
		},
		header + strings.Replace(good, "magnolia", "nullagine", 1):         {`service "writer" belongs to "magnolia", not "nullagine"`},
		header + strings.Replace(good, "upstream", "server", 1):            {`unknown role "server", known: entry, instance, upstream`},
		header + strings.Replace(good, "A2", "a/2", 1):                     {`"a/2" is not a valid name for an instance`},
		header + strings.Replace(good, "m1", "\xff", 1):                    {"line 2, column 48: field is not valid UTF-8"},
		header + strings.Replace(good, "m1", strings.Repeat("m", 5000), 1): {"field of 5000 bytes is longer than 4096"},
		header + `"A2`: {"not CSV: extraneous or missing"},
	} {
		fl, _, faults := New().Import(strings.NewReader(text), base())
		assert.Equal(t, base(), fl)
		if assert.Len(t, faults, len(want), "%q", faults) {
			for i, part := range want {
				assert.Contains(t, faults[i].String(), part)
			}
		}
	}
	for _, opt := range []Option{WithMaxBytes(150), WithMaxRows(1)} {
		_, _, faults := New(opt).Import(strings.NewReader(header+good+strings.ReplaceAll(good, "2", "3")), base())
		assert.NotEmpty(t, faults, "limit is not enforced")
	}
}

// Guards against a panic, and against a line that is neither merged, nor counted as blank,
// nor reported.
func FuzzImport(f *testing.F) {
	f.Add(header + "A2,w2,10.0.0.2,r-b,upstream,writer,80,81,,16,2,m1,magnolia\n")
	f.Add("\xef\xbb\xbf" + header + "A2,,::1,r-b,entry,,80,,81,,,,\n,,,,,,,,,,,,\n\"A\nB\",,,,,,,,,,,,\n")
	f.Fuzz(func(t *testing.T, text string) {
		fl, report, faults := New().Import(strings.NewReader(text), base())
		if len(faults) > 0 {
			assert.Equal(t, base(), fl)
			return
		}
		grown := len(fl.Instances) + len(fl.Upstreams) + len(fl.Entries) - 2
		assert.Equal(t, len(report.Added), grown)
		assert.LessOrEqual(t, grown, 2*report.Rows)
		assert.GreaterOrEqual(t, len(report.Added)+len(report.Replaced)+report.Unchanged, min(report.Rows, 1))
	})
}
