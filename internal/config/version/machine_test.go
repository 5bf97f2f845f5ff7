package version

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// objects is an in-memory object store that can be switched off.
type objects struct {
	mu   sync.Mutex
	byID map[string][]byte
	down bool
}

func (ob *objects) Put(_ context.Context, key string, body []byte) error {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.down {
		return citronstream.ErrUnavailable
	}
	ob.byID[key] = body
	return nil
}

func (ob *objects) Get(_ context.Context, key string) ([]byte, error) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	if ob.down {
		return nil, citronstream.ErrUnavailable
	}
	if body, ok := ob.byID[key]; ok {
		return body, nil
	}
	return nil, citronstream.ErrNotFound
}

// recordingTable records which writes took effect, and runs hooks around the next write.
type recordingTable struct {
	*memtable.Table
	before, after   func()
	acceptedOps     map[uint64]map[string]bool // operation identifiers by version
	acceptedAuthors map[string]bool            // each operator proposes one change
}

func (rt *recordingTable) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	before, after := rt.before, rt.after
	rt.before, rt.after = nil, nil
	if before != nil {
		before()
	}
	err := rt.Table.Write(ctx, opID, ops...)
	var rec Record
	if row, getErr := rt.Get(context.Background(), RowKey); getErr == nil && json.Unmarshal(row.Value, &rec) == nil && rec.OpID == opID {
		if rt.acceptedOps[rec.Version] == nil {
			rt.acceptedOps[rec.Version] = map[string]bool{}
		}
		rt.acceptedOps[rec.Version][opID] = true
		rt.acceptedAuthors[rec.Author] = true
	}
	if after != nil {
		after()
	}
	return err
}

const processCount = 4

// testCluster is a group of processes on one platform. Its methods that take a *rapid.T
// are the actions of the state machine.
type testCluster struct {
	clk         *clockwork.FakeClock
	table       *recordingTable
	ob          *objects
	procs       [processCount]*Store
	minVersions [processCount]uint64 // highest version held since the start of the process
	unreachable [processCount]bool
	down        bool
	wrongDeltas bool              // peers send wrong differences
	duringFetch func()            // runs while the next document is in transit from a peer
	reported    map[uint64]string // author by version, as reported to operators
}

func newCluster() *testCluster {
	cl := &testCluster{clk: clockwork.NewFakeClock(), ob: &objects{byID: map[string][]byte{}}, reported: map[uint64]string{}}
	cl.table = &recordingTable{Table: memtable.New(cl.clk), acceptedOps: map[uint64]map[string]bool{}, acceptedAuthors: map[string]bool{}}
	for i := range cl.procs {
		cl.start(i)
	}
	return cl
}

func (cl *testCluster) start(i int) {
	cl.procs[i], cl.minVersions[i] = New(cl.clk, cl.table, cl.ob, WithFetcher(cl)), 0
}

// Version implements VersionFetcher.
func (cl *testCluster) Version(_ context.Context, peer string) (uint64, error) {
	i, _ := strconv.Atoi(peer)
	if cl.unreachable[i] {
		return 0, citronstream.ErrUnavailable
	}
	return cl.procs[i].Version(), nil
}

// Fetch implements Fetcher.
func (cl *testCluster) Fetch(_ context.Context, peer string, rq citronstream.ConfigRequest) (Document, error) {
	i, _ := strconv.Atoi(peer)
	if cl.unreachable[i] {
		return Document{}, citronstream.ErrUnavailable
	}
	do := cl.procs[i].DocumentFor(rq)
	if cl.wrongDeltas && do.Base != 0 {
		do.Body, _ = pack(fmt.Appendf(nil, `[{"op":"replace","path":"/Site","value":"corrupt"},{"op":"replace","path":"/Version","value":%d}]`, do.Record.Version))
	}
	if during := cl.duringFetch; during != nil {
		cl.duringFetch = nil
		during()
	}
	return do, nil
}

func (cl *testCluster) highest() uint64 {
	highest := uint64(0)
	for version := range cl.table.acceptedOps {
		highest = max(highest, version)
	}
	return highest
}

// accept proposes a change on behalf of an operator and checks the reported outcome.
func (cl *testCluster) accept(t *rapid.T, ctx context.Context, i int, base uint64, author string) {
	got, err := cl.procs[i].Accept(ctx, base, &citronstream.Fleet{Site: author}, author)
	cl.minVersions[i] = max(cl.minVersions[i], cl.procs[i].Version())
	var ce *ConflictError
	if cl.table.acceptedAuthors[author] && err != nil && !errors.Is(err, citronstream.ErrUnknownOutcome) {
		t.Fatalf("accepted but reported as rejected: %v", err)
	}
	switch {
	case err == nil:
		if other, ok := cl.reported[got]; ok || got != base+1 {
			t.Fatalf("version %d reported to %s, after %q", got, author, other)
		}
		cl.reported[got] = author
	case errors.As(err, &ce):
		if ce.Winner.Version == base || ce.Winner.Author == author {
			t.Fatalf("conflict names %d by %s", ce.Winner.Version, ce.Winner.Author)
		}
	case errors.Is(err, citronstream.ErrUnknownOutcome):
		if !cl.down {
			t.Fatalf("outcome unknown while the table is up: %v", err)
		}
	}
}

func (cl *testCluster) setDown(down bool) {
	cl.down = down
	cl.table.SetDown(down)
}

// Operate proposes a change. Its base may be outdated, a competing change may be
// accepted between its read and its write, and the table may fail after the write.
func (cl *testCluster) Operate(t *rapid.T) {
	proc := rapid.IntRange(0, processCount-1)
	i, author, base := proc.Draw(t, "proc"), citronstream.NewID(), cl.highest()
	base -= min(base, uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "late")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if rapid.Bool().Draw(t, "race") {
		other := proc.Draw(t, "rival")
		cl.table.before = func() { cl.accept(t, ctx, other, base, "rival "+author) }
	}
	switch after := rapid.IntRange(0, 4).Draw(t, "after"); {
	case after == 0 && !cl.down:
		cl.table.after = func() { cl.setDown(true); cancel() }
	case after == 1:
		// A successor replaces the change in the row before its lost answer is resolved.
		other := proc.Draw(t, "successor")
		cl.table.after = func() { cl.accept(t, ctx, other, base+1, "successor "+author) }
	}
	cl.accept(t, ctx, i, base, author)
	cl.table.before, cl.table.after = nil, nil
}

func (cl *testCluster) Refresh(t *rapid.T) {
	_ = cl.procs[rapid.IntRange(0, processCount-1).Draw(t, "proc")].Refresh(context.Background())
}

func (cl *testCluster) Observe(t *rapid.T) {
	from, to := rapid.IntRange(0, processCount-1).Draw(t, "from"), rapid.IntRange(0, processCount-1).Draw(t, "to")
	cl.procs[to].Observe(cl.procs[from].Version(), strconv.Itoa(from))
	if rapid.Bool().Draw(t, "accepts meanwhile") {
		cl.duringFetch = func() { cl.accept(t, t.Context(), to, cl.highest(), citronstream.NewID()) }
	}
	_ = cl.procs[to].fetchAnnounced(context.Background())
	cl.duringFetch = nil
}

func (cl *testCluster) Restart(t *rapid.T) {
	i := rapid.IntRange(0, processCount-1).Draw(t, "proc")
	cl.start(i)
	var peers []string
	answers, best := 0, uint64(0)
	for j := range cl.procs {
		if j == i {
			continue
		}
		peers = append(peers, strconv.Itoa(j))
		if held := cl.procs[j].Version(); held > 0 && !cl.unreachable[j] {
			answers, best = answers+1, max(best, held)
		}
	}
	err := cl.procs[i].Bootstrap(context.Background(), peers, cl)
	if ready := cl.procs[i].Ready(); ready != (err == nil) || ready && cl.procs[i].Version() < best && cl.down {
		t.Fatalf("ready %v with version %d, peers hold %d: %v", ready, cl.procs[i].Version(), best, err)
	}
	if cl.down && (err == nil) != (answers*2 > len(peers)) {
		t.Fatalf("%d of %d peers answered: %v", answers, len(peers), err)
	}
}

func (cl *testCluster) Faults(t *rapid.T) {
	cl.setDown(rapid.IntRange(0, 2).Draw(t, "table") == 0)
	cl.wrongDeltas = rapid.Bool().Draw(t, "wrong differences")
	cl.ob.down = rapid.IntRange(0, 4).Draw(t, "objects") == 0
	cl.table.SetLoseAnswers(rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "lose"))
	cl.unreachable[rapid.IntRange(0, processCount-1).Draw(t, "peer")] = rapid.Bool().Draw(t, "silent")
}

// check runs after each action.
func (cl *testCluster) check(t *rapid.T) {
	for i, st := range cl.procs {
		if st.Version() < cl.minVersions[i] {
			t.Fatalf("process %d went from version %d to %d", i, cl.minVersions[i], st.Version())
		}
		cl.minVersions[i] = st.Version()
		if st.Current().Fleet.Site == "corrupt" {
			t.Fatalf("process %d installed a wrong difference", i)
		}
	}
	for version, ops := range cl.table.acceptedOps {
		if len(ops) != 1 {
			t.Fatalf("version %d was accepted from %d operations", version, len(ops))
		}
	}
	for version := range cl.reported {
		if cl.table.acceptedOps[version] == nil {
			t.Fatalf("version %d was reported as accepted and isn't", version)
		}
	}
}

// converge ends all faults. Each process must then hold the highest version.
func (cl *testCluster) converge(t *rapid.T) {
	cl.setDown(false)
	cl.ob.down = false
	cl.table.SetLoseAnswers(0)
	for i, st := range cl.procs {
		err := st.Refresh(context.Background())
		if want := cl.highest(); err != nil || st.Version() != want {
			t.Fatalf("process %d holds %d, accepted %d: %v", i, st.Version(), want, err)
		}
		if author, ok := cl.reported[st.Version()]; ok && st.Current().Fleet.Site != author {
			t.Fatalf("version %d is by %s, reported to %s", st.Version(), st.Current().Fleet.Site, author)
		}
	}
	if uint64(len(cl.table.acceptedOps)) != cl.highest() {
		t.Fatalf("%d versions accepted up to version %d", len(cl.table.acceptedOps), cl.highest())
	}
}

// Guards against an accepted configuration that reverts after restarts, outages, lost
// answers or races between operators.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster()
		methods := rapid.StateMachineActions(&actions{cl})
		t.Repeat(methods)
		cl.converge(t)
	})
}

// actions exposes only the methods that rapid may call.
type actions struct{ cl *testCluster }

func (ac *actions) Operate(t *rapid.T) { ac.cl.Operate(t) }
func (ac *actions) Refresh(t *rapid.T) { ac.cl.Refresh(t) }
func (ac *actions) Observe(t *rapid.T) { ac.cl.Observe(t) }
func (ac *actions) Restart(t *rapid.T) { ac.cl.Restart(t) }
func (ac *actions) Faults(t *rapid.T)  { ac.cl.Faults(t) }
func (ac *actions) Check(t *rapid.T)   { ac.cl.check(t) }
