package standin

import (
	"context"
	"fmt"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/engine"
	"github.com/citronstream/citronstream/internal/standin/pool"
	"github.com/citronstream/citronstream/internal/standin/record"
	"github.com/citronstream/citronstream/internal/standin/service"
)

// upstream is the stand-in for one upstream.
type upstream interface {
	Start(ctx context.Context, address string) error
	Done() <-chan struct{}
}

// newUpstream returns the stand-in for the service's kind.
func newUpstream(clk citronstream.Clock, fl *citronstream.Fleet, up citronstream.Upstream, log *record.Log) (upstream, error) {
	for i := range fl.Services {
		se := &fl.Services[i]
		if se.Name != up.Service {
			continue
		}
		switch se.Kind {
		case citronstream.KindEngine:
			opts := []engine.Option{engine.WithCapacity(up.Capacity), engine.WithModels(up.Models...)}
			if se.ChecksFencing {
				opts = append(opts, engine.WithFencing())
			}
			return engine.New(clk, up.Name, log, opts...), nil
		case citronstream.KindPlain:
			opts := []service.Option{service.WithCapacity(up.Capacity)}
			if se.ReportsLoad {
				opts = append(opts, service.WithLoadReport())
			}
			return service.New(clk, up.Name, log, opts...), nil
		default:
			return pool.New(clk, up.Name, se.Kind, log, pool.WithCapacity(up.Capacity)), nil
		}
	}
	return nil, fmt.Errorf("upstream %s: no service %q", up.Name, up.Service)
}
