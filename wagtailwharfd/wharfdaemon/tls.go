package wharfdaemon

import (
	"crypto/tls"
	"net"

	"github.com/gravitational/trace"

	"wagtailwharf.example/wharf/protocol/wharfsettings"
	"wagtailwharf.example/wharf/transport/wharfcertificate"
)

// enableTLS enables TLS on the listeners for which the settings name a certificate.
func (d *Daemon) enableTLS(l *listeners) error {
	var err error
	if l.callers, err = withTLS(l.callers, &d.settings.TLS.Callers); err != nil {
		return trace.Wrap(err)
	}
	if l.operators, err = withTLS(l.operators, &d.settings.TLS.Operators); err != nil {
		return trace.Wrap(err)
	}
	peers := &d.settings.TLS.Peers
	if !peers.Configured() {
		return nil
	}
	certificate, err := wharfcertificate.Load(peers.CertificateFile, peers.KeyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	authority, err := wharfcertificate.LoadAuthority(peers.AuthorityFile)
	if err != nil {
		return trace.Wrap(err)
	}
	d.peerPool.TLS = certificate.PeerConfig(authority)
	return nil
}

// withTLS wraps listener in TLS if pair is set, and returns it unchanged otherwise.
func withTLS(listener net.Listener, pair *wharfsettings.KeyPair) (net.Listener, error) {
	if !pair.Configured() {
		return listener, nil
	}
	certificate, err := wharfcertificate.Load(pair.CertificateFile, pair.KeyFile)
	if err != nil {
		return listener, trace.Wrap(err)
	}
	return tls.NewListener(listener, certificate.ServerConfig()), nil
}
