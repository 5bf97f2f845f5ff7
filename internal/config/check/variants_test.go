package check

import "strings"

// variant is a set of edits that break an example, and parts of the expected messages.
type variant struct {
	name  string
	edits []edit
	want  []string
	// combinable marks variants whose edits don't overlap, so that all of them can be
	// applied together and all their faults must be in one report.
	combinable bool
}

var variants = []variant{
	{"unknown service", []edit{{`"Service":"reranker","Call":"rerank"`, `"Service":"rerankk","Call":"rerank"`}}, []string{
		`Fleet.Pipelines[0].Stages[2].Service: unknown service "rerankk", known: catalog, encoder, order-desk, reranker,`,
	}, true},
	{"wrong type", []edit{{`"Capacity":16`, `"Capacity":"16"`}}, []string{
		`Fleet.Upstreams[0].Capacity: wrong type: want a whole number, got text (line `,
	}, true},
	{"fraction for a whole number", []edit{{`"Capacity":16`, `"Capacity":1.5`}}, []string{"want a whole number within range"}, true},
	{"object for a list", []edit{{`"Owners": [
      {"Name":"magnolia"},
      {"Name":"nullagine"}
    ]`, `"Owners": {}`}}, []string{"Fleet.Owners: wrong type: want a list, got an object"}, false},
	{"null", []edit{{`"Site": "magnolia"`, `"Site": null`}}, []string{"Fleet.Site: null is not allowed"}, true},
	{"unknown key", []edit{{`{"Name":"press-floor",`, `{"Name":"press-floor","Wieght":2,`}}, []string{
		"Fleet.Workspaces[0].Wieght: unknown key, known: MaxConcurrent, Name, Owner, Ranks, TokenSHA256, Weight",
	}, true},
	{"key in other case", []edit{{`"Regions"`, `"regions": [], "Regions"`}}, []string{"Fleet.regions: unknown key"}, true},
	{"duplicate key", []edit{{`"Owner":"magnolia","Weight":40`, `"Owner":"magnolia","Weight":40,"Weight":41`}}, []string{
		"Fleet.Workspaces[0].Weight: duplicate key",
	}, true},
	{"duplicate name", []edit{{`{"Name":"sales-office"`, `{"Name":"press-floor"`}}, []string{
		`Fleet.Workspaces[1].Name: duplicate name "press-floor", first at Fleet.Workspaces[0]`,
	}, true},
	{"name with a slash", []edit{{`{"Name":"archive"`, `{"Name":"a/b"`}}, []string{`Fleet.Workspaces[3].Name: invalid name "a/b"`}, true},
	{"dangling owner", []edit{{`"Owner":"nullagine","Weight":20`, `"Owner":"nobody","Weight":20`}}, []string{
		`Fleet.Workspaces[2].Owner: unknown owner "nobody", known: magnolia, nullagine`,
	}, true},
	{"workspace without weight", []edit{{`"Owner":"nullagine","Weight":1`, `"Owner":"nullagine"`}}, []string{
		"Fleet.Workspaces[4].Weight: 0 is out of range, want more than 0",
	}, false},
	{"dangling zone", []edit{{`"Zone":"us-southeast-b"`, `"Zone":"us-southeast-d"`}}, []string{
		`Fleet.Instances[1].Zone: unknown zone "us-southeast-d"`,
	}, true},
	{"dangling model", []edit{{`"Models":["seal-order"]`, `"Models":["seal-ordr"]`}}, []string{
		`Fleet.Upstreams[4].Models[0]: unknown model "seal-ordr"`,
	}, true},
	{"call missing from the service", []edit{{`"Call":"retrieve"`, `"Call":"fetch"`}}, []string{
		`Fleet.Pipelines[0].Stages[1].Call: unknown call of service retriever "fetch", known: retrieve`,
	}, true},
	{"cycle", []edit{{`"Model":"seal-embed"}`, `"Model":"seal-embed","After":["generate"]}`}}, []string{
		`Fleet.Pipelines[0].Stages[0].After[0]: stage "generate" comes later in the pipeline`,
		"Fleet.Pipelines[0].Stages: cycle in After: encode after generate after rerank after retrieve after encode",
	}, true},
	{"stage after itself", []edit{{`"Model":"seal-embed"}`, `"Model":"seal-embed","After":["encode"]}`}}, []string{
		`stage "encode" comes after itself`,
	}, false},
	{"unknown stage", []edit{{`"Model":"seal-embed"}`, `"Model":"seal-embed","After":["decode"]}`}}, []string{`unknown stage "decode"`}, false},
	{"no capacity", []edit{{`"Capacity":32`, `"Capacity":0`}}, []string{"Fleet.Upstreams[2].Capacity: 0 is out of range"}, true},
	{"negative accelerators", []edit{{`"Accelerators":4`, `"Accelerators":-4`}}, []string{"Fleet.Upstreams[6].Accelerators: -4 is out of range"}, true},
	{"limits", []edit{{`"MaxQueued":10000`, `"MaxQueued":-1`}, {`"ConfigPoll":"2s"`, `"ConfigPoll":"2h"`}}, []string{
		"Fleet.Limits.MaxQueued: -1 is out of range", "Fleet.Limits.ConfigPoll: 2h0m0s is out of range",
	}, true},
	{"memory for clients", []edit{{`"MaxCallerMemory":2147483648,"MaxOperatorMemory":268435456`, `"MaxCallerMemory":4194304,"MaxOperatorMemory":-1`}}, []string{
		"Fleet.Limits.MaxOperatorMemory: -1 is out of range", "Fleet.Limits.MaxCallerMemory: 4194304 leaves no room for one request",
	}, true},
	{"peers", []edit{{`"MaxPeerConnections":4096`, `"MaxPeerConnections":1`}}, []string{"Fleet.Limits.MaxPeerConnections: 1 is out of range"}, true},
	{"times for clients", []edit{{`"HeaderTimeout":"10s","StallTimeout":"30s"`, `"HeaderTimeout":"0s","StallTimeout":"2h"`}}, []string{
		"Fleet.Limits.HeaderTimeout: 0s is out of range", "Fleet.Limits.StallTimeout: 2h0m0s is out of range",
	}, true},
	{"duration as a number", []edit{{`"HoldFor":"10m0s"`, `"HoldFor":600`}}, []string{`Fleet.Limits.HoldFor: a duration is text such as "250ms", got 600`}, true},
	{"renewal after the grant", []edit{{`"GrantFor":"1h30m0s","GrantRenew":"30s"`, `"GrantFor":"2m0s","GrantRenew":"90s"`}}, []string{
		"Fleet.Limits.GrantRenew: 1m30s leaves no renewal",
	}, false},
	{"floors above 1", []edit{{`"Floor":0.3`, `"Floor":0.9`}}, []string{"Fleet.Ranks: floors sum to 1.15, want at most 1"}, true},
	{"ranks out of order", []edit{{`"Deadline":"2s"`, `"Deadline":"8s"`}}, []string{"warning: Fleet.Ranks[1].Deadline: 6s is shorter"}, true},
	{"host name for an address", []edit{{`"Address":"127.0.0.1:21000"`, `"Address":"localhost:21000"`}}, []string{
		`Fleet.Upstreams[0].Address: address "localhost:21000" is not IP:port`,
	}, true},
	{"address twice", []edit{{`"Agent":"127.0.0.1:21101"`, `"Agent":"127.0.0.1:21100"`}}, []string{
		"Fleet.Upstreams[1].Agent: address 127.0.0.1:21100 is taken by Fleet.Upstreams[0].Agent",
	}, true},
	{"port 0", []edit{{`"Admin":"127.0.0.1:21250"`, `"Admin":"127.0.0.1:0"`}}, []string{"Fleet.Entries[0].Admin: address \"127.0.0.1:0\" has port 0"}, true},
	{"order before a stage that may fail", []edit{{`"Path":"/retrieve","Idempotent":true`, `"Path":"/retrieve"`}}, []string{
		`warning: Fleet.Pipelines[0].Stages[1].Call: "retrieve" is not idempotent and runs before a later stage`,
		"warning: Fleet.Pipelines[1].Stages[1].Call", "warning: Fleet.Pipelines[2].Stages[1].Call",
	}, false},
	{"unknown protocol", []edit{{`"Protocol":"jsonpost"`, `"Protocol":"jsonpots"`}}, []string{
		`Fleet.Services[0].Protocol: unknown upstream protocol "jsonpots", known: completions, jsonpost, plain`,
	}, true},
	{"unknown kind", []edit{{`"Kind":"retriever"`, `"Kind":"finder"`}}, []string{`Fleet.Services[1].Kind: unknown kind "finder"`}, true},
	{"deep nesting", []edit{{`"Fleet": {`, `"Notes": ` + strings.Repeat("[", 50) + strings.Repeat("]", 50) + `, "Fleet": {`}}, []string{
		"Notes: unknown key", "Notes: nested deeper than 32 levels",
	}, true},
	{"trailing comma", []edit{{`{"Name":"magnolia"},`, `{"Name":"magnolia",},`}}, []string{"not JSON: invalid character '}' looking for beginning of object key string (line 5, byte "}, false},
	{"second document", []edit{{"}\n}\n", "}\n} {}\n"}}, []string{"not JSON: invalid character '{' after top-level value"}, false},
	{"process", []edit{{`"Fleet": {`, `"Process": {"Listen":":80","Admin":"127.0.0.1:8800","PeerListen":"127.0.0.1:8800","Peers":["entry-1:90"],"Zone":"x","TLS":{"KeyFile":"k"},
	"Tokens":{"PeerTokenFile":"f","PeerTokenEnv":"E","Operators":[{"Name":"kim","TokenSHA256":"12"}]}}, "Fleet": {`}}, []string{
		`Process.Zone: unknown zone "x"`, `Process.Listen: address ":80" is not IP:port`, "Process.PeerListen: address 127.0.0.1:8800 is taken by Process.Admin",
		`Process.Peers[0]: address "entry-1:90" is not IP:port`, "Process.Tokens.Operators[0].TokenSHA256: not a SHA-256 digest",
		"Process.Tokens.PeerTokenEnv: set together with PeerTokenFile", "Process.TLS: CertFile and KeyFile",
	}, false},
	{"platform", []edit{{`"Fleet": {`, `"Platform": {"Table":{"Protocol":"dynamo"},"Objects":{"Protocol":"s3","Endpoint":"ftp://10.0.0.1"},
	"Liveness":{"Protocol":"httpsd","URL":"http://list.internal/sd"}}, "Fleet": {`}}, []string{
		`Platform.Table.Protocol: unknown protocol "dynamo", known: dynamodb, memory`, "Platform.Objects.Endpoint: not an http or https URL",
		`warning: Platform.Liveness.URL: "list.internal" is a host name`,
	}, true},
	{"open workspace beyond loopback", []edit{{`"Address":"127.0.0.1:21200"`, `"Address":"10.0.0.1:21200"`}, {`"Owner":"nullagine","Weight":1`, `"Owner":"nullagine","Weight":1,"TokenSHA256":"` + digest + `"`}}, []string{
		`warning: Fleet.Workspaces[0].TokenSHA256: missing, so only callers on loopback are served, but entry "entry-1" listens on 10.0.0.1:21200`,
		"Fleet.Workspaces[1].TokenSHA256", "Fleet.Workspaces[2].TokenSHA256", "Fleet.Workspaces[3].TokenSHA256",
		`warning: Fleet.Entries[0].Address: 10.0.0.1:21200 is not on the address 127.0.0.1 of instance "host-entry-1"`,
	}, false},
	{"agent on another address", []edit{{`"Agent":"127.0.0.1:21105"`, `"Agent":"127.0.0.9:21105"`}}, []string{"warning: Fleet.Upstreams[5].Agent: 127.0.0.9:21105 is not on the address"}, true},
	{"shared tokens", []edit{
		{`"Owner":"magnolia","Weight":30`, `"Owner":"magnolia","Weight":30,"TokenSHA256":"` + digest + `"`},
		{`"Owner":"magnolia","Weight":4}`, `"Owner":"magnolia","Weight":4,"TokenSHA256":"` + strings.ToUpper(digest) + `"}`},
		{`"Fleet": {`, `"Process": {"Tokens":{"Operators":[{"Name":"kim","TokenSHA256":"` + digest + `"},{"Name":"lee","TokenSHA256":"` + digest + `"}]}}, "Fleet": {`},
	}, []string{
		"Fleet.Workspaces[3].TokenSHA256: same token as Fleet.Workspaces[1]", "Process.Tokens.Operators[1].TokenSHA256: same token as Process.Tokens.Operators[0]",
	}, false},
}

const digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
