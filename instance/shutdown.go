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

// shutdown is the last service to start and therefore the first to stop. On Stop
// the instance is removed from lookup answers and goes on serving until the
// answers that callers have cached have expired.
type shutdown struct {
	settings *settings.Settings
	members  *membership.Service
	quotas   *quota.Service
	frontend *entry.Service
	log      *zap.Logger
	kernel   *kernel.Kernel
}

var _ kernel.Service = (*shutdown)(nil)

func (s *shutdown) Name() string { return "departure" }

func (s *shutdown) Start(_ context.Context, k *kernel.Kernel) error {
	s.kernel = k
	return nil
}

func (s *shutdown) Stop(ctx context.Context) error {
	wait := s.settings.LookupTTL() + min(s.members.PropagationTime(), _maxPropagationTime) + lookup.RefreshInterval
	s.log.Info("instance shuts down", zap.Duration("servesFor", wait))
	s.members.Leave(ctx, s.kernel)
	s.frontend.DisableKeepAlive()
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	s.quotas.Leave()
	return nil
}
