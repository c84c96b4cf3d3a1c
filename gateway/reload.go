package gateway

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/forward"
)

// _reloadInterval is how often the settings file is looked at: it may change
// without a signal.
const _reloadInterval = 2 * time.Second

// Reload reads the settings again when a hangup comes or the file changes, until
// ctx ends. Settings with findings are left alone. The bounds shared with other
// instances change at once; addresses change with the next start.
func (i *Gateway) Reload(ctx context.Context, file string, hangups <-chan os.Signal) {
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
		i.reload(file)
	}
}

func modifiedAt(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (i *Gateway) reload(file string) {
	s, err := Load(file)
	if err != nil {
		i.Log.Error("settings were not reloaded", zap.String("error", err.Error()))
		return
	}
	i.forward.Update(func(k *forward.State) { k.SharedLimits = s.bounds() })
	i.Log.Info("settings reloaded")
}
