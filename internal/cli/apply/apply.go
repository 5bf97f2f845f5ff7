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

const configPath = "/v1/admin/config"

// Command replaces the accepted configuration with the Fleet of the settings document.
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
	raw, err := cl.First(ctx, http.MethodGet, configPath, nil)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	var current report.Config
	if err := json.Unmarshal(raw, &current); err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	base := current.Record.Version
	if co.Base != nil {
		base = *co.Base
	}
	di := diff.New(current.Fleet, fl)
	if !co.JSON {
		if err := di.Write(out); err != nil {
			return err
		}
	}
	if di.Empty() && base == current.Record.Version {
		return co.printResult(out, outcome{Base: base, Version: base, Difference: di})
	}
	if !co.Yes {
		if ok, err := co.confirm(out, base); err != nil || !ok {
			return errors.Join(err, errors.New("apply: nothing was changed"))
		}
	}
	version, err := co.submit(ctx, cl, base, fl)
	if err != nil {
		return err
	}
	return co.printResult(out, outcome{Base: base, Version: version, Difference: di})
}

// submit sends the new configuration to the first entry that answers and
// returns the accepted version.
func (co *Command) submit(ctx context.Context, cl *client.Client, base uint64, fl *citronstream.Fleet) (uint64, error) {
	raw, err := cl.First(ctx, http.MethodPost, configPath, report.Apply{Base: base, Fleet: fl})
	var se *client.StatusError
	if errors.As(err, &se) && se.Status == http.StatusConflict {
		return 0, conflictError(se.Body)
	}
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	var applied report.Applied
	if err := json.Unmarshal(raw, &applied); err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	return applied.Version, nil
}

// conflictError returns an error that names the version that was accepted first
// and how the rejected document differs from it.
func conflictError(body []byte) error {
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

func (co *Command) printResult(out io.Writer, oc outcome) error {
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

// confirm asks for confirmation on the terminal. If standard input is not a
// terminal, --yes is required.
func (co *Command) confirm(out io.Writer, base uint64) (bool, error) {
	in := co.in
	if in == nil {
		if !term.IsTerminal(int(os.Stdin.Fd())) {
			return false, errors.New("--yes: required, because standard input is not a terminal")
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
