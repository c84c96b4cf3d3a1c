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

// _reloadInterval is the time between looks at the files.
const _reloadInterval = 10 * time.Second

// keyFiles keeps the certificate, key and authorities of the settings' files,
// and reads them again when a handshake finds that they changed. Files that
// cannot be read leave the former ones in use.
type keyFiles struct {
	settings settings.TLS

	mu       sync.Mutex
	cert     *tls.Certificate
	roots    *x509.CertPool
	modified time.Time
	looked   time.Time
}

// load reads the files.
func (f *keyFiles) load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read()
}

func (f *keyFiles) read() error {
	modified := f.newest()
	cert, err := tls.LoadX509KeyPair(f.settings.CertFile, f.settings.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	pem, err := os.ReadFile(f.settings.CAFile)
	if err != nil {
		return errors.Wrap(err, "load authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("%s holds no certificate", f.settings.CAFile)
	}
	f.cert, f.roots, f.modified = &cert, roots, modified
	return nil
}

// current returns the newest certificate and authorities.
func (f *keyFiles) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.looked) >= _reloadInterval {
		f.looked = now
		if f.newest().After(f.modified) {
			_ = f.read() // half-written files are read again at the next look
		}
	}
	return f.cert, f.roots
}

func (f *keyFiles) newest() time.Time {
	var newest time.Time
	for _, name := range []string{f.settings.CertFile, f.settings.KeyFile, f.settings.CAFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// server returns the configuration of the listening side, which asks each
// peer for a certificate.
func (f *keyFiles) server() *tls.Config {
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

// client returns the configuration of the dialling side. The authorities are
// looked up at each handshake, so that a reload counts for new connections.
func (f *keyFiles) client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := f.current()
			return cert, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies against the newest authorities.
		VerifyConnection:   f.verify,
	}
}

func (f *keyFiles) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
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
		return errors.Wrap(err, "verify peer")
	}
	return nil
}
