package sitesoak

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 1, "number of seeds")
	lasts     = flag.Duration("soak.duration", 5*time.Second, "time with faults, for each seed")
)

// clk is the clock of the sockets and processes.
var clk = clockwork.NewRealClock()

const (
	gateways = 3
	callers  = 12
	// deadline is that of the callers, and answerSlack what they grant above it.
	deadline    = 6 * time.Second
	answerSlack = time.Second
	// calm is the time after the last fault until all gateways must serve.
	calm = 12 * time.Second
)

// try is one request and what its caller saw.
type try struct {
	id, path  string
	gateway   *gateway
	at        time.Time
	took      time.Duration
	status    int
	body      string
	whole     bool // the answer ended in order
	unsettled error
}

// world is a site whose gateways are processes.
type world struct {
	t        *testing.T
	rng      *rand.Rand // of the faults
	st       *site.Store
	log      *site.Log
	ups      []*site.Upstream
	ways     []*proxy // to the upstreams, in their order
	doors    []*site.Door
	stores   []*proxy // of the gateways to the store
	gateways []*gateway
	copies   []*site.Copy // of the store, the oldest first

	faults  sync.WaitGroup
	mu      sync.Mutex
	version int // of the configuration
	tries   []try
	story   []string
	next    atomic.Int64
}

// TestSoak runs faults of all kinds in an order that the seed gives, and
// checks the promises on each request of its callers.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "citronstream")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/citronstream").CombinedOutput()
	require.NoError(t, err, string(out))
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

// A reload that is asked for while a gateway starts does not end it.
func TestReloadAtStart(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "citronstream")
	out, err := exec.Command("go", "build", "-o", binary, "../../../cmd/citronstream").CombinedOutput()
	require.NoError(t, err, string(out))
	st := site.NewStore(clk)
	door := st.Open()
	defer door.Close()
	ga := newGateway(t, binary, t.TempDir(), "gateway-0", door.Address(), "")
	defer func() {
		ga.signal(syscall.SIGKILL)
		<-ga.ended
		door.CloseClientConnections()
	}()
	// The time between the program's first act and its own handling of the signal
	// is a few ms, so several starts may be needed to meet it.
	for range 50 {
		ga.signal(syscall.SIGKILL)
		<-ga.ended
		ga.start()
		if hung := hangUp(ga); hung {
			require.True(t, ga.settles(), "the process has ended")
			return
		}
	}
	require.Fail(t, "the process does not ignore SIGHUP at any time of its start")
}

// hangUp sends SIGHUP to a process that starts, as soon as it is spared by it.
// False means that the process was ready before that was seen.
func hangUp(ga *gateway) bool {
	path := fmt.Sprintf("/proc/%d/status", ga.cmd.Process.Pid)
	for began := clk.Now(); !ga.settled() && clk.Since(began) < calm; {
		for range 20 {
			raw, err := os.ReadFile(path)
			if err == nil && strings.HasPrefix(string(raw), "Name:\tcitronstream") && spared(string(raw), syscall.SIGHUP) {
				ga.signal(syscall.SIGHUP)
				return true
			}
		}
	}
	return false
}

// spared reports whether a process ignores a signal, by the mask in its status.
// A handler of the language's runtime does not count: it ends the process.
func spared(status string, sig syscall.Signal) bool {
	for line := range strings.Lines(status) {
		if text, ok := strings.CutPrefix(line, "SigIgn:\t"); ok {
			mask, err := strconv.ParseUint(strings.TrimSpace(text), 16, 64)
			return err == nil && mask&(1<<(uint(sig)-1)) != 0
		}
	}
	return false
}

func soak(t *testing.T, binary string, seed uint64) {
	wo := newWorld(t, binary, seed)
	wo.until("all gateways are ready", wo.allReady)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(i)+1))
		group.Go(func() { wo.call(ctx, rng) })
	}
	for end := clk.Now().Add(*lasts); clk.Now().Before(end); {
		wo.fault()
		clk.Sleep(time.Duration(50+wo.rng.IntN(350)) * time.Millisecond)
	}
	wo.faults.Wait()
	wo.heal()
	wo.until("all gateways are ready again", wo.allReady)
	stop()
	group.Wait()
	wo.check()
	wo.recovered()
	for _, ga := range wo.gateways {
		peak := ga.residentPeak()
		assert.LessOrEqual(t, peak, memoryMB*1_000_000, "resident memory of %s in bytes", ga.name)
		t.Logf("%s: resident peak %.1f MB", ga.name, float64(peak)/1e6)
	}
	t.Logf("seed %d: %d requests, %d faults", seed, len(wo.tries), len(wo.story))
	if t.Failed() {
		dir, err := os.MkdirTemp("", fmt.Sprintf("sitesoak-%d-", seed))
		require.NoError(t, err)
		require.NoError(t, os.CopyFS(dir, os.DirFS(wo.gateways[0].dir)))
		t.Logf("logs are kept in %s; faults:\n%s", dir, strings.Join(wo.story, "\n"))
	}
}

func newWorld(t *testing.T, binary string, seed uint64) *world {
	wo := &world{t: t, rng: rand.New(rand.NewPCG(seed, 0)), st: site.NewStore(clk), log: &site.Log{}}
	wo.configure()
	for _, service := range []string{"desk", "desk", "desk", "pool", "pool", "pool", "cut", "cut", "glue", "glue"} {
		up := site.NewUpstream(clk, wo.log, fmt.Sprintf("%s-%d", service, len(wo.ups)), service)
		way := newProxy(t, up.Address())
		up.Public = way.address()
		up.Work.Store(int64(20 * time.Millisecond))
		up.Gap.Store(int64(20 * time.Millisecond))
		wo.ups, wo.ways = append(wo.ups, up), append(wo.ways, way)
		wo.st.List(up, site.Ready)
		t.Cleanup(func() { up.CloseClientConnections(); up.Close() })
	}
	dir, seedPeer := t.TempDir(), ""
	for i := range gateways {
		door := wo.st.Open()
		store := newProxy(t, door.Address())
		wo.doors, wo.stores = append(wo.doors, door), append(wo.stores, store)
		ga := newGateway(t, binary, dir, fmt.Sprint("gateway-", i), store.address(), seedPeer)
		seedPeer = ga.peers
		wo.gateways = append(wo.gateways, ga)
		t.Cleanup(func() {
			ga.signal(syscall.SIGKILL)
			<-ga.ended
			door.CloseClientConnections()
			door.Close()
		})
	}
	return wo
}

func (wo *world) configure() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.version++
	wo.st.Configure(wo.version, "")
}

func (wo *world) until(text string, condition func() bool) {
	wo.t.Helper()
	require.Eventually(wo.t, condition, 2*calm, 20*time.Millisecond, text)
}

func (wo *world) allReady() bool {
	for _, ga := range wo.gateways {
		client := http.Client{Timeout: time.Second}
		res, err := client.Get("http://" + ga.ready + "/readiness")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// paths are the kinds of requests: unsafe, safe, streams that may and may not
// be resumed, and those with stages.
var paths = []string{"/order/", "/look/", "/draft/stream/", "/once/stream/", "/staged/stream/"}

// mayRepeat reports whether requests to a path may run more than once.
func mayRepeat(path string) bool { return path != "/order/" && path != "/once/stream/" }

// call sends requests over kept connections until ctx ends.
func (wo *world) call(ctx context.Context, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		tr := wo.send(client, wo.gateways[rng.IntN(gateways)], paths[rng.IntN(len(paths))])
		wo.mu.Lock()
		wo.tries = append(wo.tries, tr)
		wo.mu.Unlock()
		if tr.unsettled != nil {
			clk.Sleep(50 * time.Millisecond) // the gateway may be down
		}
	}
}

func (wo *world) send(client *http.Client, ga *gateway, path string) try {
	tr := try{id: fmt.Sprint("r", wo.next.Add(1)), path: path, gateway: ga, at: clk.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*answerSlack)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ga.callers+path, strings.NewReader("body of "+tr.id))
	if err != nil {
		tr.unsettled = err
		return tr
	}
	rq.Host, rq.Header, rq.GetBody = "h", site.CallerHeader(tr.id), nil
	if path == "/staged/stream/" {
		rq.Header.Set(site.HeaderPieces, "2,1")
		rq.Header.Set(site.HeaderPieceKey, "k")
	}
	res, err := client.Do(rq)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		tr.status, tr.body, tr.whole = res.StatusCode, string(raw), err == nil
	}
	tr.took = clk.Since(tr.at)
	if tr.status == 0 {
		tr.unsettled = err
	}
	return tr
}

// check holds what callers and upstreams saw against the promises.
func (wo *world) check() {
	ran := make(map[string]int)
	sent := make(map[string]int)
	for _, ar := range wo.log.All() {
		if ar.ID == "" {
			continue // batches have their requests' IDs within
		}
		assert.NotEqual(wo.t, crowdID, ar.ID, "a request without an end ran")
		sent[ar.ID]++
		if ar.Ran {
			ran[ar.ID]++
		}
		assert.Equal(wo.t, "w", ar.Header.Get(site.HeaderWorkspace), "request %s", ar.ID)
		assert.Empty(wo.t, ar.Header.Get(site.HeaderKey), "request %s", ar.ID)
		assert.Equal(wo.t, "body of "+ar.ID, ar.Body)
	}
	for i := range wo.tries {
		tr := &wo.tries[i]
		text := fmt.Sprintf("%s %s at %s by %s: status %d, whole %v, ran %d, took %v, error %v, body %q",
			tr.id, tr.path, tr.at.Format("05.000"), tr.gateway.name, tr.status, tr.whole, ran[tr.id], tr.took, tr.unsettled, tr.body)
		hurt := tr.gateway.hurtSince(tr.at.Add(-time.Second))
		if !mayRepeat(tr.path) {
			assert.LessOrEqual(wo.t, ran[tr.id], 1, "at most once: %s", text)
		}
		switch {
		case tr.status == http.StatusServiceUnavailable || tr.status == http.StatusTooManyRequests:
			if !mayRepeat(tr.path) {
				assert.Zero(wo.t, ran[tr.id], "a refused request ran: %s", text)
			}
		case tr.status == http.StatusOK && tr.whole:
			assert.Positive(wo.t, ran[tr.id], "an answer without a run: %s", text)
			wo.checkBody(tr, text)
		case tr.status == 0:
			assert.True(wo.t, hurt || sent[tr.id] == 0, "no answer though it was passed on: %s", text)
		default:
			assert.True(wo.t, tr.status == http.StatusOK || tr.status >= 500, "a caller's fault is claimed: %s", text)
		}
		assert.True(wo.t, hurt || tr.took <= deadline+answerSlack, "late answer: %s", text)
	}
}

// checkBody checks that a complete answer is the upstream's to this request.
func (wo *world) checkBody(tr *try, text string) {
	if !strings.Contains(tr.path, "stream") {
		assert.Equal(wo.t, "answer to "+tr.id, tr.body, text)
		return
	}
	want := ""
	for id := 1; id <= 5; id++ {
		want += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
	}
	assert.Equal(wo.t, want, tr.body, text)
}

// Paths that only the last configurations have.
const (
	latePath     = "/late/"
	restoredPath = "/restored/"
)

// configureWith writes a configuration with one more path.
func (wo *world) configureWith(path string) {
	wo.version++
	wo.st.Configure(wo.version, fmt.Sprintf(`,{"name":"late","host":"h","prefix":%q,"kind":"safe","timeout-ms":3000,"target-latency-ms":300,"service":"desk","max-attempts":2}`, path))
}

// recovered checks that each gateway serves each kind of request after the faults, also those
// of a configuration since then, and of one that the store has given a lower version.
func (wo *world) recovered() {
	co := wo.st.Copy()
	for i := range 200 {
		wo.st.Put("other", fmt.Sprint(i), "")
	}
	wo.configureWith(latePath)
	wo.assertServed(append(slices.Clone(paths), latePath)...)
	wo.st.Restore(co)
	wo.rewrite()
	wo.configureWith(restoredPath)
	wo.assertServed(append(slices.Clone(paths), restoredPath)...)
}

// assertServed checks that each gateway serves requests to these paths before long.
func (wo *world) assertServed(paths ...string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for _, ga := range wo.gateways {
		for _, path := range paths {
			assert.Eventually(wo.t, func() bool {
				tr := wo.send(client, ga, path)
				return tr.status == http.StatusOK && tr.whole
			}, calm, 100*time.Millisecond, "%s is not served by %s again", path, ga.name)
		}
	}
}
