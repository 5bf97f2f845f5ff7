// Package dialer keeps one link to a peer open and replaces it when it ends.
package dialer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
)

// Times of connecting. The wait between attempts doubles from minBackoff to
// maxBackoff, with jitter, so that the dialers do not all reach a restarted peer at once.
const (
	minBackoff  = 50 * time.Millisecond
	maxBackoff  = 2 * time.Second
	dialTimeout = time.Second
)

// Dialer keeps a link to one address.
type Dialer struct {
	clk     citronstream.Clock
	eng     *nbconn.Engine
	address string
	handler link.Handler
	onUp    func(ctx context.Context, li *link.Link) error
	onDown  func(err error)
	linkOpt []link.Option

	state atomic.Pointer[state]
	done  chan struct{}
}

// state is the result of the last attempt to connect.
type state struct {
	li      *link.Link    // nil while there is none
	changed chan struct{} // closed when the next state replaces this one
}

// Option changes a Dialer.
type Option func(*Dialer)

// WithUp sets what runs on each new link before it is used, such as the
// exchange of Hello. An error closes the link.
func WithUp(up func(ctx context.Context, li *link.Link) error) Option {
	return func(di *Dialer) { di.onUp = up }
}

// WithDown sets what runs when a link ended or could not be opened.
func WithDown(down func(err error)) Option { return func(di *Dialer) { di.onDown = down } }

// WithLinkOptions passes options on to each link.
func WithLinkOptions(opts ...link.Option) Option { return func(di *Dialer) { di.linkOpt = opts } }

// New starts to connect. The dialer ends with ctx.
func New(ctx context.Context, clk citronstream.Clock, eng *nbconn.Engine, address string, handler link.Handler, opts ...Option) *Dialer {
	di := &Dialer{
		clk: clk, eng: eng, address: address, handler: handler, done: make(chan struct{}),
		onUp:   func(context.Context, *link.Link) error { return nil },
		onDown: func(error) {},
	}
	for _, opt := range opts {
		opt(di)
	}
	di.state.Store(&state{changed: make(chan struct{})})
	go di.run(ctx)
	return di
}

// Address returns the peer's address.
func (di *Dialer) Address() string { return di.address }

// Done is closed when the dialer has ended.
func (di *Dialer) Done() <-chan struct{} { return di.done }

// Link returns the open link, or nil.
func (di *Dialer) Link() *link.Link { return di.state.Load().li }

// Wait returns the open link, waiting for one until ctx ends.
func (di *Dialer) Wait(ctx context.Context) (*link.Link, error) {
	for {
		st := di.state.Load()
		if st.li != nil {
			return st.li, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-di.done:
			return nil, link.ErrLost
		case <-st.changed:
		}
	}
}

// Reopened returns the link that replaces a lost one, or nil if the next attempt to
// connect fails or ctx ends before.
func (di *Dialer) Reopened(ctx context.Context, lost *link.Link) *link.Link {
	for {
		st := di.state.Load()
		if st.li != nil && st.li != lost {
			return st.li
		}
		select {
		case <-ctx.Done():
			return nil
		case <-di.done:
			return nil
		case <-st.changed:
		}
		if st.li == nil {
			return di.Link() // nil after a failed attempt
		}
	}
}

func (di *Dialer) run(ctx context.Context) {
	defer close(di.done)
	wait := minBackoff
	for ctx.Err() == nil {
		li, err := di.open(ctx)
		if err == nil {
			wait = minBackoff
			di.publish(li)
			<-li.Done()
			di.publish(nil)
			err = li.Err()
		} else {
			di.publish(nil)
		}
		if ctx.Err() != nil {
			return
		}
		di.onDown(err)
		select {
		case <-ctx.Done():
		case <-di.clk.After(wait/2 + rand.N(wait)):
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (di *Dialer) open(ctx context.Context) (*link.Link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	stream, err := di.eng.Dial(dialCtx, di.address)
	if err != nil {
		return nil, err
	}
	li := link.New(ctx, di.clk, stream, di.handler, di.linkOpt...)
	if err := di.onUp(dialCtx, li); err != nil {
		li.Close()
		<-li.Done()
		return nil, err
	}
	return li, nil
}

// publish replaces the link, by nil after a failed attempt, and wakes the callers
// of Wait and Reopened.
func (di *Dialer) publish(li *link.Link) {
	close(di.state.Swap(&state{li: li, changed: make(chan struct{})}).changed)
}
