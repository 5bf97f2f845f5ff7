package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// maxCommands bounds the recorded commands; the oldest are dropped.
const maxCommands = 4096

// Loaded holds the version and adapters of a loaded model.
type Loaded struct {
	Version  string
	Adapters []string
}

// Command is a command as the engine received it.
type Command struct {
	Path     string   `json:"-"`
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	Token    uint64   `json:"-"`
	Refused  bool     `json:"-"` // its fencing token was stale
}

// Commands returns the commands received, in order.
func (se *Server) Commands() []Command {
	se.mu.Lock()
	defer se.mu.Unlock()
	return append([]Command(nil), se.commands...)
}

// Stale returns a command with a lower token than one before it, and false if
// there was none. An engine that checks tokens refuses such a command; for one
// that does not, the guard of its agent must not forward it.
func (se *Server) Stale() (Command, bool) {
	se.mu.Lock()
	defer se.mu.Unlock()
	highest := uint64(0)
	for _, cmd := range se.commands {
		if cmd.Token < highest {
			return cmd, true
		}
		highest = cmd.Token
	}
	return Command{}, false
}

// Role returns the last role that the engine was set to.
func (se *Server) Role() string {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.role
}

func (se *Server) listModels(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	for _, name := range se.Models() {
		list = append(list, model{ID: name, Object: "model"})
	}
	reply(w, http.StatusOK, map[string]any{"object": "list", "data": list})
}

// command serves the commands. The fencing token is in the header Fencing-Token.
func (se *Server) command(w http.ResponseWriter, r *http.Request) {
	cmd := Command{Path: r.URL.Path}
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil {
		replyError(w, http.StatusBadRequest, "malformed command: "+err.Error())
		return
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil && se.fencing {
		replyError(w, http.StatusBadRequest, "header Fencing-Token is missing or malformed")
		return
	}
	cmd.Token = token
	if !se.accept(cmd) {
		replyError(w, http.StatusPreconditionFailed, "stale fencing token")
		return
	}
	if cmd.Path == "/v1/load_model" && !se.hasVersion(cmd) && se.Sleep(r.Context(), loadTime) != nil {
		return
	}
	if !se.apply(cmd) {
		replyError(w, http.StatusPreconditionFailed, "superseded by a command with a newer fencing token")
		return
	}
	reply(w, http.StatusOK, map[string]bool{"ok": true})
}

// accept checks the token and records the command.
func (se *Server) accept(cmd Command) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	cmd.Refused = se.fencing && cmd.Token < se.highestToken
	if len(se.commands) >= maxCommands {
		se.commands = se.commands[1:]
	}
	se.commands = append(se.commands, cmd)
	if !cmd.Refused {
		se.highestToken = max(se.highestToken, cmd.Token)
	}
	return !cmd.Refused
}

// hasVersion reports whether this version of the model is loaded.
func (se *Server) hasVersion(cmd Command) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	held, ok := se.loaded[cmd.Model]
	return ok && held.Version == cmd.Version
}

// apply executes a command, unless a newer one arrived while it was loading.
func (se *Server) apply(cmd Command) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.fencing && cmd.Token < se.highestToken {
		return false
	}
	switch cmd.Path {
	case "/v1/load_model":
		se.loaded[cmd.Model] = Loaded{Version: cmd.Version, Adapters: cmd.Adapters}
	case "/v1/unload_model":
		delete(se.loaded, cmd.Model)
	case "/v1/role":
		se.role = cmd.Role
	}
	return true
}
