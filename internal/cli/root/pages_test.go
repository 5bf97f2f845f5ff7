package root

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/citronstream/citronstream/internal/proof/faults"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var flagName = regexp.MustCompile(`--([a-z][a-z-]*)`)

// flagSet maps a command to its flags.
type flagSet map[string]map[string]bool

// add adds the flags that occur in text.
func (fs flagSet) add(command, text string) {
	if fs[command] == nil {
		fs[command] = make(map[string]bool)
	}
	for _, match := range flagName.FindAllStringSubmatch(text, -1) {
		fs[command][match[1]] = true
	}
}

// modelFlags returns the flags of the binary, without --help.
func modelFlags(t *testing.T) flagSet {
	parser, err := kong.New((&Root{}).newCommands(newChecker()), kong.Vars{"faults": ""})
	require.NoError(t, err)
	fs := make(flagSet)
	for _, leaf := range parser.Model.Leaves(false) {
		path := strings.Fields(leaf.FullPath())[1:]
		fs.add(strings.Join(path, " "), "")
		for _, fl := range leaf.Flags {
			fs.add(strings.Join(path, " "), "--"+fl.Name)
		}
	}
	return fs
}

func readPage(t *testing.T, name string) string {
	raw, err := os.ReadFile("../../../docs/" + name)
	require.NoError(t, err)
	return string(raw)
}

// manPage returns the man page without font macros and escapes.
func manPage(t *testing.T) string {
	text := strings.ReplaceAll(readPage(t, "citronstream.1"), `\-`, "-")
	return regexp.MustCompile(`(?m)^\.[BIR]+ |\\f.|"`).ReplaceAllString(text, "")
}

// items returns the items of a section of the man page.
func items(t *testing.T, text, from, to string) []string {
	_, text, ok := strings.Cut(text, "\n.SH "+from+"\n")
	require.True(t, ok, from)
	text, _, ok = strings.Cut(text, "\n.SH "+to+"\n")
	require.True(t, ok, to)
	return regexp.MustCompile(`(?m)^\.(?:TP|SS.*)\n`).Split(text, -1)
}

// manFlags returns the flags of the man page, from the items of the commands and
// of the options. An option belongs to the commands listed in parentheses in its
// item; if none are listed, to the operators' commands.
func manFlags(t *testing.T, known flagSet) flagSet {
	text, fs := manPage(t), make(flagSet)
	for _, item := range items(t, text, "COMMANDS", "OPTIONS") {
		for command := range known {
			if regexp.MustCompile(`^` + command + `\b`).MatchString(item) {
				fs.add(command, item)
			}
		}
	}
	for _, item := range items(t, text, "OPTIONS", "EXIT STATUS") {
		option, rest, _ := strings.Cut(item, "\n")
		commands := "apply, status, drain, holds list, holds lift, doubts list, doubts lift, timeline, cost"
		if match := regexp.MustCompile(`^\(([^)]+)\)\n`).FindStringSubmatch(rest); match != nil {
			commands = match[1]
		}
		for command := range strings.SplitSeq(commands, ",") {
			fs.add(strings.TrimSpace(command), option)
		}
	}
	return fs
}

// Guards against a command or flag that is not in the man page, and against one
// in the man page that the binary does not have.
func TestManPage(t *testing.T) {
	known := modelFlags(t)
	assert.Equal(t, known, manFlags(t, known))
	for _, kind := range faults.Kinds() {
		assert.True(t, strings.Contains(manPage(t), kind), "no fault %s in the man page", kind)
	}
}

// Guards against examples and tables of the operations page that name a command
// or flag that the binary does not have.
func TestOperationsPage(t *testing.T) {
	known, text, fs, allFlags := modelFlags(t), readPage(t, "OPERATIONS.md"), make(flagSet), make(map[string]bool)
	for _, flags := range known {
		for name := range flags {
			allFlags[name] = true
		}
	}
	for _, match := range regexp.MustCompile("(?m)^(?:    citronstream |\\| `)((?:inventory |holds |doubts )?[a-z]+)(.*)$").FindAllStringSubmatch(text, -1) {
		if strings.HasPrefix(match[0], " ") {
			assert.Contains(t, known, match[1])
		}
		if known[match[1]] != nil {
			fs.add(match[1], match[2])
		}
	}
	assert.Greater(t, len(fs), 8)
	for command, flags := range fs {
		for name := range flags {
			assert.True(t, known[command][name], "%s has no flag --%s", command, name)
		}
	}
	for _, match := range flagName.FindAllStringSubmatch(text, -1) {
		assert.True(t, allFlags[match[1]], "no command has a flag --%s", match[1])
	}
}
