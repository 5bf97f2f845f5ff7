//go:build review

// Package stand2 has what the cases 6 to 10 share: gateways as processes, the store, and
// stand-ins of servers that follow the users' pages.
package stand2

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/jonboulle/clockwork"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Record is the file with what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord opens the record of a case.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

// Log writes a line with the time since the start.
func (re *Record) Log(format string, values ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.file, "%8.3f %s\n", time.Since(re.began).Seconds(), fmt.Sprintf(format, values...))
}

// Fleet is a site with its gateways.
type Fleet struct {
	Record   *Record
	Store    *site.Store
	Door     *site.Door
	Gateways []*Gateway
	dir      string
}

// Gateway is a process of the program under test.
type Gateway struct {
	Name, Zone, IP        string
	Front, Ready, Control string
	settings              string
	dir                   string
	record                *Record
	mu                    sync.Mutex
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

// Options are the settings of a fleet that differ between cases.
type Options struct {
	MemoryMB int
	Zones    []string // one gateway each
	// DoorOf returns the address of the store for a gateway; nil for that of Door.
	DoorOf func(number int) string
}

// NewFleet starts the store and the gateways. The configuration is written first, as the
// operator does.
func NewFleet(record *Record, config string, op Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fl := &Fleet{Record: record, dir: dir, Store: site.NewStore(clockwork.NewRealClock())}
	fl.Door = fl.Store.Open()
	fl.Store.Put("op", "config", config)
	var seeds []string
	for i, zone := range op.Zones {
		ip, err := freeIP()
		if err != nil {
			return nil, err
		}
		ga := &Gateway{Name: fmt.Sprintf("front-%s-%d", zone, i), Zone: zone, IP: ip, Front: ip + ":8625", Ready: ip + ":8621", Control: ip + ":8628", dir: dir, record: record}
		fl.Gateways, seeds = append(fl.Gateways, ga), append(seeds, ga.Control)
	}
	zones := map[string]string{}
	for _, zone := range op.Zones {
		zones[zone] = "r"
	}
	for i, ga := range fl.Gateways {
		door := fl.Door.Address()
		if op.DoorOf != nil {
			door = op.DoorOf(i)
		}
		memory := op.MemoryMB
		if memory == 0 {
			memory = 284
		}
		settings := map[string]any{
			"node-name": ga.Name, "role": "gateway", "machine-class": "front", "serves": []string{"front", "control"},
			"ip": ga.IP, "zone": ga.Zone, "region": "r", "zones": zones,
			"listen":              map[string]string{"front": ga.Front, "ready": ga.Ready, "control": ga.Control},
			"internal-port-range": []int{7740, 7755}, "seeds": seeds[:min(3, len(seeds))], "first-start": true,
			"counts-toward-tolerance": false,
			"limits":                  map[string]any{"cpu-share": 0.304, "cpu-cores": 1, "memory-mb": memory, "file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0},
			"data-directory":          nil, "discovery": "platform", "entry": "virtual_ip", "heartbeat-interval-ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "stages"},
			"fault-tolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
			"bounds": map[string]any{
				"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "acknowledge-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-period-s": 8,
				"loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "revoke-everywhere": false, "revoke-ms": 5000,
				"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-extra": 52, "recovery-s": 12, "pass-ms": 120, "reuse-window-s": 10,
			},
			"platform": map[string]any{
				"address": door, "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "transaction-ms": 5.0, "part-writes-per-s": 200,
				"row-bytes": 65536, "across": false, "history-s": 20, "blob-bytes": 8388608, "blob-ms": 25.0, "blob-mb-per-s": 80.0,
			},
		}
		raw, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return nil, err
		}
		ga.settings = filepath.Join(dir, ga.Name+".json")
		if err := os.WriteFile(ga.settings, raw, 0o600); err != nil {
			return nil, err
		}
	}
	for _, ga := range fl.Gateways {
		if err := ga.Start(); err != nil {
			return fl, err
		}
	}
	return fl, nil
}

// Close ends all processes.
func (fl *Fleet) Close() {
	for _, ga := range fl.Gateways {
		ga.Signal(syscall.SIGKILL)
		ga.Wait(5 * time.Second)
	}
	fl.Door.CloseClientConnections()
	fl.Door.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.dir)
	} else {
		fmt.Println("kept", fl.dir)
	}
}

// freeIP returns a loopback address at which the ports of a gateway are free.
func freeIP() (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
		free := true
		for _, port := range []string{"8625", "8621", "8628", "9464"} {
			ln, err := net.Listen("tcp", ip+":"+port)
			if err != nil {
				free = false
				break
			}
			_ = ln.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

// command returns the words of the run command in the deploy file.
func command() ([]string, error) {
	raw, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml names no command")
}

// Start starts the process with the command of the deploy file.
func (ga *Gateway) Start() error {
	words, err := command()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(ga.dir, ga.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CITRONSTREAM_CONFIG=" + ga.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	ga.mu.Lock()
	ga.cmd, ga.ended = cmd, ended
	ga.mu.Unlock()
	go func() {
		err := cmd.Wait()
		ga.record.Log("process %s pid %d ended: %v", ga.Name, cmd.Process.Pid, err)
		close(ended)
	}()
	ga.record.Log("process %s pid %d started at %s", ga.Name, cmd.Process.Pid, ga.Front)
	return nil
}

// Pid returns the process id.
func (ga *Gateway) Pid() int {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (ga *Gateway) Signal(sig syscall.Signal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.cmd == nil {
		return
	}
	if sig != syscall.SIGKILL {
		ga.record.Log("process %s gets %v", ga.Name, sig)
	}
	_ = ga.cmd.Process.Signal(sig)
}

// Wait waits for the end of the process, and reports whether it came.
func (ga *Gateway) Wait(most time.Duration) bool {
	ga.mu.Lock()
	ended := ga.ended
	ga.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(most):
		return false
	}
}

// WaitReady waits until all gateways say that they are ready.
func (fl *Fleet) WaitReady(most time.Duration) error {
	cl := &http.Client{Timeout: time.Second}
	defer cl.CloseIdleConnections()
	for began := time.Now(); time.Since(began) < most; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, ga := range fl.Gateways {
			if res, err := cl.Get("http://" + ga.Ready + "/readiness"); err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(fl.Gateways) {
			fl.Record.Log("all gateways ready")
			return nil
		}
	}
	return fmt.Errorf("the gateways are not ready")
}
