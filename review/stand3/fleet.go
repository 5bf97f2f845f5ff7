//go:build review

package stand3

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in its settings.
const (
	Contact     = 3 * time.Second
	ConfigApply = 2 * time.Second
	Drain       = 2 * time.Second
	Grace       = 8 * time.Second
)

// Net gives out loopback addresses, one for each machine.
type Net struct {
	prefix string
	next   int
}

// NewNet returns addresses that no other run is likely to use.
func NewNet() *Net {
	return &Net{prefix: fmt.Sprintf("127.%d.%d.", 40+rand.IntN(160), 1+rand.IntN(250))}
}

// IP returns the address of a new machine.
func (ne *Net) IP() string {
	ne.next++
	return ne.prefix + strconv.Itoa(ne.next)
}

// Ports returns some free addresses of a machine, each with its own port.
func Ports(ip string, count int) (list []string, err error) {
	for range count {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		list = append(list, ln.Addr().String())
	}
	return list, nil
}

// Gateway is a process of the system.
type Gateway struct {
	Name, Zone, IP        string
	Front, Ready, Control string
	dir                   string
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// command returns the command of the role in the deploy file.
func command() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(text), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

// NewGateways writes the settings of some gateways and starts them. Edit may change the
// settings.
func NewGateways(ne *Net, dir, store string, zones []string, count int, edit func(settings map[string]any)) ([]*Gateway, error) {
	var list []*Gateway
	var seeds []string
	for i := range count {
		ga := &Gateway{Name: fmt.Sprintf("front-%d", i+1), Zone: zones[i%len(zones)], IP: ne.IP(), dir: dir}
		ports, err := Ports(ga.IP, 3)
		if err != nil {
			return nil, err
		}
		ga.Front, ga.Ready, ga.Control = ports[0], ports[1], ports[2]
		if len(seeds) < 3 {
			seeds = append(seeds, ga.Control)
		}
		list = append(list, ga)
	}
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "us-southeast"
	}
	for _, ga := range list {
		settings := map[string]any{
			"node-name": ga.Name, "role": "gateway", "machine-class": "front", "serves": []string{"front", "control"},
			"ip": ga.IP, "zone": ga.Zone, "region": "us-southeast", "zones": regions,
			"listen": map[string]string{"front": ga.Front, "ready": ga.Ready, "control": ga.Control},
			"seeds":  seeds, "first-start": true, "counts-toward-tolerance": false,
			"limits":         map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": 284, "file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-directory": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat-interval-ms": Heartbeat.Milliseconds(),
			"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "acknowledge-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
				"grace-period-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
				"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-extra": 52, "recovery-s": 12, "pass-ms": 120, "reuse-window-s": 10,
				"cold-overage": 1.5, "cold-slack": 5, "evacuation-ms": 5000,
			},
			"platform": map[string]any{"address": store, "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "transaction-ms": 5.0, "part-writes-per-s": 200, "row-bytes": 65536, "across": false, "history-s": 20},
		}
		if edit != nil {
			edit(settings)
		}
		raw, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(ga.file(".json"), raw, 0o600); err != nil {
			return nil, err
		}
		if err := ga.Start(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (ga *Gateway) file(suffix string) string { return filepath.Join(ga.dir, ga.Name+suffix) }

// Start starts the process.
func (ga *Gateway) Start() error {
	words, err := command()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(ga.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"CITRONSTREAM_CONFIG=" + ga.file(".json"), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.cmd, ga.ended = cmd, ended
	return nil
}

// Signal sends a signal to the process.
func (ga *Gateway) Signal(sig syscall.Signal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	_ = ga.cmd.Process.Signal(sig)
}

// Pid returns the id of the process.
func (ga *Gateway) Pid() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.cmd.Process.Pid
}

// Ended returns a channel that is closed when the process has ended.
func (ga *Gateway) Ended() <-chan struct{} {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.ended
}

// Kill ends the process and waits for its end.
func (ga *Gateway) Kill() {
	ga.Signal(syscall.SIGKILL)
	<-ga.Ended()
}

// IsReady asks the process whether it is ready.
func (ga *Gateway) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + ga.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// AwaitReady waits until all processes are ready.
func AwaitReady(list []*Gateway, most time.Duration) error {
	var missing []string
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		missing = nil
		for _, ga := range list {
			if !ga.IsReady() {
				missing = append(missing, ga.Name)
			}
		}
		if len(missing) == 0 {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v: %v", most, missing)
}

// Try is one request of a client, with its answer.
type Try struct {
	ID, Gateway, Key, Method, Path string
	Sent                           time.Time
	Took                           time.Duration
	Status                         int // 0 if there was no whole answer
	Signed                         bool
	Body                           string
}

// Client sends requests, each on a new connection.
type Client struct {
	Host string
	next int64
	mu   sync.Mutex
	done []Try
	wait sync.WaitGroup
}

// All returns the requests that have ended.
func (cl *Client) All() []Try {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return append([]Try{}, cl.done...)
}

// Wait waits for the answers to all requests.
func (cl *Client) Wait() { cl.wait.Wait() }

// Go sends a request without waiting for its answer, and returns its id. More are names and
// values of headers.
func (cl *Client) Go(ga *Gateway, key, method, path, body string, deadline time.Duration, more ...string) (id string) {
	cl.mu.Lock()
	cl.next++
	id = fmt.Sprintf("%016x", cl.next)
	cl.mu.Unlock()
	cl.wait.Go(func() {
		tr := cl.Do(id, ga, key, method, path, body, deadline, more...)
		cl.mu.Lock()
		cl.done = append(cl.done, tr)
		cl.mu.Unlock()
	})
	return id
}

// Do sends a request and waits for its answer.
func (cl *Client) Do(id string, ga *Gateway, key, method, path, body string, deadline time.Duration, more ...string) Try {
	tr := Try{ID: id, Gateway: ga.Name, Key: key, Method: method, Path: path, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ga.Front+path, strings.NewReader(body))
	if err != nil {
		return tr
	}
	rq.Host = cl.Host
	rq.Header.Set("X-Citronstream-Request-Id", id)
	rq.Header.Set("X-Citronstream-Deadline-Remaining", strconv.FormatInt(deadline.Milliseconds(), 10))
	rq.Header.Set("Authorization", "Token "+key)
	rq.Header.Set("Accept-Encoding", "identity")
	for i := 0; i+1 < len(more); i += 2 {
		rq.Header.Set(more[i], more[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(rq)
	tr.Took = time.Since(tr.Sent)
	if err != nil {
		return tr
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	tr.Took = time.Since(tr.Sent)
	if err != nil {
		return tr
	}
	tr.Status, tr.Body, tr.Signed = res.StatusCode, string(raw), res.Header.Get("X-Citronstream-Response-Signature") != ""
	return tr
}

// Record writes lines with the time since its begin.
type Record struct {
	began time.Time
	mu    sync.Mutex
	out   *os.File
}

// NewRecord creates a record.
func NewRecord(path string) (*Record, error) {
	out, err := os.Create(path)
	return &Record{began: time.Now(), out: out}, err
}

// At returns a time as seconds since the begin.
func (re *Record) At(at time.Time) string { return fmt.Sprintf("%7.3f", at.Sub(re.began).Seconds()) }

// Say writes a line to the record and to the standard output.
func (re *Record) Say(format string, args ...any) {
	fmt.Printf("%s %s\n", re.At(time.Now()), fmt.Sprintf(format, args...))
	re.Line(time.Now(), format, args...)
}

// Line writes a line to the record.
func (re *Record) Line(at time.Time, format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.out, "%s %s\n", re.At(at), fmt.Sprintf(format, args...))
}

// Close ends the record.
func (re *Record) Close() { _ = re.out.Close() }

// Trouble reports whether the run has its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Codes of a run's end.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)
