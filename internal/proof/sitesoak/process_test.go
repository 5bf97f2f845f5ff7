package sitesoak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grace is the time from SIGTERM to SIGKILL, as the settings say.
const grace = 8 * time.Second

// Memory and descriptors of a gateway, those of the smallest instances.
const (
	memoryMB    = 144
	descriptors = 3075
)

// gateway is a process of the program under test, started anew when it ends.
type gateway struct {
	t       *testing.T
	binary  string
	dir     string
	name    string
	callers string
	ready   string
	peers   string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan error // the end of cmd
	// hurt is when the process last was killed or paused, or ended: requests that
	// it had then may have no answer.
	hurt time.Time
	busy bool // a fault is under way
}

func address(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func newGateway(t *testing.T, binary, dir, name, store string, seed string) *gateway {
	ga := &gateway{t: t, binary: binary, dir: dir, name: name}
	// Another process may take an address between its choice and its use.
	for range 20 {
		ga.callers, ga.ready, ga.peers = address(t), address(t), address(t)
		if seed == "" {
			seed = ga.peers
		}
		settings := fmt.Sprintf(`{"node-name":%q,"ip":"127.0.0.1","zone":"z","listen":{"front":%q,"ready":%q,"control":%q},"seeds":[%q],
			"heartbeat-interval-ms":500,"limits":{"cpu-share":1,"cpu-cores":1,"link-mbps":1000,"memory-mb":%d,"file-descriptors":%d},
			"bounds":{"drain-ms":2000,"grace-period-s":8,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-extra":200},
			"platform":{"address":%q}}`, name, ga.callers, ga.ready, ga.peers, seed, memoryMB, descriptors, store)
		require.NoError(t, os.WriteFile(ga.settings(), []byte(settings), 0o600))
		if ga.start(); ga.settles() {
			return ga
		}
	}
	require.Fail(t, name+" does not start")
	return nil
}

func (ga *gateway) settings() string { return filepath.Join(ga.dir, ga.name+".json") }

func (ga *gateway) start() {
	out, err := os.OpenFile(filepath.Join(ga.dir, ga.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(ga.t, err)
	cmd := exec.Command(ga.binary, "gateway", "--settings", ga.settings())
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(ga.t, cmd.Start())
	require.NoError(ga.t, out.Close())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	ga.mu.Lock()
	ga.cmd, ga.ended = cmd, ended
	ga.mu.Unlock()
}

// settled reports whether the process listens.
func (ga *gateway) settled() bool {
	nc, err := net.Dial("tcp", ga.ready)
	if err != nil {
		return false
	}
	_ = nc.Close()
	return true
}

// settles waits until the process listens. False means that it has ended.
func (ga *gateway) settles() bool {
	for began := clk.Now(); clk.Since(began) < grace; {
		select {
		case <-ga.ended:
			return false
		case <-clk.After(5 * time.Millisecond):
		}
		if ga.settled() {
			return true
		}
	}
	return false
}

// restart starts the process and waits until it listens. A signal before its
// runtime has begun would end it, whatever the program does. A connection of
// another process may have one of its addresses for a while.
func (ga *gateway) restart() {
	for range 20 {
		if ga.start(); ga.settles() {
			break
		}
	}
	ga.give()
}

// residentPeak returns the largest resident memory that the process has had, in bytes.
func (ga *gateway) residentPeak() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ga.cmd.Process.Pid))
	require.NoError(ga.t, err)
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			require.NoError(ga.t, err)
			return kilobytes << 10
		}
	}
	require.Fail(ga.t, "no VmHWM")
	return 0
}

func (ga *gateway) signal(sig syscall.Signal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGSTOP || sig == syscall.SIGCONT {
		ga.hurt = clk.Now()
	}
	_ = ga.cmd.Process.Signal(sig) // the process may have ended
}

// hurtSince reports whether the process was killed or paused after a moment.
func (ga *gateway) hurtSince(at time.Time) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.hurt.After(at)
}

// wait waits for the end of the process, at most until the grace period is over.
func (ga *gateway) wait() (graceful bool) {
	select {
	case err := <-ga.ended:
		return err == nil
	case <-clk.After(grace):
		ga.signal(syscall.SIGKILL)
		<-ga.ended
		return false
	}
}

// take reserves the process for a fault. Give ends that.
func (ga *gateway) take() bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.busy {
		return false
	}
	ga.busy = true
	return true
}

func (ga *gateway) give() {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.busy = false
}
