// Package drain is the command `citronstream drain`.
package drain

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/operator/report"
)

// Command takes an entry or an agent out of service. The process completes
// the work that it has accepted and then exits with code 0.
type Command struct {
	operate.Flags
	Name string `arg:"" help:"Entry, or upstream whose agent is drained."`
}

// Run implements the command. It returns once the drain has started.
func (co *Command) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	fl, cl, err := co.Open(lo)
	if err != nil {
		return err
	}
	const path = "/v1/admin/drain"
	body := report.Drain{Name: co.Name}
	found := false
	for _, en := range fl.Entries {
		if en.Name == co.Name {
			_, err = cl.Ask(ctx, en, http.MethodPost, path, body)
			found = true
		}
	}
	if !found {
		_, err = cl.First(ctx, http.MethodPost, path, body)
	}
	if err != nil {
		return fmt.Errorf("drain %s: %w", co.Name, err)
	}
	_, err = fmt.Fprintf(out, "%s drains\n", co.Name)
	return err
}
