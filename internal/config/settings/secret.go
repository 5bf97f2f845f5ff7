package settings

import (
	"fmt"
	"io/fs"
	"strings"
)

// maxSecretBytes bounds the peer token. A longer file is probably the wrong one.
const maxSecretBytes = 4096

// Secret is a text that is never printed. The zero value means no secret.
type Secret struct{ text string }

// Reveal returns the text.
func (se Secret) Reveal() string { return se.text }

// Format implements fmt.Formatter, so that no verb prints the text.
func (se Secret) Format(st fmt.State, _ rune) { _, _ = st.Write([]byte("(secret)")) }

// MarshalText implements encoding.TextMarshaler.
func (se Secret) MarshalText() ([]byte, error) { return []byte("(secret)"), nil }

// PeerToken reads the peer token from its file or environment variable. It returns the
// zero Secret if neither is set. Errors name the key, never the content.
func (to Tokens) PeerToken(readFile func(string) ([]byte, error), getenv func(string) string) (Secret, error) {
	switch {
	case to.PeerTokenFile != "":
		raw, err := readFile(to.PeerTokenFile)
		if err != nil {
			return Secret{}, fmt.Errorf("settings key Process.Tokens.PeerTokenFile: %w", err)
		}
		return secretOf("PeerTokenFile", string(raw))
	case to.PeerTokenEnv != "":
		return secretOf("PeerTokenEnv", getenv(to.PeerTokenEnv))
	}
	return Secret{}, nil
}

func secretOf(key, raw string) (Secret, error) {
	text := strings.TrimSpace(raw)
	if text == "" || len(text) > maxSecretBytes {
		return Secret{}, fmt.Errorf("settings key Process.Tokens.%s: the token has %d bytes, want 1 to %d: %w",
			key, len(text), maxSecretBytes, fs.ErrInvalid)
	}
	return Secret{text: text}, nil
}
