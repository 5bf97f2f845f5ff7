package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/ingress/flow"
	"github.com/citronstream/citronstream/internal/standin/site"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The limits of the configuration, and the memory of the smallest instances.
const (
	mostHeader = 16 << 10
	mostBody   = 4 << 20
	leastMB    = 144
)

// limitedSite is a site with one gateway that has the memory and descriptors of the
// smallest instances.
func limitedSite(t *testing.T, change func(si *citronstream.Site)) (*testSite, *Gateway) {
	ts := newTestSite(t, 0)
	ts.st.ConfigureLimits(1, mostHeader, mostBody)
	ts.upstream("d1", "desk")
	door := ts.st.Open()
	si := &citronstream.Site{
		Process: "front", Zone: "z", Callers: freeAddress(t), Ready: freeAddress(t), Peers: freeAddress(t),
		Bounds: ts.bounds, Store: door.Address(), Memory: leastMB * 1e6, Descriptors: 3075,
	}
	if change != nil {
		change(si)
	}
	ga, err := New(context.Background(), ts.clk, logr.Discard(), si)
	require.NoError(t, err)
	require.NoError(t, ga.Start())
	en := &testEntry{Gateway: ga, door: door}
	ts.entries = append(ts.entries, en)
	ts.waitReady()
	return ts, ga
}

// post sends a body of which the length is told unless it is -1.
func (ts *testSite) post(body io.Reader, length int64, header http.Header) *http.Response {
	ts.t.Helper()
	rq, err := http.NewRequest(http.MethodPost, "http://"+ts.entries[0].site.Callers+"/order/", body)
	require.NoError(ts.t, err)
	rq.Host, rq.Header, rq.ContentLength = "h", header, length
	res, err := ts.client.Do(rq)
	require.NoError(ts.t, err)
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res
}

func (ga *Gateway) hits() (sum uint64) {
	for _, limit := range limitNames {
		sum += ga.limits.Count(limit)
	}
	return sum
}

// Guards against a limit that a single request inside those of the configuration meets.
func TestSingleRequestsAtTheLimits(t *testing.T) {
	ts, ga := limitedSite(t, nil)
	id := 0
	header := func() http.Header {
		id++
		return site.CallerHeader(fmt.Sprint("r", id))
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), mostBody/16)
	for _, length := range []int64{mostBody, -1} {
		rq := header()
		ts.assertStatus(http.StatusOK, ts.post(bytes.NewReader(body), length, rq))
		arrivals := ts.log.Of(rq.Get(site.HeaderID))
		require.Len(t, arrivals, 1)
		assert.Equal(t, len(body), len(arrivals[0].Body))
		assert.True(t, arrivals[0].Body == string(body), "the body changed")
	}
	drip := &strings.Builder{}
	for range 100 << 10 {
		drip.WriteString("1\r\nx\r\n")
	}
	var head strings.Builder
	require.NoError(t, header().Write(&head))
	text := "POST /order/ HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + head.String()
	for name, request := range map[string]string{
		"chunks of one byte": text + "Transfer-Encoding: chunked\r\n\r\n" + drip.String() + "0\r\nTrailer: t\r\n\r\n",
		"shortest lines":     text + strings.Repeat("a:\n", (mostHeader-len(text)-2)/3) + "\r\n",
		"one long line":      text + "a:" + strings.Repeat("x", mostHeader-len(text)-6) + "\r\n\r\n",
	} {
		nc, err := net.Dial("tcp", ga.site.Callers)
		require.NoError(t, err)
		_, err = io.WriteString(nc, request)
		require.NoError(t, err)
		answer, err := io.ReadAll(nc)
		require.NoError(t, err)
		_ = nc.Close()
		assert.True(t, strings.HasPrefix(string(answer), "HTTP/1.1 200 "), "%s: %.200s", name, answer)
	}
	big := http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write(body) })
	ts.upstreams["d1"].Answer.Store(&big)
	ts.assertStatus(http.StatusOK, ts.post(http.NoBody, 0, header()))
	assert.Zero(t, ga.hits(), "a limit took effect")
	ts.waitFor(func() bool { return ga.memory.Used() <= 2*(22<<10) }, "memory is not given back")
}

// A body over its limit gets 413, whether its length is told or not, and does not run.
func TestBodyOverTheLimit(t *testing.T) {
	ts, ga := limitedSite(t, nil)
	for _, length := range []int64{mostBody + 1, -1} {
		res := ts.post(bytes.NewReader(make([]byte, mostBody+1)), length, site.CallerHeader("r"))
		ts.assertStatus(http.StatusRequestEntityTooLarge, res)
	}
	assert.EqualValues(t, 2, ga.limits.Count(flow.LimitBodyBytes))
	assert.Empty(t, ts.log.All())
}

// A body for which there is no memory gets 503 and a time to come back, and does not run.
func TestBodyWithoutMemory(t *testing.T) {
	ts, ga := limitedSite(t, func(si *citronstream.Site) { si.Clients.Memory = 2 << 20 })
	res := ts.post(bytes.NewReader(make([]byte, mostBody)), mostBody, site.CallerHeader("r"))
	ts.assertStatus(http.StatusServiceUnavailable, res)
	assert.NotEmpty(t, res.Header.Get("Retry-After"))
	assert.EqualValues(t, 1, ga.limits.Count(flow.LimitMemory))
	ts.assertStatus(http.StatusOK, ts.post(strings.NewReader("small"), 5, site.CallerHeader("s")))
	assert.Empty(t, ts.log.Of("r"))
}

// A body that brings nothing is refused after a time, without having run. One that goes on
// slowly is served. Guards against clients that hold memory for good.
func TestBodyThatStalls(t *testing.T) {
	const stall = 500 * time.Millisecond
	ts, ga := limitedSite(t, func(si *citronstream.Site) { si.Clients.BodyStall = stall })
	send := func(id string, parts int) *http.Response {
		reader, writer := io.Pipe()
		go func() {
			for range parts {
				_, _ = writer.Write(make([]byte, 4<<10))
				ts.clk.Sleep(stall / 5)
			}
		}()
		res := ts.post(reader, 10*4<<10, site.CallerHeader(id))
		_ = reader.Close()
		return res
	}
	ts.assertStatus(http.StatusRequestTimeout, send("stalls", 5))
	assert.EqualValues(t, 1, ga.limits.Count(flow.LimitBodyStall))
	assert.Empty(t, ts.log.Of("stalls"))
	ts.assertStatus(http.StatusOK, send("slow", 10))
}

// Guards against a caller that holds the memory of its answer for good by not reading it.
func TestAnswerThatIsNotRead(t *testing.T) {
	ts, ga := limitedSite(t, func(si *citronstream.Site) { si.Clients.ReadStall = 300 * time.Millisecond })
	big := http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write(make([]byte, 7<<20)) })
	ts.upstreams["d1"].Answer.Store(&big)
	nc, err := net.Dial("tcp", ga.site.Callers)
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	require.NoError(t, nc.(*net.TCPConn).SetReadBuffer(4<<10))
	var head strings.Builder
	require.NoError(t, site.CallerHeader("r").Write(&head))
	for range 2 { // the kernel takes some MB for the client
		_, err = io.WriteString(nc, "GET /look/ HTTP/1.1\r\nHost: h\r\n"+head.String()+"\r\n")
		require.NoError(t, err)
	}
	ts.waitFor(func() bool { return ga.limits.Count(flow.LimitReadStall) == 1 }, "the answer is not given up")
	ts.waitFor(func() bool { return ga.memory.Used() == 0 }, "memory is not given back")
}

// Guards against connections to the readiness address that take all descriptors, and heads
// that take the memory.
func TestServiceAddressesAreBounded(t *testing.T) {
	ts, ga := limitedSite(t, nil)
	closed := func(nc net.Conn) bool {
		require.NoError(t, nc.SetReadDeadline(ts.clk.Now().Add(testWait)))
		_, err := nc.Read(make([]byte, 1))
		return err == io.EOF || errors.Is(err, syscall.ECONNRESET)
	}
	var conns []net.Conn
	for range serviceConns + 1 {
		nc, err := net.Dial("tcp", ga.site.Ready)
		require.NoError(t, err)
		defer func() { _ = nc.Close() }()
		conns = append(conns, nc)
	}
	assert.True(t, closed(conns[serviceConns]), "the last one is closed at once")
	for _, nc := range conns {
		_ = nc.Close()
	}
	ready := func(more string) (answer string) {
		ts.waitFor(func() bool {
			nc, err := net.Dial("tcp", ga.site.Ready)
			require.NoError(t, err)
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, "GET /readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+more+"\r\n") // may be refused
			raw, _ := io.ReadAll(nc)
			answer = string(raw)
			return len(raw) > 0
		}, "no answer")
		return answer
	}
	assert.Contains(t, ready(""), "HTTP/1.1 200 ")
	assert.Contains(t, ready(strings.Repeat("a:\r\n", 8<<10)), "HTTP/1.1 431 ")
}

// testWait bounds waits.
const testWait = 10 * time.Second

// Guards against defaults that do not fit the instances of docs/plan.md.
func TestDefaultLimits(t *testing.T) {
	for _, of := range []struct{ memory, descriptors, connections, upstream int }{
		{144e6, 3075, 2157, 430}, {536e6, 8192, 5994, 1198}, {0, 0, 0, 0},
	} {
		si := &citronstream.Site{Memory: of.memory, Descriptors: of.descriptors}
		li := clientLimits(si)
		assert.Equal(t, of.connections, li.Connections)
		assert.Equal(t, of.upstream, maxUpstream(si))
		if of.memory == 0 {
			assert.Zero(t, li)
			assert.Zero(t, MemoryLimit(si))
			continue
		}
		assert.GreaterOrEqual(t, li.Memory, minCallerMemory)
		assert.LessOrEqual(t, ownMemory+memoryFactor*li.Memory, of.memory)
		assert.Less(t, MemoryLimit(si), int64(of.memory))
	}
}
