// Package kernel starts named services in order and stops them in reverse order.
//
// A service gets another one by its name and type through Get. If a service fails
// to start, panics or ends with an error, the others are stopped and the error
// names that service.
//
// # Usage
//
//	k := &kernel.Kernel{Services: []kernel.Service{store, frontend}}
//	err := k.Run(ctx)
//
// A service gets another one while it starts:
//
//	follower, err := kernel.Get[*rollout.Follower](k, "rollout")
package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// ErrNotFound is returned when no service has the requested name.
var ErrNotFound = errors.New("service not found")

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("aborted")

// ErrWrongType is returned when the service found is not of the requested type.
var ErrWrongType = errors.New("service has another type")

// _stopTimeout is the default of Kernel.StopTimeout.
const _stopTimeout = 30 * time.Second

// Service is a part of the process that starts and stops by name.
type Service interface {
	// Name identifies the service within its kernel.
	Name() string
	// Start returns once the service is ready. It starts background tasks with
	// Kernel.Go.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service gracefully, within the deadline of ctx.
	Stop(ctx context.Context) error
}

// Kernel runs services. The exported fields are set before Run.
type Kernel struct {
	// Services are started in this order and stopped in reverse order.
	Services []Service
	// StopTimeout is the time limit for stopping all services together, by default
	// 30 seconds.
	StopTimeout time.Duration
	// Ready is called once every service has started.
	Ready func()

	mu      sync.Mutex
	tasks   conc.WaitGroup
	failure chan error
	aborted atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
}

// Run starts the services, waits until ctx ends or a service fails, and stops
// them. It returns the first failure, which names its service, or ErrAborted after
// Abort.
func (k *Kernel) Run(ctx context.Context) error {
	k.mu.Lock()
	k.failure = make(chan error, 1)
	k.ctx, k.cancel = context.WithCancel(context.WithoutCancel(ctx))
	k.mu.Unlock()
	defer k.cancel()

	started, err := k.start(ctx)
	if err == nil {
		if k.Ready != nil {
			k.Ready()
		}
		select {
		case <-ctx.Done():
		case err = <-k.failure:
		}
	}
	if k.aborted.Load() {
		k.cancel()
		return ErrAborted
	}
	if stopErr := k.stop(ctx, started); err == nil {
		err = stopErr
	}
	return err
}

// Abort ends Run at once, without stopping the services, like a crash.
func (k *Kernel) Abort() {
	k.aborted.Store(true)
	k.fail(ErrAborted)
}

// Go runs a task of the named service in the background. Its context ends when the
// kernel has stopped all services or is aborted; an error or panic of the task
// stops the kernel.
func (k *Kernel) Go(name string, task func(ctx context.Context) error) {
	k.tasks.Go(func() {
		err := Guard(func() error { return task(k.ctx) })
		if err == nil || (errors.Is(err, context.Canceled) && k.ctx.Err() != nil) {
			return
		}
		k.fail(errors.Wrapf(err, "service %q", name))
	})
}

func (k *Kernel) fail(err error) {
	k.mu.Lock()
	failure := k.failure
	k.mu.Unlock()
	select {
	case failure <- err:
	default:
	}
}

// Get returns the service with the given name as a T. It fails with ErrNotFound or
// ErrWrongType.
func Get[T any](k *Kernel, name string) (T, error) {
	var zero T
	for _, s := range k.Services {
		if s.Name() != name {
			continue
		}
		typed, ok := s.(T)
		if !ok {
			return zero, errors.Wrapf(ErrWrongType, "%q is a %T", name, s)
		}
		return typed, nil
	}
	return zero, errors.Wrapf(ErrNotFound, "%q", name)
}

func (k *Kernel) start(ctx context.Context) (int, error) {
	seen := make(map[string]struct{}, len(k.Services))
	for i, s := range k.Services {
		if _, ok := seen[s.Name()]; ok {
			return i, errors.Errorf("service %q: name is used twice", s.Name())
		}
		seen[s.Name()] = struct{}{}
		err := Guard(func() error { return s.Start(ctx, k) })
		if err != nil {
			return i, errors.Wrapf(err, "start service %q", s.Name())
		}
	}
	return len(k.Services), nil
}

func (k *Kernel) stop(ctx context.Context, started int) error {
	limit := k.StopTimeout
	if limit == 0 {
		limit = _stopTimeout
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()

	var first error
	for i := started - 1; i >= 0; i-- {
		s := k.Services[i]
		err := Guard(func() error { return s.Stop(stopCtx) })
		if err != nil && first == nil {
			first = errors.Wrapf(err, "stop service %q", s.Name())
		}
	}
	k.cancel()
	k.tasks.Wait()
	return first
}

// Guard calls f and returns its error, or its panic as an error with the stack. It is
// for work on one message or request, whose panic must not end the process.
func Guard(f func() error) error {
	var (
		catcher panics.Catcher
		err     error
	)
	catcher.Try(func() { err = f() })
	if r := catcher.Recovered(); r != nil {
		return r.AsError()
	}
	return err
}
