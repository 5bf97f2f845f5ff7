// Package gateway is the command `citronstream gateway`.
package gateway

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/observe/asynclog"
	process "github.com/citronstream/citronstream/internal/process/gateway"
	"github.com/citronstream/citronstream/platform"
	"github.com/go-logr/logr"
)

// gcPercent is how much the heap may grow between two collections. The memory of
// all gateways at their peak costs the users more than the time of collections.
const gcPercent = 50

// Command serves requests on the users' platform until SIGTERM or an interrupt.
type Command struct {
	Settings string `help:"Settings file that the platform gives to the process." env:"CITRONSTREAM_CONFIG" required:"" type:"path"`
	// The platform assigns no port for metrics, so the deploy file and this flag must
	// name the same one.
	MetricsPort int `help:"Port of the metrics; 0 serves none." default:"0"`
}

// Run implements the command.
func (co *Command) Run(clk citronstream.Clock, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer signal.Stop(signals)
	site, err := platform.ReadSite(co.Settings)
	if err != nil {
		return err
	}
	if limit := process.MemoryLimit(site); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	if co.MetricsPort > 0 {
		site.Metrics = net.JoinHostPort(site.Address, strconv.Itoa(co.MetricsPort))
	}
	logCtx, stop := context.WithCancel(context.Background())
	writer := asynclog.New(logCtx, clk, out)
	defer func() {
		stop()
		<-writer.Done()
	}()
	log := writer.Logger("process", site.Process)
	ga, err := process.New(context.Background(), clk, log, site)
	if err != nil {
		return err
	}
	if err := ga.Start(); err != nil {
		log.Error(err, "start failed")
		return err
	}
	co.wait(signals, log, ga)
	ga.Stop()
	log.Info("stopped")
	return nil
}

// wait reloads the settings on SIGHUP; on any other signal it drains the process
// and returns.
func (co *Command) wait(signals chan os.Signal, log logr.Logger, ga *process.Gateway) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			ga.Drain()
			return
		}
		site, err := platform.ReadSite(co.Settings)
		if err != nil {
			log.Error(err, "settings not reloaded")
			continue
		}
		log.Info("settings reloaded", "process", site.Process)
	}
}
