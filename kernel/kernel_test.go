package kernel_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/kernel"
)

// fake is a service that records its starts and stops in events.
type fake struct {
	name   string
	events *[]string
	start  func(k *kernel.Kernel) error
}

func (f *fake) Name() string { return f.name }

func (f *fake) Start(_ context.Context, k *kernel.Kernel) error {
	*f.events = append(*f.events, "start "+f.name)
	if f.start != nil {
		return f.start(k)
	}
	return nil
}

func (f *fake) Stop(context.Context) error {
	*f.events = append(*f.events, "stop "+f.name)
	return nil
}

func TestRunStopsInReverseOrder(t *testing.T) {
	var events []string
	ctx, cancel := context.WithCancel(context.Background())
	k := &kernel.Kernel{
		Services: []kernel.Service{
			&fake{name: "store", events: &events},
			&fake{name: "front", events: &events},
		},
		Ready: cancel,
	}
	require.NoError(t, k.Run(ctx))
	assert.Equal(t, []string{"start store", "start front", "stop front", "stop store"}, events)
}

func TestRunReportsFailedStart(t *testing.T) {
	var events []string
	k := &kernel.Kernel{Services: []kernel.Service{
		&fake{name: "store", events: &events},
		&fake{name: "front", events: &events, start: func(*kernel.Kernel) error { return errors.New("port taken") }},
		&fake{name: "peer", events: &events},
	}}
	err := k.Run(context.Background())
	require.ErrorContains(t, err, `start service "front": port taken`)
	assert.Equal(t, []string{"start store", "start front", "stop store"}, events)
}

func TestRunReportsPanicOfTask(t *testing.T) {
	var events []string
	k := &kernel.Kernel{Services: []kernel.Service{
		&fake{name: "store", events: &events, start: func(k *kernel.Kernel) error {
			k.Go("store", func(context.Context) error { panic("broken index") })
			return nil
		}},
	}}
	err := k.Run(context.Background())
	require.ErrorContains(t, err, `service "store"`)
	require.ErrorContains(t, err, "broken index")
	assert.Contains(t, events, "stop store")
}

func TestGet(t *testing.T) {
	var events []string
	k := &kernel.Kernel{Services: []kernel.Service{&fake{name: "store", events: &events}}}

	got, err := kernel.Get[*fake](k, "store")
	require.NoError(t, err)
	assert.Equal(t, "store", got.name)

	_, err = kernel.Get[*fake](k, "front")
	require.ErrorIs(t, err, kernel.ErrNotFound)

	_, err = kernel.Get[interface{ Absent() }](k, "store")
	require.ErrorIs(t, err, kernel.ErrWrongType)
}
