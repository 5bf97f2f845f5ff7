package callers

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// clk is the clock of the sockets and processes.
var clk = clockwork.NewRealClock()

const (
	// patience bounds waits. No check depends on how long one takes.
	patience = 90 * time.Second
	poll     = 20 * time.Millisecond
)

// Limits of the process under test, and the bounds of what is measured.
const (
	memoryMB    = 80
	descriptors = 400
	// fileDescriptors is how many of the descriptors are reserved for files.
	fileDescriptors = 200
)

// gateway is a process of the program under test, with a store and an upstream.
type gateway struct {
	t                     *testing.T
	callers, ready, peers string
	cmd                   *exec.Cmd
	ended                 chan struct{}
}

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "callers-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "citronstream")
	if out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/citronstream").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func address(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startGateway starts a gateway and waits until it is ready.
func startGateway(t *testing.T) *gateway {
	st, log := site.NewStore(clk), &site.Log{}
	st.ConfigureLimits(1, headerBytes, bodyBytes)
	up := site.NewUpstream(clk, log, "desk-0", "desk")
	up.Answer.Store(&answer)
	st.List(up, site.Ready)
	door := st.Open()
	t.Cleanup(func() {
		up.CloseClientConnections()
		up.Close()
		door.CloseClientConnections()
		door.Close()
	})
	ga, dir := &gateway{t: t}, t.TempDir()
	for range 20 { // another process may take an address between its choice and its use
		ga.callers, ga.ready, ga.peers = address(t), address(t), address(t)
		settings := fmt.Sprintf(`{"node-name":"gateway","ip":"127.0.0.1","zone":"z","listen":{"front":%q,"ready":%q,"control":%q},
			"heartbeat-interval-ms":500,"limits":{"cpu-share":1,"cpu-cores":1,"link-mbps":1000,"memory-mb":%d,"file-descriptors":%d},
			"bounds":{"drain-ms":2000,"grace-period-s":8,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-extra":200},
			"platform":{"address":%q}}`, ga.callers, ga.ready, ga.peers, memoryMB, descriptors, door.Address())
		path := filepath.Join(dir, "settings.json")
		require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
		if ga.start(path); ga.isReady() {
			return ga
		}
	}
	require.Fail(t, "the gateway does not start")
	return nil
}

func (ga *gateway) start(settings string) {
	log, err := os.Create(settings + ".log")
	require.NoError(ga.t, err)
	ga.cmd = exec.Command(binary, "gateway", "--settings", settings)
	ga.cmd.Stdout, ga.cmd.Stderr = log, log
	require.NoError(ga.t, ga.cmd.Start())
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	require.NoError(ga.t, unix.Prlimit(ga.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	cmd, ended := ga.cmd, make(chan struct{})
	ga.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	ga.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
		_ = log.Close()
	})
}

// isReady waits until the process is ready. False means that it has ended.
func (ga *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for began := clk.Now(); clk.Since(began) < patience; clk.Sleep(poll) {
		if !ga.lives() {
			return false
		}
		res, err := client.Get("http://" + ga.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (ga *gateway) lives() bool {
	select {
	case <-ga.ended:
		return false
	default:
		return true
	}
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

// sockets returns the number of open descriptors of the process that are sockets or pipes.
func (ga *gateway) sockets() (count int) {
	dir := fmt.Sprintf("/proc/%d/fd", ga.cmd.Process.Pid)
	list, err := os.ReadDir(dir)
	require.NoError(ga.t, err)
	for _, entry := range list {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			count++
		}
	}
	return count
}

// drained waits until the process has read what the clients have sent, so that it holds
// what it will hold, and gives up on what it does not read.
func (ga *gateway) drained() {
	_, text, err := net.SplitHostPort(ga.callers)
	require.NoError(ga.t, err)
	port, err := strconv.Atoi(text)
	require.NoError(ga.t, err)
	local := fmt.Sprintf("0100007F:%04X", port)
	for range int(patience / 4 / poll) {
		raw, err := os.ReadFile("/proc/net/tcp")
		require.NoError(ga.t, err)
		unread := false
		for line := range strings.Lines(string(raw)) {
			// sl, local address, remote address, state, tx_queue:rx_queue; state 01 is established
			if fields := strings.Fields(line); len(fields) > 4 && fields[1] == local && fields[3] == "01" && !strings.HasSuffix(fields[4], ":00000000") {
				unread = true
				break
			}
		}
		if !unread || !ga.lives() {
			return
		}
		clk.Sleep(poll)
	}
}

// answers sends ordinary requests until one is answered.
func (ga *gateway) answers() {
	ga.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(ga.t, func() bool {
		if !ga.lives() {
			return false
		}
		rq, err := http.NewRequest(http.MethodPost, "http://"+ga.callers+"/look/", strings.NewReader("ordinary"))
		if err != nil {
			return false
		}
		rq.Host, rq.Header = "h", site.CallerHeader("ordinary")
		res, err := client.Do(rq)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, patience, poll, "no ordinary request is answered")
}

// check checks the process while the clients are still connected.
func (ga *gateway) check() {
	ga.t.Helper()
	ga.drained()
	ga.answers()
	if assert.True(ga.t, ga.lives(), "the process has ended") {
		peak, open := ga.residentPeak(), ga.sockets()
		ga.t.Logf("resident peak %.1f MB, %d sockets", float64(peak)/1e6, open)
		assert.LessOrEqual(ga.t, peak, memoryMB*1_000_000, "resident memory in bytes")
		assert.LessOrEqual(ga.t, open, descriptors-fileDescriptors, "open sockets")
	}
}
