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

// process is a process of the program under test.
type process struct {
	t *testing.T
	// callers is the address that the clients connect to.
	callers string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// gateway is a gateway with a store and an upstream.
type gateway struct {
	process
	ready, peers string
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

// startGateway starts a gateway with a sound upstream and waits until it is ready.
func startGateway(t *testing.T) *gateway {
	up := site.NewUpstream(clk, &site.Log{}, "desk-0", "desk")
	up.Answer.Store(&answer)
	return startGatewayWith(t, bodyBytes, up)
}

// startGatewayWith starts a gateway with a limit on bodies and these upstreams, which end with
// the test.
func startGatewayWith(t *testing.T, maxBody int, ups ...*site.Upstream) *gateway {
	st := site.NewStore(clk)
	st.ConfigureLimits(1, headerBytes, maxBody)
	for _, up := range ups {
		st.List(up, site.Ready)
	}
	door := st.Open()
	t.Cleanup(func() {
		for _, up := range ups {
			up.CloseClientConnections()
			up.Close()
		}
		door.CloseClientConnections()
		door.Close()
	})
	ga, dir := &gateway{process: process{t: t}}, t.TempDir()
	for range 20 { // another process may take an address between its choice and its use
		ga.callers, ga.ready, ga.peers = address(t), address(t), address(t)
		settings := fmt.Sprintf(`{"node-name":"gateway","ip":"127.0.0.1","zone":"z","listen":{"front":%q,"ready":%q,"control":%q},
			"heartbeat-interval-ms":500,"limits":{"cpu-share":1,"cpu-cores":1,"link-mbps":1000,"memory-mb":%d,"file-descriptors":%d},
			"bounds":{"drain-ms":2000,"grace-period-s":8,"retry-budget-ratio":0.2,"budget-window-s":10,"retry-budget-extra":200},
			"platform":{"address":%q}}`, ga.callers, ga.ready, ga.peers, memoryMB, descriptors, door.Address())
		path := filepath.Join(dir, "settings.json")
		require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
		if ga.start(exec.Command(binary, "gateway", "--settings", path), path+".log"); ga.isReady() {
			return ga
		}
	}
	require.Fail(t, "the gateway does not start")
	return nil
}

// start starts a command, whose log goes to a file. The process is ended with the test.
func (pr *process) start(cmd *exec.Cmd, logFile string) {
	log, err := os.Create(logFile)
	require.NoError(pr.t, err)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(pr.t, cmd.Start())
	limit := unix.Rlimit{Cur: descriptors, Max: descriptors}
	require.NoError(pr.t, unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	ended := make(chan struct{})
	pr.cmd, pr.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	pr.t.Cleanup(func() {
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

func (pr *process) lives() bool {
	select {
	case <-pr.ended:
		return false
	default:
		return true
	}
}

// residentPeak returns the largest resident memory that the process has had, in bytes.
func (pr *process) residentPeak() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pr.cmd.Process.Pid))
	require.NoError(pr.t, err)
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			require.NoError(pr.t, err)
			return kilobytes << 10
		}
	}
	require.Fail(pr.t, "no VmHWM")
	return 0
}

// sockets returns the number of open descriptors of the process that are sockets or pipes.
func (pr *process) sockets() (count int) {
	dir := fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid)
	list, err := os.ReadDir(dir)
	require.NoError(pr.t, err)
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
func (pr *process) drained() {
	_, text, err := net.SplitHostPort(pr.callers)
	require.NoError(pr.t, err)
	port, err := strconv.Atoi(text)
	require.NoError(pr.t, err)
	local := fmt.Sprintf("0100007F:%04X", port)
	for range int(patience / 4 / poll) {
		raw, err := os.ReadFile("/proc/net/tcp")
		require.NoError(pr.t, err)
		unread := false
		for line := range strings.Lines(string(raw)) {
			// sl, local address, remote address, state, tx_queue:rx_queue; state 01 is established
			if fields := strings.Fields(line); len(fields) > 4 && fields[1] == local && fields[3] == "01" && !strings.HasSuffix(fields[4], ":00000000") {
				unread = true
				break
			}
		}
		if !unread || !pr.lives() {
			return
		}
		clk.Sleep(poll)
	}
}

// ordinary returns an ordinary request.
func (ga *gateway) ordinary() (*http.Request, error) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+ga.callers+"/look/", strings.NewReader("ordinary"))
	if err == nil {
		rq.Host, rq.Header = "h", site.CallerHeader("ordinary")
	}
	return rq, err
}

// check checks the gateway while the clients are still connected.
func (ga *gateway) check() {
	ga.t.Helper()
	ga.checkProcess(ga.ordinary, memoryMB*1_000_000, descriptors-fileDescriptors)
}

// answers sends ordinary requests until one is answered.
func (pr *process) answers(ordinary func() (*http.Request, error)) {
	pr.t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	assert.Eventually(pr.t, func() bool {
		if !pr.lives() {
			return false
		}
		rq, err := ordinary()
		if err != nil {
			return false
		}
		res, err := client.Do(rq)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	}, patience, poll, "no ordinary request is answered")
}

// checkProcess checks a process while the clients are still connected. An ordinary request
// must be answered, with resident memory in bytes and open sockets within bounds.
func (pr *process) checkProcess(ordinary func() (*http.Request, error), maxResident, maxSockets int) {
	pr.t.Helper()
	pr.drained()
	pr.answers(ordinary)
	if assert.True(pr.t, pr.lives(), "the process has ended") {
		peak, open := pr.residentPeak(), pr.sockets()
		pr.t.Logf("resident peak %.1f MB, %d sockets", float64(peak)/1e6, open)
		assert.LessOrEqual(pr.t, peak, maxResident, "resident memory in bytes")
		assert.LessOrEqual(pr.t, open, maxSockets, "open sockets")
	}
}
