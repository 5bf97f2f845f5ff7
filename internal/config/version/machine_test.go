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

// objects is an object store in memory with an outage switch.
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

// spy records which writes took effect, and runs hooks around the next write.
type spy struct {
	*memtable.Table
	before, after func()
	winners       map[uint64]map[string]bool // operation identifiers by version
	authors       map[string]bool            // each operator offers one change
}

func (sp *spy) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	before, after := sp.before, sp.after
	sp.before, sp.after = nil, nil
	if before != nil {
		before()
	}
	err := sp.Table.Write(ctx, opID, ops...)
	var rec Record
	if row, getErr := sp.Get(context.Background(), RowKey); getErr == nil && json.Unmarshal(row.Value, &rec) == nil && rec.OpID == opID {
		if sp.winners[rec.Version] == nil {
			sp.winners[rec.Version] = map[string]bool{}
		}
		sp.winners[rec.Version][opID] = true
		sp.authors[rec.Author] = true
	}
	if after != nil {
		after()
	}
	return err
}

const processes = 4

// world is a few processes over one platform. Its methods that take a
// *rapid.T are the actions of the state machine.
type world struct {
	clk    *clockwork.FakeClock
	table  *spy
	ob     *objects
	procs  [processes]*Store
	seen   [processes]uint64 // highest version that the process has held since its start
	silent [processes]bool
	down   bool
	spoilt bool              // peers give wrong differences
	during func()            // runs while the next document is under way from a peer
	told   map[uint64]string // version to author, as operators were told
}

func newWorld() *world {
	wo := &world{clk: clockwork.NewFakeClock(), ob: &objects{byID: map[string][]byte{}}, told: map[uint64]string{}}
	wo.table = &spy{Table: memtable.New(wo.clk), winners: map[uint64]map[string]bool{}, authors: map[string]bool{}}
	for i := range wo.procs {
		wo.start(i)
	}
	return wo
}

func (wo *world) start(i int) {
	wo.procs[i], wo.seen[i] = New(wo.clk, wo.table, wo.ob, WithFetcher(wo)), 0
}

// Version implements Asker.
func (wo *world) Version(_ context.Context, peer string) (uint64, error) {
	i, _ := strconv.Atoi(peer)
	if wo.silent[i] {
		return 0, citronstream.ErrUnavailable
	}
	return wo.procs[i].Version(), nil
}

// Fetch implements Fetcher.
func (wo *world) Fetch(_ context.Context, peer string, rq citronstream.ConfigRequest) (Document, error) {
	i, _ := strconv.Atoi(peer)
	if wo.silent[i] {
		return Document{}, citronstream.ErrUnavailable
	}
	do := wo.procs[i].Answer(rq)
	if wo.spoilt && do.Base != 0 {
		do.Body, _ = pack(fmt.Appendf(nil, `[{"op":"replace","path":"/Site","value":"spoilt"},{"op":"replace","path":"/Version","value":%d}]`, do.Record.Version))
	}
	if during := wo.during; during != nil {
		wo.during = nil
		during()
	}
	return do, nil
}

func (wo *world) highest() uint64 {
	highest := uint64(0)
	for version := range wo.table.winners {
		highest = max(highest, version)
	}
	return highest
}

// accept lets an operator offer a change and checks what it is told.
func (wo *world) accept(t *rapid.T, ctx context.Context, i int, base uint64, author string) {
	got, err := wo.procs[i].Accept(ctx, base, &citronstream.Fleet{Site: author}, author)
	wo.seen[i] = max(wo.seen[i], wo.procs[i].Version())
	var ce *ConflictError
	if wo.table.authors[author] && err != nil && !errors.Is(err, citronstream.ErrUnknownOutcome) {
		t.Fatalf("accepted but told as refused: %v", err)
	}
	switch {
	case err == nil:
		if other, ok := wo.told[got]; ok || got != base+1 {
			t.Fatalf("version %d told to %s, after %q", got, author, other)
		}
		wo.told[got] = author
	case errors.As(err, &ce):
		if ce.Winner.Version == base || ce.Winner.Author == author {
			t.Fatalf("conflict names %d by %s", ce.Winner.Version, ce.Winner.Author)
		}
	case errors.Is(err, citronstream.ErrUnknownOutcome):
		if !wo.down {
			t.Fatalf("outcome left unknown while the table answers: %v", err)
		}
	}
}

func (wo *world) setDown(down bool) {
	wo.down = down
	wo.table.SetDown(down)
}

// Operate offers a change, perhaps on an old base (a paused operator), with a
// competing one between its read and its write, and with an outage after it.
func (wo *world) Operate(t *rapid.T) {
	proc := rapid.IntRange(0, processes-1)
	i, author, base := proc.Draw(t, "proc"), citronstream.NewID(), wo.highest()
	base -= min(base, uint64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "late")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if rapid.Bool().Draw(t, "race") {
		other := proc.Draw(t, "rival")
		wo.table.before = func() { wo.accept(t, ctx, other, base, "rival "+author) }
	}
	switch after := rapid.IntRange(0, 4).Draw(t, "after"); {
	case after == 0 && !wo.down:
		wo.table.after = func() { wo.setDown(true); cancel() }
	case after == 1:
		// A successor hides the change in the row before its lost answer is settled.
		other := proc.Draw(t, "successor")
		wo.table.after = func() { wo.accept(t, ctx, other, base+1, "successor "+author) }
	}
	wo.accept(t, ctx, i, base, author)
	wo.table.before, wo.table.after = nil, nil
}

func (wo *world) Refresh(t *rapid.T) {
	_ = wo.procs[rapid.IntRange(0, processes-1).Draw(t, "proc")].Refresh(context.Background())
}

func (wo *world) Observe(t *rapid.T) {
	from, to := rapid.IntRange(0, processes-1).Draw(t, "from"), rapid.IntRange(0, processes-1).Draw(t, "to")
	wo.procs[to].Observe(wo.procs[from].Version(), strconv.Itoa(from))
	if rapid.Bool().Draw(t, "accepts meanwhile") {
		wo.during = func() { wo.accept(t, t.Context(), to, wo.highest(), citronstream.NewID()) }
	}
	_ = wo.procs[to].fetch(context.Background())
	wo.during = nil
}

func (wo *world) Restart(t *rapid.T) {
	i := rapid.IntRange(0, processes-1).Draw(t, "proc")
	wo.start(i)
	var peers []string
	answers, best := 0, uint64(0)
	for j := range wo.procs {
		if j == i {
			continue
		}
		peers = append(peers, strconv.Itoa(j))
		if held := wo.procs[j].Version(); held > 0 && !wo.silent[j] {
			answers, best = answers+1, max(best, held)
		}
	}
	err := wo.procs[i].Bootstrap(context.Background(), peers, wo)
	if ready := wo.procs[i].Ready(); ready != (err == nil) || ready && wo.procs[i].Version() < best && wo.down {
		t.Fatalf("ready %v with version %d, peers hold %d: %v", ready, wo.procs[i].Version(), best, err)
	}
	if wo.down && (err == nil) != (answers*2 > len(peers)) {
		t.Fatalf("%d of %d peers answered: %v", answers, len(peers), err)
	}
}

func (wo *world) Faults(t *rapid.T) {
	wo.setDown(rapid.IntRange(0, 2).Draw(t, "table") == 0)
	wo.spoilt = rapid.Bool().Draw(t, "wrong differences")
	wo.ob.down = rapid.IntRange(0, 4).Draw(t, "objects") == 0
	wo.table.SetLoseAnswers(rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(t, "lose"))
	wo.silent[rapid.IntRange(0, processes-1).Draw(t, "peer")] = rapid.Bool().Draw(t, "silent")
}

// check holds after each action.
func (wo *world) check(t *rapid.T) {
	for i, st := range wo.procs {
		if st.Version() < wo.seen[i] {
			t.Fatalf("process %d went from version %d to %d", i, wo.seen[i], st.Version())
		}
		wo.seen[i] = st.Version()
		if st.Current().Fleet.Site == "spoilt" {
			t.Fatalf("process %d took a wrong difference", i)
		}
	}
	for version, ops := range wo.table.winners {
		if len(ops) != 1 {
			t.Fatalf("version %d has %d winners", version, len(ops))
		}
	}
	for version := range wo.told {
		if wo.table.winners[version] == nil {
			t.Fatalf("version %d was told as accepted and isn't", version)
		}
	}
}

// converge ends the faults; each process must then hold the highest version.
func (wo *world) converge(t *rapid.T) {
	wo.setDown(false)
	wo.ob.down = false
	wo.table.SetLoseAnswers(0)
	for i, st := range wo.procs {
		err := st.Refresh(context.Background())
		if want := wo.highest(); err != nil || st.Version() != want {
			t.Fatalf("process %d holds %d, accepted %d: %v", i, st.Version(), want, err)
		}
		if author, ok := wo.told[st.Version()]; ok && st.Current().Fleet.Site != author {
			t.Fatalf("version %d is that of %s, told to %s", st.Version(), st.Current().Fleet.Site, author)
		}
	}
	if uint64(len(wo.table.winners)) != wo.highest() {
		t.Fatalf("%d winners up to version %d", len(wo.table.winners), wo.highest())
	}
}

// Guards the promise that an accepted configuration never reverts, through
// restarts, outages, lost answers and racing operators.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wo := newWorld()
		actions := rapid.StateMachineActions(&machine{wo})
		t.Repeat(actions)
		wo.converge(t)
	})
}

// machine exposes the actions only.
type machine struct{ wo *world }

func (ma *machine) Operate(t *rapid.T) { ma.wo.Operate(t) }
func (ma *machine) Refresh(t *rapid.T) { ma.wo.Refresh(t) }
func (ma *machine) Observe(t *rapid.T) { ma.wo.Observe(t) }
func (ma *machine) Restart(t *rapid.T) { ma.wo.Restart(t) }
func (ma *machine) Faults(t *rapid.T)  { ma.wo.Faults(t) }
func (ma *machine) Check(t *rapid.T)   { ma.wo.check(t) }
