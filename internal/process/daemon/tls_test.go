package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/config/settings"
	entryserver "github.com/citronstream/citronstream/internal/entry/server"
	"github.com/citronstream/citronstream/internal/operator/client"
	"github.com/citronstream/citronstream/internal/operator/server"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/citronstream/citronstream/internal/entry/catalog"
	"github.com/jonboulle/clockwork"
)

// certificate writes a self-signed certificate for 127.0.0.1 and its key.
func certificate(t *testing.T, name string) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	now := clockwork.NewRealClock().Now()
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	raw, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	dir := t.TempDir()
	certFile, keyFile = filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw}), 0o600))
	return certFile, keyFile
}

// certPool returns the certificate authorities in a file.
func certPool(t *testing.T, file string) *x509.CertPool {
	t.Helper()
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	po := x509.NewCertPool()
	require.True(t, po.AppendCertsFromPEM(raw))
	return po
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// Guards against addresses that serve plain HTTP, or clients without a certificate,
// although the settings name certificates.
func TestTLS(t *testing.T) {
	certFile, keyFile := certificate(t, "process")
	clientCert, clientKey := certificate(t, "operator")
	config, err := loadTLS(settings.TLS{CertFile: certFile, KeyFile: keyFile, ClientCAFile: clientCert})
	require.NoError(t, err)
	clk := clockwork.NewRealClock()
	known, err := tls.LoadX509KeyPair(clientCert, clientKey)
	require.NoError(t, err)
	trusted := &tls.Config{RootCAs: certPool(t, certFile), Certificates: []tls.Certificate{known}, MinVersion: tls.VersionTLS12}

	t.Run("operators", func(t *testing.T) {
		en := citronstream.Entry{Name: "entry-1", Admin: freeAddress(t)}
		se := server.New(clk, en.Admin, newEntry(&Daemon{clk: clk, settings: settings.New()}), server.WithTLS(config))
		require.NoError(t, se.Start(context.Background()))
		defer se.Stop()
		fl := &citronstream.Fleet{Entries: []citronstream.Entry{en}}
		ask := func(opts ...client.Option) error {
			_, err := client.New(fl, opts...).Ask(context.Background(), en, http.MethodGet, "/healthz", nil)
			return err
		}
		assert.NoError(t, ask(client.WithTLS(trusted)))
		assert.Error(t, ask(client.WithTLS(&tls.Config{RootCAs: trusted.RootCAs, MinVersion: tls.VersionTLS12})), "without a certificate")
		assert.Error(t, ask(client.WithTLS(&tls.Config{Certificates: trusted.Certificates, MinVersion: tls.VersionTLS12})), "unknown authority")
		assert.Error(t, ask(), "plain HTTP")
	})
	t.Run("callers", func(t *testing.T) {
		address := freeAddress(t)
		se := entryserver.New(clk, address, nil, func() *catalog.Catalog { return nil }, citronstream.DefaultLimits(), entryserver.WithTLS(config))
		require.NoError(t, se.Start(context.Background()))
		defer se.Stop()
		tr := &http.Transport{TLSClientConfig: trusted}
		defer tr.CloseIdleConnections()
		rs, err := (&http.Client{Transport: tr}).Get("https://" + address + "/healthz")
		require.NoError(t, err)
		defer rs.Body.Close()
		assert.Equal(t, http.StatusOK, rs.StatusCode)
	})
	t.Run("errors name the key", func(t *testing.T) {
		_, err := loadTLS(settings.TLS{CertFile: "missing", KeyFile: keyFile})
		assert.ErrorContains(t, err, "settings key Process.TLS")
		_, err = loadTLS(settings.TLS{CertFile: certFile, KeyFile: keyFile, ClientCAFile: keyFile})
		assert.ErrorContains(t, err, "settings key Process.TLS.ClientCAFile")
	})
}
