package bench

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/require"
)

// Times of a measurement. At full size an entry checks an idle link each 75 s,
// all of them at once if they were opened at once, so that the measurement has
// to last as long.
const (
	settle    = 3 * time.Second
	idleEntry = 76 * time.Second
	idleAgent = 48 * time.Second
	lowLoad   = 10 * time.Second
	// share is one entry's interval between requests, 5,300 a second over 360 entries.
	share = time.Second * 360 / 5300
)

// sizes runs a measurement of three fleets side by side, with a quarter, half
// and all of the links of the full size. Each process is measured alone.
func sizes(b *testing.B, measure func(fl *citronstream.Fleet, home Region, size string)) {
	for b.Loop() {
		var wg sync.WaitGroup
		for i, every := range []int{4, 2, 1} {
			fl, err := Example(root, "full", i)
			require.NoError(b, err)
			fl = Thin(fl, every)
			wg.Go(func() { measure(fl, Home(fl), fmt.Sprintf("1/%d", every)) })
		}
		wg.Wait()
	}
}

// metrics collects what the sizes report at once.
type metrics struct {
	b  *testing.B
	mu sync.Mutex
}

func (me *metrics) set(value float64, unit, size string) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.b.ReportMetric(value, unit+"-"+size)
}

func (me *metrics) process(us used, state, size string) {
	me.set(us.core, state+"-core-%", size)
	me.set(us.links, state+"-link-B/s", size)
	me.set(us.platform, state+"-platform-B/s", size)
	me.set(float64(us.Resident)/(1<<20), state+"-resident-MB", size)
}

// BenchmarkControlEntry is the control cost of one entry that holds
// examples/full.json and the links of its region: idle, and at its share of
// the peak.
func BenchmarkControlEntry(b *testing.B) {
	me := &metrics{b: b}
	sizes(b, func(fl *citronstream.Fleet, home Region, size string) {
		st := newStage(b)
		fl.Version = st.accept(fl)
		as, err := NewAgents(st.ctx, st.clk, st.eng, fl, home.Upstreams)
		require.NoError(b, err)
		en := home.Entry
		ch := st.spawn(Child{Role: "entry", Name: en.Name, Zone: home.Zone, Address: en.Address, Threads: 2})
		ch.ready(len(home.Upstreams), fl.Version)
		me.set(float64(as.Meter.Wire().Upper())/float64(len(home.Upstreams)), "connect-B/link", size)
		<-st.clk.After(settle)
		me.set(float64(len(home.Upstreams)), "links", size)
		me.process(ch.over(idleEntry, as.Meter.Wire), "idle", size)
		end := st.load(en.Address, fl.Workspaces[0].Name)
		me.process(ch.over(lowLoad, as.Meter.Wire), "low", size)
		end()
	})
}

// load sends plain calls at an entry's share of the peak, until it is ended.
func (st *stage) load(address, workspace string) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := st.clk.NewTicker(share)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.Chan():
				if err := post(address, "/v1/services/desk-1/look-up", workspace, []byte(`{"Item":7}`)); err != nil {
					st.tb.Error(err)
				}
			}
		}
	}()
	return func() {
		close(stop)
		<-ended
	}
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

func post(address, path, workspace string, body []byte) error {
	rq, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	rq.Header.Set("X-Workspace", workspace)
	re, err := client.Do(rq)
	if err != nil {
		return err
	}
	defer func() { _ = re.Body.Close() }()
	answer, err := io.ReadAll(re.Body)
	if err == nil && re.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", re.StatusCode, answer)
	}
	return err
}

// BenchmarkControlAgent is the control cost of an idle agent of a service
// with non-idempotent calls, which renews its grant, with the links of its
// region's entries.
func BenchmarkControlAgent(b *testing.B) {
	me := &metrics{b: b}
	sizes(b, func(fl *citronstream.Fleet, home Region, size string) {
		st := newStage(b)
		fl.Version = st.accept(fl)
		up := home.Upstreams[0]
		for _, other := range home.Upstreams {
			if other.Service == "desk-1" {
				up = other
			}
		}
		ch := st.spawn(Child{Role: "agent", Name: up.Name, Zone: home.Zone, Threads: 2})
		NewEntries(st.ctx, st.clk, st.eng, fl.Entries, up.Agent, fl.Version, len(home.Upstreams))
		ch.ready(len(fl.Entries), fl.Version)
		<-st.clk.After(settle)
		me.set(float64(len(fl.Entries)), "links", size)
		reads, writes, _ := st.table.Counts()
		me.process(ch.over(idleAgent, nil), "idle", size)
		readsAfter, writesAfter, _ := st.table.Counts()
		me.set(float64(readsAfter-reads)/idleAgent.Seconds(), "reads/s", size)
		me.set(float64(writesAfter-writes)/idleAgent.Seconds(), "writes/s", size)
	})
}
