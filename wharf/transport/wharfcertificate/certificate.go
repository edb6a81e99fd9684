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

// PeerName is the DNS name that the certificates of daemons bear.
const PeerName = "wagtailwharf-peer"

const checkPeriod = time.Second

// ErrNoAuthority says that an authority file holds no certificate.
var ErrNoAuthority = errors.New("no certificate in the authority file")

// Certificate is a certificate and its key, from files that may be replaced while the process runs.
type Certificate struct {
	certificateFile string
	keyFile         string
	mu              sync.Mutex
	current         *tls.Certificate
	changed         time.Time
	checked         time.Time
}

// Load reads a certificate and its key.
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
	c.changed = info.ModTime()
	return nil
}

// Get returns the certificate, read anew if its file has changed; one that can't be read leaves the last in use.
func (c *Certificate) Get() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.checked) < checkPeriod {
		return c.current
	}
	c.checked = now
	info, err := os.Stat(c.certificateFile)
	if err != nil || info.ModTime().Equal(c.changed) {
		return c.current
	}
	if err := c.read(); err != nil {
		klog.ErrorS(err, "certificate not read", "file", c.certificateFile)
	}
	return c.current
}

// ServerConfig returns the settings of a server towards callers or operators.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.Get(), nil },
	}
}

// PeerConfig returns the settings of a daemon towards others, as server and as client: both sides show a certificate
// that the authority has signed for PeerName.
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

// LoadAuthority reads the certificates of an authority.
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
