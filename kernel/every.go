package kernel

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends. It suits Kernel.Go.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			f(now)
		}
	}
}
