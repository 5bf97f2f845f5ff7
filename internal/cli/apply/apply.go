// Package apply is the command `citronstream apply`.
package apply

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/cli/operate"
	"github.com/citronstream/citronstream/internal/config/diff"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/citronstream/citronstream/internal/operator/report"
	"golang.org/x/term"
)

const path = "/v1/admin/config"

// Command replaces the accepted configuration by the Fleet of the settings.
type Command struct {
	operate.Flags
	Base *uint64 `help:"Version that the change was made from; the default is the one in force." placeholder:"VERSION"`
	Yes  bool    `help:"Don't ask for confirmation."`
	JSON bool    `name:"json" help:"Print the difference and the new version as one JSON object; needs --yes."`

	in io.Reader // where the confirmation is read; nil means standard input
}

// outcome is what --json prints.
type outcome struct {
	Base       uint64     `json:"Base"`
	Version    uint64     `json:"Version"` // equal to Base if nothing changed
	Difference *diff.Diff `json:"Difference"`
}

// Run implements the command.
func (co *Command) Run(ctx context.Context, out io.Writer, lo *operate.Loader) error {
	fl, cl, err := co.Open(lo)
	if err != nil {
		return err
	}
	if co.JSON && !co.Yes {
		return errors.New("--json: needs --yes")
	}
	raw, err := cl.First(ctx, http.MethodGet, path, nil)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	var now report.Config
	if err := json.Unmarshal(raw, &now); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	base := now.Record.Version
	if co.Base != nil {
		base = *co.Base
	}
	di := diff.New(now.Fleet, fl)
	if !co.JSON {
		if err := di.Write(out); err != nil {
			return err
		}
	}
	if di.Empty() && base == now.Record.Version {
		return co.accepted(out, outcome{Base: base, Version: base, Difference: di})
	}
	if !co.Yes {
		if ok, err := co.confirm(out, base); err != nil || !ok {
			return errors.Join(err, errors.New("apply: nothing was changed"))
		}
	}
	version, err := co.offer(ctx, cl, base, fl)
	if err != nil {
		return err
	}
	return co.accepted(out, outcome{Base: base, Version: version, Difference: di})
}

func (co *Command) offer(ctx context.Context, cl *client.Client, base uint64, fl *citronstream.Fleet) (uint64, error) {
	raw, err := cl.First(ctx, http.MethodPost, path, report.Apply{Base: base, Fleet: fl})
	var se *client.StatusError
	if errors.As(err, &se) && se.Status == http.StatusConflict {
		return 0, conflict(se.Body)
	}
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	var done report.Applied
	if err := json.Unmarshal(raw, &done); err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	return done.Version, nil
}

// conflict names the change that was accepted first and the difference to it.
func conflict(body []byte) error {
	var co report.Conflict
	if err := json.Unmarshal(body, &co); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	text := fmt.Sprintf("apply: the change was made from version %d, but version %d of %s by %s (operation %s) is in force; nothing was changed",
		co.Base, co.Winner.Version, co.Winner.At.Format("2006-01-02T15:04:05Z07:00"), co.Winner.Author, co.Winner.OpID)
	if len(co.Changes) > 0 {
		text += "; from it to this document: " + strings.Join(co.Changes, ", ")
	}
	return errors.New(text)
}

func (co *Command) accepted(out io.Writer, oc outcome) error {
	if co.JSON {
		return json.NewEncoder(out).Encode(oc)
	}
	text := fmt.Sprintf("version %d accepted", oc.Version)
	if oc.Version == oc.Base {
		text = fmt.Sprintf("version %d stays in force", oc.Base)
	}
	_, err := fmt.Fprintln(out, text)
	return err
}

// confirm asks on the terminal. Without one, --yes is needed.
func (co *Command) confirm(out io.Writer, base uint64) (bool, error) {
	in := co.in
	if in == nil {
		if !term.IsTerminal(int(os.Stdin.Fd())) {
			return false, errors.New("--yes: needed, because standard input is not a terminal")
		}
		in = os.Stdin
	}
	if _, err := fmt.Fprintf(out, "replace version %d? [y/N] ", base); err != nil {
		return false, err
	}
	line, err := bufio.NewReader(io.LimitReader(in, 64)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return false, err
	}
	return strings.EqualFold(strings.TrimSpace(line), "y"), nil
}
