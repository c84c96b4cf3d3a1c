package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/peer"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/settings"
)

// authority is a certificate authority for instances.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
	next int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, next: 2}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.key = key
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// issue writes the TLS files of an instance to folder.
func (a *authority) issue(folder string) settings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	a.next++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.next), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	files := settings.TLS{
		CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: filepath.Join(folder, "ca.pem"),
	}
	for name, data := range map[string][]byte{
		files.CertFile: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		files.KeyFile:  pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
		files.CAFile:   a.pem,
	} {
		require.NoError(a.t, os.WriteFile(name, data, 0o600))
	}
	return files
}

// echo answers each request with its ID.
type echo struct{}

func (echo) Handle(_ context.Context, r *relay.Request) *relay.Answer {
	a := &relay.Answer{Outcome: retry.Run, Reason: relay.Served, Status: 200}
	relay.SetBytes(a, []byte(r.ID))
	return a
}

// start runs a peer service until the test ends.
func start(t *testing.T, tls settings.TLS) (*peer.Service, string) {
	s := settings.Default()
	s.TLS = tls
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	svc := &peer.Service{
		Settings: &s, Handler: echo{}, Log: zap.NewNop(),
		Listen: func(string, string) (net.Listener, error) { return l, nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan struct{}), make(chan struct{})
	k := &kernel.Kernel{Services: []kernel.Service{svc}, Ready: func() { close(ready) }, StopTimeout: time.Second}
	go func() {
		defer close(done)
		assert.NoError(t, k.Run(ctx))
	}()
	<-ready
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return svc, l.Addr().String()
}

func call(from *peer.Service, address string) *relay.Answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return from.Client().Handle(ctx, address, &relay.Request{ID: "r1", Method: "GET", URI: "/", Body: &relay.Body{}})
}

func TestMutualTLS(t *testing.T) {
	a := newAuthority(t)
	server, address := start(t, a.issue(t.TempDir()))
	client, _ := start(t, a.issue(t.TempDir()))
	for _, from := range []*peer.Service{server, client} {
		got := call(from, address)
		require.Equal(t, retry.Run, got.Outcome, got.Reason)
		data, ok := relay.Bytes(got)
		require.True(t, ok)
		assert.Equal(t, "r1", string(data))
	}
}

// A peer without TLS, or with a certificate of another authority, is rejected,
// and its request is not run.
func TestMutualTLSRejectsOthers(t *testing.T) {
	a := newAuthority(t)
	_, address := start(t, a.issue(t.TempDir()))
	plain, plainAddress := start(t, settings.TLS{})
	untrusted, _ := start(t, newAuthority(t).issue(t.TempDir()))
	for name, from := range map[string]*peer.Service{"plain": plain, "untrusted": untrusted} {
		got := call(from, address)
		assert.NotEqual(t, retry.Run, got.Outcome, name)
	}
	trusted, _ := start(t, a.issue(t.TempDir()))
	assert.NotEqual(t, retry.Run, call(trusted, plainAddress).Outcome)
}

func TestMissingFilesAreReported(t *testing.T) {
	s := settings.Default()
	s.TLS = settings.TLS{CertFile: "absent.pem", KeyFile: "absent.pem", CAFile: "absent.pem"}
	svc := &peer.Service{Settings: &s, Handler: echo{}, Log: zap.NewNop()}
	k := &kernel.Kernel{Services: []kernel.Service{svc}}
	err := k.Run(context.Background())
	require.ErrorContains(t, err, "load certificate")
}
