package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/directory"
	"github.com/wigeonlock/wigeonlock/store"
)

// slowRegistry grants a lease only after release, and holds the registered keys.
type slowRegistry struct {
	mu      sync.Mutex
	keys    map[string]store.Lease
	granted chan struct{}
	release chan struct{}
}

func (r *slowRegistry) Grant(context.Context, time.Duration) (store.Lease, error) {
	close(r.granted)
	<-r.release
	return "7", nil
}

func (r *slowRegistry) Renew(context.Context, store.Lease) error { return nil }

func (r *slowRegistry) Put(_ context.Context, key string, _ []byte, lease store.Lease) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[key] = lease
	return nil
}

func (r *slowRegistry) Delete(_ context.Context, key string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.keys, key)
	return nil
}

func (r *slowRegistry) Revoke(_ context.Context, lease store.Lease) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, l := range r.keys {
		if l == lease {
			delete(r.keys, key)
		}
	}
	return nil
}

// TestStopDuringRenewalLeavesNoRegistration stops an instance while its registration is
// in flight: written afterwards, the key would name a stopped instance to callers.
func TestStopDuringRenewalLeavesNoRegistration(t *testing.T) {
	registry := &slowRegistry{keys: map[string]store.Lease{}, granted: make(chan struct{}), release: make(chan struct{})}
	r := &registration{
		registry: registry, member: directory.Member{Name: "e"}, log: zap.NewNop(), confirmed: func() bool { return true },
		ready: func() error { return nil }, instances: func() int { return 1 }, wakeups: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		assert.NoError(t, r.run(ctx))
	}()
	<-registry.granted
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.end(context.Background())
	}()
	time.Sleep(20 * time.Millisecond)
	close(registry.release)
	<-ended
	cancel()
	done.Wait()
	assert.Empty(t, registry.keys)
}
