// Package configclient gets the configuration of a peer, or only its version, over
// a connection of its own. A process uses it before it has a configuration.
package configclient

import (
	"context"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
)

// requestTimeout bounds one request, with its connection.
const requestTimeout = 2 * time.Second

// Client implements version.Client and version.Fetcher.
type Client struct {
	clk   citronstream.Clock
	eng   *nbconn.Engine
	hello func() citronstream.Hello
}

// New returns a client that sends hello on each new connection.
func New(clk citronstream.Clock, eng *nbconn.Engine, hello func() citronstream.Hello) *Client {
	return &Client{clk: clk, eng: eng, hello: hello}
}

// Version implements version.VersionFetcher.
func (cl *Client) Version(ctx context.Context, peer string) (uint64, error) {
	var he citronstream.Hello
	err := cl.do(ctx, peer, func(_ context.Context, _ *link.Link, got citronstream.Hello) error {
		he = got
		return nil
	})
	return he.Version, err
}

// Fetch implements version.Fetcher.
func (cl *Client) Fetch(ctx context.Context, peer string, rq citronstream.ConfigRequest) (version.Document, error) {
	var do version.Document
	err := cl.do(ctx, peer, func(ctx context.Context, li *link.Link, _ citronstream.Hello) error {
		return li.Call(ctx, citronstream.MethodConfig, rq, &do)
	})
	return do, err
}

func (cl *Client) do(ctx context.Context, peer string, request func(context.Context, *link.Link, citronstream.Hello) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer cl.clk.AfterFunc(requestTimeout, cancel).Stop()
	stream, err := cl.eng.Dial(ctx, peer)
	if err != nil {
		return err
	}
	li := link.New(ctx, cl.clk, stream, func(*link.Link, *link.Request) {})
	defer func() {
		li.Close()
		<-li.Done()
	}()
	var he citronstream.Hello
	if err := li.Call(ctx, citronstream.MethodHello, cl.hello(), &he); err != nil {
		return err
	}
	return request(ctx, li, he)
}
