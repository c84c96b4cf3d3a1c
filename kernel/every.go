package kernel

import (
	"context"
	"time"
)

// Every calls f at each interval until ctx ends, and then returns nil. It is meant
// for tasks of Kernel.Go.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			f(now)
		}
	}
}
