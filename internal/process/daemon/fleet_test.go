package daemon

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// clk is the real clock, as separate processes can't share a fake one.
var clk = clockwork.NewRealClock()

const (
	// waitTimeout bounds each wait for a state; no result depends on its length.
	waitTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

// fleet is a small fleet of separate processes.
type fleet struct {
	t       *testing.T
	binary  string
	dir     string
	set     settings.Settings
	running map[string]*exec.Cmd
	logs    map[string]*bytes.Buffer
	exited  map[string]chan error
	admins  map[string]string // operators' addresses of the agents
	// secured enables tokens and certificates.
	secured bool
	client  *http.Client
	tls     settings.TLS
}

// The tokens of a secured fleet.
const (
	operatorToken = "trial-operator"
	peerToken     = "trial-peers"
)

// freeAddresses returns loopback addresses with ports below the system's ephemeral
// range, so that no outgoing connection takes a port before its process binds it.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	var list []string
	for tries := 0; len(list) < count; tries++ {
		require.Less(t, tries, 1000, "no free ports")
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		defer ln.Close() // all are held until the list is complete
		list = append(list, ln.Addr().String())
	}
	return list
}

func newFleet(t *testing.T, secured bool) *fleet {
	t.Helper()
	fl := &fleet{
		t: t, dir: t.TempDir(), secured: secured, client: &http.Client{Transport: &http.Transport{}}, running: map[string]*exec.Cmd{}, logs: map[string]*bytes.Buffer{}, exited: map[string]chan error{},
	}
	if secured {
		fl.tls.CertFile, fl.tls.KeyFile = certificate(t, "fleet")
		fl.client.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: certPool(t, fl.tls.CertFile), MinVersion: tls.VersionTLS12}}
	}
	fl.binary = filepath.Join(fl.dir, "citronstream")
	out, err := exec.Command("go", append(append([]string{"build"}, buildFlags...), "-o", fl.binary, "../../../cmd/citronstream")...).CombinedOutput()
	require.NoError(t, err, string(out))
	upstreams := []struct{ name, service string }{
		{"encoder-1", "encoder"}, {"writer-1", "writer"}, {"writer-2", "writer"}, {"desk-1", "order-desk"}, {"desk-2", "order-desk"},
	}
	free := freeAddresses(t, 3+2*2+3*len(upstreams))
	take := func() string {
		address := free[0]
		free = free[1:]
		return address
	}
	fl.set = *settings.New()
	fl.set.Platform = settings.Platform{
		Table:    settings.Table{Protocol: settings.ProtocolDynamoDB, Endpoint: "http://" + take(), Region: "us-east-1", Name: "citronstream"},
		Objects:  settings.Objects{Protocol: settings.ProtocolS3, Endpoint: "http://" + take(), Bucket: "citronstream"},
		Liveness: settings.Liveness{Protocol: settings.ProtocolHTTPSD, URL: "http://" + take() + "/instances"},
	}
	config := smallFleet()
	fl.admins = map[string]string{}
	for _, up := range upstreams {
		config.Instances = append(config.Instances, citronstream.Instance{Name: "host-" + up.name, Zone: "zone-a", Address: "127.0.0.1"})
		config.Upstreams = append(config.Upstreams, citronstream.Upstream{
			Name: up.name, Service: up.service, Instance: "host-" + up.name, Address: take(), Agent: take(), Capacity: 8,
		})
		fl.admins[up.name] = take()
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		config.Instances = append(config.Instances, citronstream.Instance{Name: "host-" + name, Zone: "zone-a", Address: "127.0.0.1"})
		config.Entries = append(config.Entries, citronstream.Entry{Name: name, Instance: "host-" + name, Address: take(), Admin: take()})
	}
	fl.set.Fleet = config
	fl.write("fleet", fl.set)
	for _, en := range config.Entries {
		fl.writeProcess(settings.Process{Name: en.Name, Zone: "zone-a", Listen: en.Address, Admin: en.Admin})
	}
	for _, up := range config.Upstreams {
		fl.writeProcess(settings.Process{Name: up.Name, Admin: fl.admins[up.Name], PeerListen: up.Agent})
	}
	t.Cleanup(fl.cleanup)
	return fl
}

func smallFleet() *citronstream.Fleet {
	fl := &citronstream.Fleet{
		Site: "trial", Owners: []citronstream.Owner{{Name: "magnolia"}, {Name: "nullagine"}},
		Regions:    []citronstream.Region{{Name: "region", Zones: []citronstream.Zone{{Name: "zone-a"}}}},
		Ranks:      []citronstream.Rank{{Name: "urgent", Deadline: citronstream.Duration(30 * time.Second), Worth: 2, Floor: 0.3}, {Name: "standard", Deadline: citronstream.Duration(time.Minute), Worth: 1, Floor: 0.2}},
		Workspaces: []citronstream.Workspace{{Name: "press-floor", Owner: "magnolia", Weight: 1}},
		Services: []citronstream.Service{
			{Name: "encoder", Kind: citronstream.KindEncoder, Protocol: "jsonpost", Owner: "magnolia", Calls: []citronstream.ServiceCall{{Name: "encode", Path: "/encode", Idempotent: true, Cost: 1}}},
			{Name: "writer", Kind: citronstream.KindEngine, Protocol: "completions", Owner: "magnolia", Calls: []citronstream.ServiceCall{{Name: "generate", Path: "/v1/completions", Idempotent: true, Cost: 20, Streams: true}}},
			{Name: "order-desk", Kind: citronstream.KindPlain, Protocol: "plain", Owner: "magnolia", Calls: []citronstream.ServiceCall{{Name: "place-order", Path: "/place-order", Rank: "urgent", Cost: 2}}},
		},
		Pipelines: []citronstream.Pipeline{{Name: "answer", Rank: "standard", Stages: []citronstream.Stage{{Name: "encode", Service: "encoder", Call: "encode"}, {Name: "generate", Service: "writer", Call: "generate"}}}},
		Limits:    citronstream.DefaultLimits(),
	}
	fl.Limits.ConfigPoll = citronstream.Duration(100 * time.Millisecond)
	fl.Limits.CostFlush = citronstream.Duration(time.Second)
	fl.Limits.GrantRenew = citronstream.Duration(time.Second)
	return fl
}

func (fl *fleet) file(name string) string { return filepath.Join(fl.dir, name+".json") }

func (fl *fleet) write(name string, set settings.Settings) {
	data, err := set.Encode()
	require.NoError(fl.t, err)
	require.NoError(fl.t, os.WriteFile(fl.file(name), data, 0o600))
}

func (fl *fleet) writeProcess(pr settings.Process) {
	if fl.secured {
		sum := sha256.Sum256([]byte(operatorToken))
		pr.TLS = fl.tls
		pr.Tokens = settings.Tokens{PeerTokenEnv: "TRIAL_PEERS", Operators: []settings.Operator{{Name: "ann", TokenSHA256: hex.EncodeToString(sum[:])}}}
	}
	fl.write(pr.Name, settings.Settings{Process: pr, Platform: fl.set.Platform})
}

func (fl *fleet) command(args ...string) *exec.Cmd {
	cmd := exec.Command(fl.binary, args...)
	cmd.Env = append(os.Environ(), "AWS_ACCESS_KEY_ID=trial", "AWS_SECRET_ACCESS_KEY=trial", "TRIAL_PEERS="+peerToken)
	if fl.secured {
		cmd.Env = append(cmd.Env, "CITRONSTREAM_TOKEN="+operatorToken)
	}
	return cmd
}

// start starts a process. Its log is printed if the test fails.
func (fl *fleet) start(name, command string) {
	cmd := fl.command(command, "--settings", fl.file(name))
	log := &bytes.Buffer{}
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	require.NoError(fl.t, err)
	require.NoError(fl.t, cmd.Start())
	if command == "standin" {
		line, err := bufio.NewReader(out).ReadString('\n')
		require.NoError(fl.t, err, "standin: %s", log)
		require.Contains(fl.t, line, "ready")
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	fl.running[name], fl.logs[name], fl.exited[name] = cmd, log, exited
}

func (fl *fleet) signal(name string, sig syscall.Signal) {
	require.NoError(fl.t, fl.running[name].Process.Signal(sig))
}

// waitExit waits until a process exits and returns its exit error.
func (fl *fleet) waitExit(name string) error {
	select {
	case err := <-fl.exited[name]:
		delete(fl.running, name)
		return err
	case <-clk.After(waitTimeout):
		require.Fail(fl.t, "process did not exit", name)
		return nil
	}
}

func (fl *fleet) cleanup() {
	for name, cmd := range fl.running {
		_ = cmd.Process.Kill()
		<-fl.exited[name]
	}
	if fl.t.Failed() {
		for name, log := range fl.logs {
			fl.t.Logf("%s:\n%s", name, log)
		}
	}
}

// run runs an operator's command, which must succeed.
func (fl *fleet) run(args ...string) string {
	out, err := fl.tryRun(args...)
	require.NoError(fl.t, err, out)
	return out
}

func (fl *fleet) tryRun(args ...string) (string, error) {
	if fl.secured {
		args = append(args, "--ca="+fl.tls.CertFile)
	}
	out, err := fl.command(args...).CombinedOutput()
	return string(out), err
}

// waitFor polls until a condition holds.
func (fl *fleet) waitFor(what string, reached func() bool) {
	fl.t.Helper()
	limit := clk.After(waitTimeout)
	for !reached() {
		select {
		case <-limit:
			require.Fail(fl.t, "not reached", what)
		case <-clk.After(pollInterval):
		}
	}
}

func (fl *fleet) scheme() string {
	if fl.secured {
		return "https://"
	}
	return "http://"
}

// post sends a caller's request.
func (fl *fleet) post(entry int, path, key, body string) (*http.Response, error) {
	ctx, cancel := context.WithCancel(context.Background())
	fl.t.Cleanup(cancel)
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, fl.scheme()+fl.set.Fleet.Entries[entry].Address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	rq.Header.Set("X-Workspace", "press-floor")
	if key != "" {
		rq.Header.Set("Idempotency-Key", key)
	}
	return fl.client.Do(rq)
}

// status returns the HTTP status and the body of an operators' address.
func (fl *fleet) status(address, path string) (int, string) {
	rq, err := http.NewRequest(http.MethodGet, fl.scheme()+address+path, nil)
	require.NoError(fl.t, err)
	if fl.secured {
		rq.Header.Set("Authorization", "Bearer "+operatorToken)
	}
	rs, err := fl.client.Do(rq)
	if err != nil {
		return 0, err.Error()
	}
	defer rs.Body.Close()
	body, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, string(body)
}
