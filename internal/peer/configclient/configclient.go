// Package configclient asks peers by address for the configuration that they hold,
// over a connection of its own. A process uses it before it has a configuration.
package configclient

import (
	"context"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/version"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
)

// askTimeout bounds one question.
const askTimeout = 2 * time.Second

// Client implements version.Client and version.Fetcher.
type Client struct {
	clk   citronstream.Clock
	eng   *nbconn.Engine
	hello func() citronstream.Hello
}

// New returns a client that introduces itself by hello.
func New(clk citronstream.Clock, eng *nbconn.Engine, hello func() citronstream.Hello) *Client {
	return &Client{clk: clk, eng: eng, hello: hello}
}

// Version implements version.Asker.
func (as *Client) Version(ctx context.Context, peer string) (uint64, error) {
	var he citronstream.Hello
	err := as.ask(ctx, peer, func(_ context.Context, _ *link.Link, got citronstream.Hello) error {
		he = got
		return nil
	})
	return he.Version, err
}

// Fetch implements version.Fetcher.
func (as *Client) Fetch(ctx context.Context, peer string, rq citronstream.ConfigRequest) (version.Document, error) {
	var do version.Document
	err := as.ask(ctx, peer, func(ctx context.Context, li *link.Link, _ citronstream.Hello) error {
		return li.Call(ctx, citronstream.MethodConfig, rq, &do)
	})
	return do, err
}

func (as *Client) ask(ctx context.Context, peer string, question func(context.Context, *link.Link, citronstream.Hello) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer as.clk.AfterFunc(askTimeout, cancel).Stop()
	stream, err := as.eng.Dial(ctx, peer)
	if err != nil {
		return err
	}
	li := link.New(ctx, as.clk, stream, func(*link.Link, *link.Request) {})
	defer func() {
		li.Close()
		<-li.Done()
	}()
	var he citronstream.Hello
	if err := li.Call(ctx, citronstream.MethodHello, as.hello(), &he); err != nil {
		return err
	}
	return question(ctx, li, he)
}
