package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/settings"
)

// _reloadCheckInterval is the minimum time between checks whether the files
// changed.
const _reloadCheckInterval = 10 * time.Second

// tlsFiles holds the certificate, key and certificate authorities of the
// settings' files, and reloads them when a handshake finds that they changed.
// If reloading fails, the previous ones stay in use.
type tlsFiles struct {
	settings settings.TLS

	mu    sync.Mutex
	cert  *tls.Certificate
	roots *x509.CertPool
	// modified is the latest modification time of the loaded files.
	modified time.Time
	// checked is when the modification times were last read.
	checked time.Time
}

// load reads the files and fails if one is missing or invalid.
func (f *tlsFiles) load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read()
}

func (f *tlsFiles) read() error {
	modified := f.lastModified()
	cert, err := tls.LoadX509KeyPair(f.settings.CertFile, f.settings.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	pem, err := os.ReadFile(f.settings.CAFile)
	if err != nil {
		return errors.Wrap(err, "load certificate authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s contains no certificate", f.settings.CAFile)
	}
	f.cert, f.roots, f.modified = &cert, roots, modified
	return nil
}

// current returns the certificate and authorities in use, reloading them if the
// files changed.
func (f *tlsFiles) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= _reloadCheckInterval {
		f.checked = now
		if f.lastModified().After(f.modified) {
			_ = f.read() // partly written files are read again after the next check
		}
	}
	return f.cert, f.roots
}

func (f *tlsFiles) lastModified() time.Time {
	var lastModified time.Time
	for _, name := range []string{f.settings.CertFile, f.settings.KeyFile, f.settings.CAFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(lastModified) {
			lastModified = info.ModTime()
		}
	}
	return lastModified
}

// server returns the server configuration, which requires a certificate of each
// peer.
func (f *tlsFiles) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := f.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
				NextProtos:   []string{"h2"},
			}, nil
		},
	}
}

// client returns the client configuration. The authorities are read at each
// handshake, so that a reload applies to new connections.
func (f *tlsFiles) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies against the current authorities.
		VerifyConnection:   f.verifyConnection,
	}
}

func (f *tlsFiles) verifyConnection(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	_, roots := f.current()
	options := x509.VerifyOptions{
		Roots:         roots,
		DNSName:       state.ServerName,
		Intermediates: x509.NewCertPool(),
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return errors.Wrap(err, "verify peer certificate")
	}
	return nil
}
