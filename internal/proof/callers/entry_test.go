package callers

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/citronstream/citronstream/internal/process/standin"
	"github.com/stretchr/testify/require"
)

// The clients of the tests of an entry.
const (
	entryClients    = 100
	operatorClients = 24
	// entryConns is the limit on callers' connections in the settings, of which the test of
	// connections opens more.
	entryConns = 150
	// endlessLines are the lines of a head that exceeds its limit, 7 bytes each.
	endlessLines = 60_000
	// operatorBody is within the limit of 17 MiB.
	operatorBody = 12 << 20
	// workspaces are as many as at full size, so that the configuration has 150 KB.
	workspaces = 1700
)

// Bounds on an entry. It holds 30 MB resident without clients.
const (
	entryResident = 80_000_000
	entrySockets  = entryConns + 30
	// A configuration of an operator may have 16 MiB.
	operatorResident = 160_000_000
	// operatorSockets are the connections of operators, 256 by default, and its own.
	operatorSockets = 300
)

// entry is an entry with an agent, an upstream and a platform.
type entry struct {
	process
	listen, admin string
	agent         *process
}

// entryFleet returns a fleet of one entry and one upstream with lowered limits.
func entryFleet(t *testing.T) *citronstream.Fleet {
	fl := &citronstream.Fleet{
		Site: "trial", Owners: []citronstream.Owner{{Name: "owner"}},
		Regions: []citronstream.Region{{Name: "region", Zones: []citronstream.Zone{{Name: "z"}}}},
		Ranks:   []citronstream.Rank{{Name: "urgent", Deadline: citronstream.Duration(30 * time.Second), Worth: 1, Floor: 0.3}},
		Services: []citronstream.Service{{Name: "desk", Kind: citronstream.KindPlain, Protocol: "plain", Owner: "owner", Calls: []citronstream.ServiceCall{
			{Name: "look", Path: "/look", Idempotent: true, Rank: "urgent", Cost: 1},
		}}},
		Instances: []citronstream.Instance{{Name: "host-desk", Zone: "z", Address: "127.0.0.1"}, {Name: "host-entry", Zone: "z", Address: "127.0.0.1"}},
		Upstreams: []citronstream.Upstream{{Name: "desk-1", Service: "desk", Instance: "host-desk", Address: address(t), Agent: address(t), Capacity: 8}},
		Entries:   []citronstream.Entry{{Name: "entry-1", Instance: "host-entry", Address: address(t), Admin: address(t)}},
		Limits:    citronstream.DefaultLimits(),
	}
	fl.Limits.ConfigPoll = citronstream.Duration(100 * time.Millisecond)
	fl.Limits.MaxConnections = entryConns
	fl.Limits.MaxCallerMemory, fl.Limits.MaxOperatorMemory = 12<<20, 72<<20
	fl.Limits.MaxPeerConnections = agentConns
	for i := range workspaces {
		fl.Workspaces = append(fl.Workspaces, citronstream.Workspace{Name: fmt.Sprint("workspace-", i), Owner: "owner", Weight: 1})
	}
	return fl
}

// startEntry starts a platform with an upstream in this process, and an agent and an entry
// as processes, and waits until the entry serves.
func startEntry(t *testing.T) *entry {
	t.Setenv("AWS_ACCESS_KEY_ID", "trial")
	t.Setenv("AWS_SECRET_ACCESS_KEY", "trial")
	for range 20 { // another process may take an address between its choice and its use
		if en := tryEntry(t); en != nil {
			return en
		}
	}
	require.Fail(t, "the entry does not start")
	return nil
}

func tryEntry(t *testing.T) *entry {
	set := settings.New()
	set.Fleet = entryFleet(t)
	up, self := set.Fleet.Upstreams[0], set.Fleet.Entries[0]
	set.Platform = settings.Platform{
		Table:    settings.Table{Protocol: settings.ProtocolDynamoDB, Endpoint: "http://" + address(t), Region: "us-east-1", Name: "citronstream"},
		Objects:  settings.Objects{Protocol: settings.ProtocolS3, Endpoint: "http://" + address(t), Bucket: "citronstream"},
		Liveness: settings.Liveness{Protocol: settings.ProtocolHTTPSD, URL: "http://" + address(t) + "/instances"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	host, err := standin.New(clk, set)
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		host.Wait()
	})
	if host.Start(ctx) != nil {
		return nil
	}
	dir := t.TempDir()
	file := func(name string, pr settings.Process) string {
		path := filepath.Join(dir, name+".json")
		data, err := (&settings.Settings{Fleet: set.Fleet, Process: pr, Platform: set.Platform}).Encode()
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	agent := &process{t: t, callers: up.Agent}
	path := file(up.Name, settings.Process{Name: up.Name, Admin: address(t), PeerListen: up.Agent})
	agent.start(exec.Command(binary, "agent", "--settings", path), path+".log")
	en := &entry{process: process{t: t, callers: self.Address}, listen: self.Address, admin: self.Admin, agent: agent}
	path = file(self.Name, settings.Process{Name: self.Name, Zone: "z", Listen: self.Address, Admin: self.Admin})
	en.start(exec.Command(binary, "entry", "--settings", path), path+".log")
	if !en.until(func() bool { return en.status("http://"+en.admin+"/healthz") == http.StatusOK }) {
		return nil
	}
	if !en.until(func() bool { return exec.Command(binary, "apply", "--yes", "--settings", path).Run() == nil }) {
		return nil
	}
	if !en.until(func() bool {
		rq, err := en.call()
		return err == nil && en.statusOf(rq) == http.StatusOK
	}) {
		return nil
	}
	return en
}

// until waits for a condition. False means that the process has ended.
func (en *entry) until(reached func() bool) bool {
	for began := clk.Now(); clk.Since(began) < patience; clk.Sleep(poll) {
		if !en.lives() {
			return false
		}
		if reached() {
			return true
		}
	}
	return false
}

func (en *entry) status(url string) int {
	rq, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(en.t, err)
	return en.statusOf(rq)
}

// statusOf returns the status of a request's response, 0 without one.
func (en *entry) statusOf(rq *http.Request) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(rq)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// call returns an ordinary request of a caller.
func (en *entry) call() (*http.Request, error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+en.listen+"/v1/services/desk/look", strings.NewReader(`{"item":"gasket"}`))
	if err == nil {
		rq.Header.Set("X-Workspace", "workspace-1")
	}
	return rq, err
}

// ask returns an ordinary request of an operator.
func (en *entry) ask() (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+en.admin+"/v1/admin/status", nil)
}

// side is one of the addresses of an entry.
type side struct {
	name    string
	clients int
	body    int // length of a large body
	// small is a chunk of a body in small chunks.
	small string
	// path of a request with a body.
	path              string
	resident, sockets int
	// unread are the requests of clients that do not read the answers.
	unread        string
	unreadClients int
	// turn makes the clients connect to this address, and returns an ordinary request.
	turn func(en *entry) func() (*http.Request, error)
}

var sides = []side{
	{
		name: "callers", clients: entryClients, body: bodyBytes, small: "1\r\nx\r\n", path: "/v1/services/desk/look",
		resident: entryResident, sockets: entrySockets,
		unread: strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n", 4000), unreadClients: entryConns - 10,
		turn: func(en *entry) func() (*http.Request, error) { return en.call },
	},
	{
		name: "operators", clients: operatorClients, body: operatorBody, small: "10\r\nxxxxxxxxxxxxxxxx\r\n", path: "/v1/admin/config",
		resident: operatorResident, sockets: operatorSockets,
		unread: strings.Repeat("GET /v1/admin/config HTTP/1.1\r\nHost: h\r\n\r\n", 100), unreadClients: 40,
		turn: func(en *entry) func() (*http.Request, error) {
			en.callers = en.admin
			return en.ask
		},
	},
}

// head returns the start of a request with a body.
func (si side) head() string {
	return "POST " + si.path + " HTTP/1.1\r\nHost: h\r\nX-Workspace: workspace-1\r\nContent-Type: application/json\r\n"
}

// run starts an entry, runs clients at the address and checks the entry.
func (si side) run(t *testing.T, clients int, write func(send func(text string) bool)) {
	t.Run(si.name, func(t *testing.T) {
		en := startEntry(t)
		ordinary := si.turn(en)
		en.crowd(clients, func(_ int, send func(string) bool) { write(send) })
		en.checkProcess(ordinary, si.resident, si.sockets)
	})
}

// inParts sends a long text.
func inParts(send func(string) bool, text string) {
	for len(text) > 0 {
		part := text[:min(len(text), 64<<10)]
		if text = text[len(part):]; !send(part) {
			return
		}
	}
}

// Guards against a head without an end, of which each line is kept as it arrives.
func TestEntryEndlessHeads(t *testing.T) {
	var lines strings.Builder
	for i := range endlessLines {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	for _, si := range sides {
		si.run(t, operatorClients, func(send func(string) bool) { inParts(send, si.head()+lines.String()) })
	}
}

// Guards against trailers that are kept as they arrive.
func TestEntryEndlessTrailers(t *testing.T) {
	var lines strings.Builder
	for i := range endlessLines {
		_, _ = fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	for _, si := range sides {
		si.run(t, operatorClients, func(send func(string) bool) {
			inParts(send, si.head()+"Trailer: 0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+lines.String())
		})
	}
}

// Guards against bodies within their limit, which stop short of their end and stay, that
// together take more memory than the process has.
func TestEntryBodies(t *testing.T) {
	for _, si := range sides {
		text := si.head() + fmt.Sprintf("Content-Length: %d\r\n\r\n", si.body) + strings.Repeat("x", si.body-1)
		si.run(t, si.clients, func(send func(string) bool) { inParts(send, text) })
	}
}

// Guards against the same with bodies whose length is not told.
func TestEntryChunkedBodies(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	t.Run("large", func(t *testing.T) {
		for _, si := range sides {
			text := si.head() + chunked + strings.Repeat("10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n", si.body>>16-1)
			si.run(t, si.clients, func(send func(string) bool) { inParts(send, text) })
		}
	})
	t.Run("small", func(t *testing.T) {
		for _, si := range sides {
			text := si.head() + chunked + strings.Repeat(si.small, (si.body-1)/strings.Count(si.small, "x"))
			si.run(t, si.clients, func(send func(string) bool) { inParts(send, text) })
		}
	})
}

// Guards against answers that are kept for clients that do not read them.
func TestEntryUnreadAnswers(t *testing.T) {
	for _, si := range sides {
		si.run(t, si.unreadClients, func(send func(string) bool) { inParts(send, si.unread) })
	}
}

// Guards against connections without a request that keep out ordinary clients.
func TestEntryConnections(t *testing.T) {
	for _, si := range sides {
		si.run(t, 2*entryConns, func(func(string) bool) {})
	}
}
