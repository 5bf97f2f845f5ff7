package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"github.com/citronstream/citronstream/internal/config/settings"
)

// loadTLS loads a process's certificate. It returns nil for plain HTTP.
func loadTLS(set settings.TLS) (*tls.Config, error) {
	if set.CertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(set.CertFile, set.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("settings key Process.TLS: %w", err)
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if set.ClientCAFile == "" {
		return config, nil
	}
	pem, err := os.ReadFile(set.ClientCAFile)
	if err != nil {
		return nil, fmt.Errorf("settings key Process.TLS.ClientCAFile: %w", err)
	}
	config.ClientCAs = x509.NewCertPool()
	if !config.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("settings key Process.TLS.ClientCAFile: %s has no certificate", set.ClientCAFile)
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
