package peer

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/settings"
)

// Changed files are loaded; if loading fails, the previous ones stay in use.
func TestTLSFilesAreReloaded(t *testing.T) {
	folder := t.TempDir()
	files := settings.TLS{
		CertFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), CAFile: filepath.Join(folder, "ca.pem"),
	}
	install := func(cert, key, ca []byte, age time.Duration) {
		for name, data := range map[string][]byte{files.CertFile: cert, files.KeyFile: key, files.CAFile: ca} {
			require.NoError(t, os.WriteFile(name, data, 0o600))
			at := time.Now().Add(-age)
			require.NoError(t, os.Chtimes(name, at, at))
		}
	}
	firstCert, firstKey := selfSigned(t)
	install(firstCert, firstKey, firstCert, time.Hour)
	f := &tlsFiles{settings: files}
	require.NoError(t, f.load())
	first, _ := f.current()

	secondCert, secondKey := selfSigned(t)
	install(secondCert, secondKey, secondCert, time.Minute)
	same, _ := f.current()
	assert.Equal(t, first.Certificate, same.Certificate, "not checked again before the interval has passed")
	f.checked = time.Time{}
	second, _ := f.current()
	assert.NotEqual(t, first.Certificate, second.Certificate)

	install([]byte("broken"), secondKey, secondCert, 0)
	f.checked = time.Time{}
	kept, _ := f.current()
	assert.Equal(t, second.Certificate, kept.Certificate)
}
