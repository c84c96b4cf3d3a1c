package gateway

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/forward"
)

// _reloadInterval is how often the settings file is checked for changes: it may
// change without a signal.
const _reloadInterval = 2 * time.Second

// Reload reads the settings again on each hangup signal and when the file changes,
// until ctx ends. Settings with findings are ignored. Only the limits shared with
// other instances change at once; the other settings take effect with the next
// start.
func (g *Gateway) Reload(ctx context.Context, file string, hangups <-chan os.Signal) {
	tick := time.NewTicker(_reloadInterval)
	defer tick.Stop()
	modified := modifiedAt(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-tick.C:
			if at := modifiedAt(file); at.Equal(modified) {
				continue
			}
		}
		modified = modifiedAt(file)
		g.reload(file)
	}
}

func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (g *Gateway) reload(file string) {
	s, err := Load(file)
	if err != nil {
		g.Log.Error("settings were not reloaded", zap.String("error", err.Error()))
		return
	}
	g.forward.Update(func(st *forward.State) { st.SharedLimits = s.sharedLimits() })
	g.Log.Info("settings reloaded")
}
