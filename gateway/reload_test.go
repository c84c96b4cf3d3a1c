package gateway_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonlock/wigeonlock/gateway"
)

// TestReload checks that settings are reloaded on a signal and on a change of the
// file, and that invalid settings are logged and ignored.
func TestReload(t *testing.T) {
	const good = `{"instance":"e","region":"r","zone":"a","zones":[{"name":"a","region":"r"}],
"callers":{"listen":"127.0.0.1:1"},"readiness":{"listen":"127.0.0.1:2"},"directory":{"listen":"127.0.0.1:3"},
"peers":{"listen":"127.0.0.1:4"},"permits":{"listen":"127.0.0.1:6"},"store":{"address":"127.0.0.1:5"}}`
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(good), 0o600))
	s, err := gateway.Load(file)
	require.NoError(t, err)
	core, lines := observer.New(zapcore.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hangups := make(chan os.Signal, 1)
	go gateway.New(s, zap.New(core)).Reload(ctx, file, hangups)

	hangups <- syscall.SIGHUP
	require.Eventually(t, func() bool { return lines.FilterMessage("settings reloaded").Len() == 1 }, _waitTimeout, _pollInterval)

	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(good, `"a"`, `1`, 1)), 0o600))
	hangups <- syscall.SIGHUP
	require.Eventually(t, func() bool { return lines.FilterMessage("settings were not reloaded").Len() >= 1 }, _waitTimeout, _pollInterval)

	require.NoError(t, os.WriteFile(file, []byte(good), 0o600))
	require.NoError(t, os.Chtimes(file, time.Now(), time.Now().Add(time.Hour)))
	require.Eventually(t, func() bool { return lines.FilterMessage("settings reloaded").Len() >= 2 }, _waitTimeout, _pollInterval)
}
