package wharfcertificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority signs certificates for tests.
type authority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	a.key = key
	template := a.template()
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) template() *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func (a *authority) path(name string) string {
	return filepath.Join(a.dir, name)
}

func (a *authority) write(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(a.t, os.WriteFile(a.path(name), data, 0o600))
}

// issue writes a certificate and its key, and returns the certificate's serial number.
func (a *authority) issue(name string) int64 {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := a.template()
	template.DNSNames = []string{PeerName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(a.t, err)
	a.write(name+".pem", "CERTIFICATE", der)
	a.write(name+".key", "PRIVATE KEY", keyDER)
	return a.serial
}

func (a *authority) load(name string) *Certificate {
	c, err := Load(a.path(name+".pem"), a.path(name+".key"))
	assert.NilError(a.t, err)
	return c
}

func (a *authority) peer(name string) *tls.Config {
	pool, err := LoadAuthority(a.path("authority.pem"))
	assert.NilError(a.t, err)
	return a.load(name).PeerConfig(pool)
}

// greet has a client and a server shake hands and returns both sides' errors.
func greet(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
		done <- err
	}()
	dialer := &net.Dialer{Timeout: time.Second}
	conn, clientErr := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if clientErr == nil {
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, clientErr = io.ReadFull(conn, make([]byte, 1))
		assert.NilError(t, conn.Close())
	}
	assert.NilError(t, listener.Close())
	return <-done, clientErr
}

func TestPeersNeedCertificatesOfTheAuthority(t *testing.T) {
	a := newAuthority(t)
	a.issue("one")
	a.issue("two")
	serverErr, clientErr := greet(t, a.peer("one"), a.peer("two"))
	assert.NilError(t, serverErr)
	assert.NilError(t, clientErr)

	other := newAuthority(t)
	other.issue("three")
	_, clientErr = greet(t, a.peer("one"), other.peer("three"))
	assert.Assert(t, clientErr != nil, "a server of another authority is refused")

	bare := a.peer("two")
	bare.GetClientCertificate = nil
	serverErr, _ = greet(t, a.peer("one"), bare)
	assert.Assert(t, serverErr != nil, "a client without a certificate is refused")
}

func TestCertificateIsReadAnew(t *testing.T) {
	a := newAuthority(t)
	first := a.issue("one")
	c := a.load("one")
	serial := func() int64 {
		leaf, err := x509.ParseCertificate(c.Get().Certificate[0])
		assert.NilError(t, err)
		return leaf.SerialNumber.Int64()
	}
	assert.Equal(t, serial(), first)
	second := a.issue("one")
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(a.path("one.pem"), later, later))
	c.checked = time.Time{}
	assert.Equal(t, serial(), second)
	assert.NilError(t, os.WriteFile(a.path("one.pem"), []byte("broken"), 0o600))
	c.checked = time.Time{}
	assert.Equal(t, serial(), second, "the last one stays in use")
}
