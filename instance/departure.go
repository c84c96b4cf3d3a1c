package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/entry"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/membership"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/settings"
)

// departure is the last service to start, so the first to stop: it makes the
// instance leave look-up answers, and goes on serving until the answers that
// callers keep have run out.
type departure struct {
	settings *settings.Settings
	members  *membership.Service
	keeper   *quota.Service
	front    *entry.Service
	log      *zap.Logger
	kernel   *kernel.Kernel
}

var _ kernel.Service = (*departure)(nil)

func (d *departure) Name() string { return "departure" }

func (d *departure) Start(_ context.Context, k *kernel.Kernel) error {
	d.kernel = k
	return nil
}

func (d *departure) Stop(ctx context.Context) error {
	wait := d.settings.LookupTTL() + min(d.members.PropagationTime(), _longestSpread) + lookup.RefreshInterval
	d.log.Info("instance leaves", zap.Duration("servesFor", wait))
	d.members.Leave(ctx, d.kernel)
	d.front.Leave()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	d.keeper.Leave()
	return nil
}
