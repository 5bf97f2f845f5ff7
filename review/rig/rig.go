//go:build review

// Package rig plays a small deployment for the cases of the review: gateways as
// processes with the command of the deploy file, and stand-ins of the platform's store,
// of servers and of clients, all on loopback addresses.
package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/jonboulle/clockwork"
)

// Bounds of the deployment that is played, as on the sheet of magseal-cs.
const (
	Contact   = 3 * time.Second
	Drain     = 2 * time.Second
	Apply     = 2 * time.Second
	Grace     = 8 * time.Second
	Heartbeat = 1200 * time.Millisecond
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NoRun  = 2
)

// Rig is one play of a case.
type Rig struct {
	Store *site.Store
	began time.Time
	dir   string

	mu       sync.Mutex
	record   *os.File
	gateways []*Gateway
	servers  []*Server
	doors    []*site.Door
	stores   []*http.Server
	proxies  []*Proxy
	lastID   int
	net      int
	stop     chan struct{}
}

// Trouble reports whether the disruption is played.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Main runs a case with its record in the file that the first argument names, and exits.
func Main(play func(ri *Rig) int) {
	os.Exit(run(play))
}

func run(play func(ri *Rig) int) (code int) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		return NoRun
	}
	record, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NoRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "citronstream-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NoRun
	}
	ri := &Rig{Store: site.NewStore(clockwork.NewRealClock()), began: time.Now(), dir: dir, record: record, net: 1 + os.Getpid()%250, stop: make(chan struct{})}
	defer func() {
		if cause := recover(); cause != nil {
			ri.Note("the case could not run: %v", cause)
			code = NoRun
		}
		ri.close()
		fmt.Fprintln(record, "exit", code)
		fmt.Println("exit", code)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		ri.Note("ended by a signal")
		for _, ga := range ri.gateways {
			ga.Kill()
		}
		os.Exit(NoRun)
	}()
	ri.Note("trouble: %v", Trouble())
	return play(ri)
}

func (ri *Rig) close() {
	close(ri.stop)
	for _, ga := range ri.gateways {
		ga.Kill()
	}
	for _, sv := range ri.servers {
		sv.Crash()
	}
	for _, pr := range ri.proxies {
		pr.close()
	}
	for _, hs := range ri.stores {
		_ = hs.Close()
	}
	for _, do := range ri.doors {
		do.CloseClientConnections()
		do.Close()
	}
	_ = os.RemoveAll(ri.dir)
}

// Note writes a line to the record.
func (ri *Rig) Note(format string, args ...any) {
	ri.mu.Lock()
	defer ri.mu.Unlock()
	fmt.Fprintf(ri.record, "%8.3f "+format+"\n", append([]any{time.Since(ri.began).Seconds()}, args...)...)
}

// At returns a time as in the record.
func (ri *Rig) At(at time.Time) float64 { return at.Sub(ri.began).Seconds() }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Settings of a gateway that differ between cases.
type Settings struct {
	Zone  string
	Seeds []string
	// Store is the address of the store, that of a proxy or of a door.
	Store string
	// Descriptors is the limit of the process, as in its settings; 0 means that the
	// stand-in of the platform does not enforce it.
	Descriptors int
}

// Gateway is a process of the program under review.
type Gateway struct {
	ri   *Rig
	Name string
	IP   string
	// Front, Control and Ready are its addresses.
	Front, Control, Ready string
	path                  string
	descriptors           int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// Hurt is when it was started, stopped or killed last.
	Hurt time.Time
}

func free(ip string) string {
	ln, err := net.Listen("tcp", ip+":0")
	must(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// command returns the command of the deploy file.
func command() []string {
	raw, err := os.ReadFile("deploy/system.toml")
	must(err)
	found := runLine.FindSubmatch(raw)
	if found == nil {
		panic("deploy/system.toml has no command")
	}
	return strings.Fields(string(found[1]))
}

// answerTime is the time of an answer of the store, as on the sheet.
const answerTime = 4 * time.Millisecond

// OpenStore returns the address of a new door to the store.
func (ri *Rig) OpenStore() (string, *site.Door) {
	do := ri.Store.Open()
	ri.doors = append(ri.doors, do)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	hs := &http.Server{Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		time.Sleep(answerTime)
		do.ServeHTTP(wr, rq)
	})}
	go func() { _ = hs.Serve(ln) }()
	ri.stores = append(ri.stores, hs)
	return ln.Addr().String(), do
}

// NewGateway starts a gateway and waits until it listens.
func (ri *Rig) NewGateway(se Settings) *Gateway {
	number := len(ri.gateways)
	ip := fmt.Sprintf("127.90.%d.%d", ri.net, 10+number)
	ga := &Gateway{ri: ri, Name: fmt.Sprintf("front-%s-%d", se.Zone, number+1), IP: ip, Front: free(ip), Control: free(ip), Ready: free(ip), descriptors: se.Descriptors}
	seeds := append([]string{ga.Control}, se.Seeds...)
	settings := map[string]any{
		"node-name": ga.Name, "role": "gateway", "machine-class": "front", "serves": []string{"front", "control"}, "ip": ip,
		"zone": se.Zone, "region": "r", "zones": map[string]string{"z-a": "r", "z-b": "r", "z-c": "r"},
		"listen":              map[string]string{"front": ga.Front, "ready": ga.Ready, "control": ga.Control},
		"internal-port-range": []int{7740, 7755}, "seeds": seeds[:min(len(seeds), 3)], "first-start": true, "counts-toward-tolerance": true,
		"limits":         map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": 284, "file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-directory": nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat-interval-ms": Heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
		"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "acknowledge-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-period-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
			"revoke-everywhere": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-extra": 52,
			"recovery-s": 12, "pass-ms": 120, "reuse-window-s": 10,
		},
		"platform": map[string]any{
			"address": se.Store, "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "transaction-ms": 5.0,
			"part-writes-per-s": 200, "row-bytes": 65536, "across": false, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-per-s": 80.0,
		},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	ga.path = filepath.Join(ri.dir, ga.Name+".json")
	must(os.WriteFile(ga.path, raw, 0o600))
	ri.gateways = append(ri.gateways, ga)
	ga.Start()
	return ga
}

// Start starts the process and waits until it is ready.
func (ga *Gateway) Start() {
	words := command()
	out, err := os.OpenFile(filepath.Join(ga.ri.dir, ga.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	if ga.descriptors > 0 {
		words = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, ga.descriptors)}, words...)
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONSTREAM_CONFIG=" + ga.path}
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	must(out.Close())
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	ga.mu.Lock()
	ga.cmd, ga.ended, ga.Hurt = cmd, ended, time.Now()
	ga.mu.Unlock()
	ga.ri.Note("%s started", ga.Name)
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if res, err := client.Get("http://" + ga.Ready + "/readiness"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ga.ri.Note("%s ready", ga.Name)
				return
			}
		}
	}
	panic(ga.Name + " is not ready: " + ga.Log(2000))
}

// Log returns the end of the process's log.
func (ga *Gateway) Log(most int) string {
	raw, _ := os.ReadFile(filepath.Join(ga.ri.dir, ga.Name+".log"))
	return string(raw[max(0, len(raw)-most):])
}

// Restart sends SIGTERM, SIGKILL after the grace period, and starts the process again.
func (ga *Gateway) Restart() {
	ga.mu.Lock()
	cmd, ended := ga.cmd, ga.ended
	ga.Hurt = time.Now()
	ga.mu.Unlock()
	ga.ri.Note("%s gets SIGTERM", ga.Name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(Grace):
		ga.ri.Note("%s gets SIGKILL", ga.Name)
		_ = cmd.Process.Kill()
		<-ended
	}
	ga.Start()
}

// PID returns the number of the process.
func (ga *Gateway) PID() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.cmd.Process.Pid
}

// Kill ends the process.
func (ga *Gateway) Kill() {
	ga.mu.Lock()
	cmd, ended := ga.cmd, ga.ended
	ga.Hurt = time.Now()
	ga.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// Signal sends a signal.
func (ga *Gateway) Signal(sig syscall.Signal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.Hurt = time.Now()
	_ = ga.cmd.Process.Signal(sig)
}

// InTouch reports whether nothing has happened to the process for the time of contact.
func (ga *Gateway) InTouch() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return time.Since(ga.Hurt) >= Contact
}

// Answer is what a client has seen.
type Answer struct {
	ID     string
	Sent   time.Time
	Status int // 0 if the connection ended without an answer
	Header http.Header
	Body   string
	Err    error
}

// Call sends one request of a client over a new connection.
func (ri *Rig) Call(ga *Gateway, method, path, key, body string, deadline time.Duration, more ...string) Answer {
	ri.mu.Lock()
	ri.lastID++
	id := fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(ri.lastID))
	ri.mu.Unlock()
	return ri.CallAs(id, ga, method, path, key, body, deadline, more...)
}

// CallAs is Call with an identifier.
func (ri *Rig) CallAs(id string, ga *Gateway, method, path, key, body string, deadline time.Duration, more ...string) Answer {
	an := Answer{ID: id, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+ga.Front+path, strings.NewReader(body))
	must(err)
	rq.Host = "shop.example"
	rq.Header.Set("X-Citronstream-Request-Id", id)
	rq.Header.Set("X-Citronstream-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	rq.Header.Set("Authorization", "Token "+key)
	for i := 0; i+1 < len(more); i += 2 {
		rq.Header.Set(more[i], more[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(rq)
	if err != nil {
		an.Err = err
		return an
	}
	defer func() { _ = res.Body.Close() }()
	var text strings.Builder
	buffer := make([]byte, 4096)
	for {
		count, err := res.Body.Read(buffer)
		text.Write(buffer[:count])
		if err != nil {
			if err.Error() != "EOF" {
				an.Err = err
			}
			break
		}
	}
	an.Status, an.Header, an.Body = res.StatusCode, res.Header, text.String()
	return an
}

// Proxy passes connections on. Silence makes the open ones silent for good.
type Proxy struct {
	ln     net.Listener
	target string
	mu     sync.Mutex
	conns  []*pair
}

type pair struct {
	mu      sync.Mutex
	silent  bool
	a, b    net.Conn
	dropped int
}

// NewProxy returns a proxy to an address.
func (ri *Rig) NewProxy(target string) *Proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	pr := &Proxy{ln: ln, target: target}
	ri.proxies = append(ri.proxies, pr)
	go pr.accept()
	return pr
}

// Address returns the address to connect to.
func (pr *Proxy) Address() string { return pr.ln.Addr().String() }

func (pr *Proxy) accept() {
	for {
		a, err := pr.ln.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", pr.target)
		if err != nil {
			_ = a.Close()
			continue
		}
		pa := &pair{a: a, b: b}
		pr.mu.Lock()
		pr.conns = append(pr.conns, pa)
		pr.mu.Unlock()
		go pa.copy(a, b)
		go pa.copy(b, a)
	}
}

// copy passes bytes on, until the pair is silent: then it reads them and drops them, and
// neither side hears of the end of the other.
func (pa *pair) copy(from, to net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		pa.mu.Lock()
		silent := pa.silent
		if silent {
			pa.dropped += count
		}
		pa.mu.Unlock()
		if !silent && count > 0 {
			if _, werr := to.Write(buffer[:count]); werr != nil {
				err = errors.Join(err, werr)
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// Silence makes the open connections silent for good and returns how many there are.
func (pr *Proxy) Silence() int {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for _, pa := range pr.conns {
		pa.mu.Lock()
		pa.silent = true
		pa.mu.Unlock()
	}
	count := len(pr.conns)
	pr.conns = nil
	return count
}

func (pr *Proxy) close() { _ = pr.ln.Close() }
