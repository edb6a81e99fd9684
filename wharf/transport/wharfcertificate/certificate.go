package wharfcertificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"
)

// PeerName is the DNS name in the daemons' certificates.
const PeerName = "wagtailwharf-peer"

// checkInterval is the shortest time between two checks of a certificate file for changes.
const checkInterval = time.Second

// ErrNoAuthority means that an authority file contains no certificate.
var ErrNoAuthority = errors.New("no certificate found in authority file")

// Certificate is a certificate and its key, loaded from files that may be replaced while the process runs.
type Certificate struct {
	certificateFile string
	keyFile         string
	mu              sync.Mutex
	current         *tls.Certificate
	modTime         time.Time
	lastCheck       time.Time
}

// Load reads a certificate and its key from PEM files.
func Load(certificateFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certificateFile: certificateFile, keyFile: keyFile}
	return c, trace.Wrap(c.read())
}

func (c *Certificate) read() error {
	info, err := os.Stat(c.certificateFile)
	if err != nil {
		return trace.Wrap(err)
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	c.current = &pair
	c.modTime = info.ModTime()
	return nil
}

// Get returns the certificate. It reloads it if its file has changed, and keeps the last one if that fails. The file is
// checked at most once per checkInterval.
func (c *Certificate) Get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.lastCheck) < checkInterval {
		return c.current
	}
	c.lastCheck = now
	info, err := os.Stat(c.certificateFile)
	if err != nil || info.ModTime().Equal(c.modTime) {
		return c.current
	}
	if err := c.read(); err != nil {
		klog.ErrorS(err, "failed to reload certificate", "file", c.certificateFile)
	}
	return c.current
}

// ServerConfig returns the TLS configuration of a server for callers or operators.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.Get(), nil },
	}
}

// PeerConfig returns the TLS configuration between daemons, for server and client: both sides must present a
// certificate that the authority has signed, and clients check that the server's is issued for PeerName.
func (c *Certificate) PeerConfig(authority *x509.CertPool) *tls.Config {
	config := c.ServerConfig()
	config.MinVersion = tls.VersionTLS13
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = authority
	config.RootCAs = authority
	config.ServerName = PeerName
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.Get(), nil }
	return config
}

// LoadAuthority reads the certificates of an authority from a PEM file.
func LoadAuthority(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, trace.Wrap(ErrNoAuthority)
	}
	return pool, nil
}
