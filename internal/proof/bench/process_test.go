package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/citronstream/citronstream/internal/platform/dynamodb"
	"github.com/citronstream/citronstream/internal/platform/s3"
	standintable "github.com/citronstream/citronstream/internal/standin/dynamodb"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	standins3 "github.com/citronstream/citronstream/internal/standin/s3"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// childEnv holds the Child that the test binary is to be, instead of running tests.
const childEnv = "CITRONSTREAM_BENCH_CHILD"

func TestMain(m *testing.M) {
	text := os.Getenv(childEnv)
	if text == "" {
		os.Exit(m.Run())
	}
	var ch Child
	err := json.Unmarshal([]byte(text), &ch)
	if err == nil {
		err = ch.Serve(context.Background(), os.Stdin, os.Stdout)
	}
	if err != nil {
		_, _ = io.WriteString(os.Stderr, err.Error()+"\n")
		os.Exit(1)
	}
}

// stage is what surrounds a measured process: the platform and its peers.
type stage struct {
	tb      testing.TB
	ctx     context.Context
	clk     citronstream.Clock
	eng     *nbconn.Engine
	table   *memtable.Table
	objects string
	tables  string
	wire    *Meter // of both services
}

func newStage(tb testing.TB) *stage {
	ctx, cancel := context.WithCancel(context.Background())
	st := &stage{tb: tb, ctx: ctx, clk: clockwork.NewRealClock(), wire: &Meter{}}
	st.table = memtable.New(st.clk)
	var err error
	st.eng, err = nbconn.New(nbconn.WithPollers(4))
	require.NoError(tb, err)
	st.tables = st.serve(standintable.New(st.table))
	st.objects = st.serve(standins3.New(st.clk))
	tb.Cleanup(func() { cancel(); st.eng.Stop() })
	return st
}

func (st *stage) serve(ha http.Handler) string {
	srv := httptest.NewUnstartedServer(ha)
	srv.Listener = meteredListener{srv.Listener, st.wire}
	srv.Start()
	st.tb.Cleanup(srv.Close)
	return srv.URL
}

type meteredListener struct {
	net.Listener
	me *Meter
}

func (ml meteredListener) Accept() (net.Conn, error) {
	nc, err := ml.Listener.Accept()
	return meteredConn{nc, ml.me}, err
}

type meteredConn struct {
	net.Conn
	me *Meter
}

func (mc meteredConn) Read(to []byte) (int, error) {
	n, err := mc.Conn.Read(to)
	mc.me.count(n)
	return n, err
}

func (mc meteredConn) Write(data []byte) (int, error) {
	n, err := mc.Conn.Write(data)
	mc.me.count(n)
	return n, err
}

// accept puts a configuration in force at the platform.
func (st *stage) accept(fl *citronstream.Fleet) uint64 {
	op := version.New(st.clk, dynamodb.New(st.clk, st.tables), s3.New(st.clk, st.objects))
	require.NoError(st.tb, op.Refresh(st.ctx))
	number, err := op.Accept(st.ctx, op.Version(), fl, "bench")
	require.NoError(st.tb, err)
	return number
}

// child is a measured process.
type child struct {
	st  *stage
	in  io.Writer
	out *json.Decoder
}

func (st *stage) spawn(ch Child) *child {
	ch.Table, ch.Objects = st.tables, st.objects
	text, err := json.Marshal(ch)
	require.NoError(st.tb, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+string(text))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(st.tb, err)
	out, err := cmd.StdoutPipe()
	require.NoError(st.tb, err)
	require.NoError(st.tb, cmd.Start())
	st.tb.Cleanup(func() {
		_ = in.Close()
		_ = cmd.Wait()
	})
	return &child{st: st, in: in, out: json.NewDecoder(bufio.NewReader(out))}
}

func (ch *child) sample(command string) Sample {
	_, err := io.WriteString(ch.in, command+"\n")
	require.NoError(ch.st.tb, err)
	var sa Sample
	require.NoError(ch.st.tb, ch.out.Decode(&sa))
	return sa
}

// ready waits for the links and the version.
func (ch *child) ready(links int, number uint64) {
	for range 300 {
		if sa := ch.sample("sample"); sa.Links >= links && sa.Version >= number {
			return
		}
		<-ch.st.clk.After(50 * time.Millisecond)
	}
	ch.st.tb.Fatalf("the process has no %d links with version %d", links, number)
}

// used is what the process used over a time.
type used struct {
	Sample
	core float64 // share of a core, in percent
	// Bytes a second on the wire, upper estimates.
	links, platform float64
}

// over measures for a time. The traffic of the links is that of wire, or with
// nil what the process itself has counted.
func (ch *child) over(wait time.Duration, wire func() Wire) used {
	before, start, platform := ch.sample("collect"), ch.st.clk.Now(), ch.st.wire.Wire()
	if wire != nil {
		before.Wire = wire()
	}
	<-ch.st.clk.After(wait)
	us := used{Sample: ch.sample("sample")}
	if wire != nil {
		us.Wire = wire()
	}
	took := ch.st.clk.Now().Sub(start).Seconds()
	us.core = 100 * (us.CPU - before.CPU).Seconds() / took
	us.links = float64(us.Wire.Sub(before.Wire).Upper()) / took
	us.platform = float64(ch.st.wire.Wire().Sub(platform).Upper()) / took
	return us
}
