package operate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/operator/client"
	"golang.org/x/term"
)

// envToken is the environment variable with the operator's token, read unless
// --token-file is given.
const envToken = "CITRONSTREAM_TOKEN"

// Flags holds the flags shared by all commands that work on a running fleet.
type Flags struct {
	Settings  string        `required:"" help:"Settings document with the Fleet whose entries are asked." type:"existingfile"`
	TokenFile string        `help:"File with the operator's token; without it the environment variable CITRONSTREAM_TOKEN." placeholder:"FILE"`
	CA        string        `name:"ca" help:"PEM file with the authority of the processes' certificates; asks over HTTPS." placeholder:"FILE"`
	Cert      string        `help:"PEM file with the operator's certificate." placeholder:"FILE"`
	Key       string        `help:"PEM file with the key of --cert." placeholder:"FILE"`
	Timeout   time.Duration `help:"Longest wait for one entry." default:"10s"`
}

// Open reads the settings and returns their fleet and a client for its entries.
func (fl *Flags) Open(lo *Loader) (*citronstream.Fleet, *client.Client, error) {
	set, err := lo.Settings(fl.Settings)
	if err != nil {
		return nil, nil, err
	}
	if set.Fleet == nil {
		return nil, nil, fmt.Errorf("--settings: %s has no Fleet", fl.Settings)
	}
	opts := []client.Option{client.WithTimeout(fl.Timeout)}
	token := os.Getenv(envToken)
	if fl.TokenFile != "" {
		raw, err := os.ReadFile(fl.TokenFile)
		if err != nil {
			return nil, nil, fmt.Errorf("--token-file: %w", err)
		}
		token = string(raw)
	}
	if token = strings.TrimSpace(token); token != "" {
		opts = append(opts, client.WithToken(token))
	}
	if fl.CA != "" {
		config, err := fl.tlsConfig()
		if err != nil {
			return nil, nil, err
		}
		opts = append(opts, client.WithTLS(config))
	}
	return set.Fleet, client.New(set.Fleet, opts...), nil
}

func (fl *Flags) tlsConfig() (*tls.Config, error) {
	pem, err := os.ReadFile(fl.CA)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	config := &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12}
	if !config.RootCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("--ca: %s has no certificate", fl.CA)
	}
	if (fl.Cert == "") != (fl.Key == "") {
		return nil, errors.New("--cert: --cert and --key are given together or not at all")
	}
	if fl.Cert != "" {
		cert, err := tls.LoadX509KeyPair(fl.Cert, fl.Key)
		if err != nil {
			return nil, fmt.Errorf("--cert: %w", err)
		}
		config.Certificates = []tls.Certificate{cert}
	}
	return config, nil
}

// Progress returns a function that prints to standard error how many entries have
// answered. It prints nothing if standard error is not a terminal.
func Progress() func(done, total int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return func(int, int) {}
	}
	return progressTo(os.Stderr)
}

func progressTo(wr io.Writer) func(done, total int) {
	return func(done, total int) {
		end := ""
		if done == total {
			end = "\r\x1b[K"
		}
		_, _ = fmt.Fprintf(wr, "\r%d of %d entries%s", done, total, end)
	}
}

// Missing returns an error that names the entries without an answer.
func Missing(answers []client.Answer) error {
	var names []string
	var last error
	for _, ans := range answers {
		if ans.Err != nil {
			names, last = append(names, ans.Entry), ans.Err
		}
	}
	if len(names) == 0 {
		return nil
	}
	return fmt.Errorf("no answer from %d of %d entries (%s): %w", len(names), len(answers), strings.Join(names[:min(len(names), 10)], ", "), last)
}
