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

// envToken holds the operator's token unless a file is named.
const envToken = "CITRONSTREAM_TOKEN"

// Flags are those of all commands on a running fleet.
type Flags struct {
	Settings  string        `required:"" help:"Settings document with the Fleet whose entries are asked." type:"existingfile"`
	TokenFile string        `help:"File with the operator's token; without it the environment variable CITRONSTREAM_TOKEN." placeholder:"FILE"`
	CA        string        `name:"ca" help:"PEM file with the authority of the processes' certificates; asks over HTTPS." placeholder:"FILE"`
	Cert      string        `help:"PEM file with the operator's certificate." placeholder:"FILE"`
	Key       string        `help:"PEM file with the key of --cert." placeholder:"FILE"`
	Timeout   time.Duration `help:"Longest wait for one entry." default:"10s"`
}

// Open reads the settings and returns their fleet and a client.
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
		config, err := fl.tls()
		if err != nil {
			return nil, nil, err
		}
		opts = append(opts, client.WithTLS(config))
	}
	return set.Fleet, client.New(set.Fleet, opts...), nil
}

func (fl *Flags) tls() (*tls.Config, error) {
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

// Progress returns a function that shows how many entries have answered. It
// writes nothing unless standard error is a terminal.
func Progress() func(done, all int) {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return func(int, int) {}
	}
	return progressTo(os.Stderr)
}

func progressTo(wr io.Writer) func(done, all int) {
	return func(done, all int) {
		end := ""
		if done == all {
			end = "\r\x1b[K"
		}
		_, _ = fmt.Fprintf(wr, "\r%d of %d entries%s", done, all, end)
	}
}

// Missing returns an error that names the entries without an answer.
func Missing(answers []client.Answer) error {
	var names []string
	var last error
	for _, an := range answers {
		if an.Err != nil {
			names, last = append(names, an.Entry), an.Err
		}
	}
	if len(names) == 0 {
		return nil
	}
	return fmt.Errorf("no answer from %d of %d entries (%s): %w", len(names), len(answers), strings.Join(names[:min(len(names), 10)], ", "), last)
}
