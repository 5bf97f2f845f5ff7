// Package version is the command `citronstream version`.
package version

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
)

// Command prints the version and the revision that the binary was built from.
type Command struct {
	JSON bool `name:"json" help:"Print one JSON object."`
}

// Build describes the binary. Revision and Time are empty for a build
// outside a repository.
type Build struct {
	Version  string `json:"Version"`
	Revision string `json:"Revision,omitempty"`
	Time     string `json:"Time,omitempty"`
	Modified bool   `json:"Modified,omitempty"` // the work tree had changes
	Go       string `json:"Go"`
}

// Read returns the build information embedded in the binary.
func Read() Build {
	bu := Build{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return bu
	}
	bu.Version, bu.Go = info.Main.Version, info.GoVersion
	for _, se := range info.Settings {
		switch se.Key {
		case "vcs.revision":
			bu.Revision = se.Value
		case "vcs.time":
			bu.Time = se.Value
		case "vcs.modified":
			bu.Modified = se.Value == "true"
		}
	}
	return bu
}

// String returns the build information on one line.
func (bu Build) String() string {
	text := "citronstream " + bu.Version
	if bu.Revision != "" {
		text += " " + bu.Revision
	}
	if bu.Modified {
		text += " (modified)"
	}
	return text + " " + bu.Go
}

// Run implements the command.
func (co *Command) Run(out io.Writer) error {
	if co.JSON {
		return json.NewEncoder(out).Encode(Read())
	}
	_, err := fmt.Fprintln(out, Read())
	return err
}
