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

// Changed files come into use; files that cannot be read leave the former
// ones in use.
func TestKeyFilesAreReadAgain(t *testing.T) {
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
	f := &keyFiles{settings: files}
	require.NoError(t, f.load())
	first, _ := f.current()

	secondCert, secondKey := selfSigned(t)
	install(secondCert, secondKey, secondCert, time.Minute)
	same, _ := f.current()
	assert.Equal(t, first.Certificate, same.Certificate, "not looked at again so soon")
	f.looked = time.Time{}
	second, _ := f.current()
	assert.NotEqual(t, first.Certificate, second.Certificate)

	install([]byte("broken"), secondKey, secondCert, 0)
	f.looked = time.Time{}
	kept, _ := f.current()
	assert.Equal(t, second.Certificate, kept.Certificate)
}
