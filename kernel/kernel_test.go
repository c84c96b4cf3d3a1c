package kernel_test

import (
	"context"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/kernel"
)

type fake struct {
	name    string
	journal *[]string
	start   func(k *kernel.Kernel) error
}

func (f *fake) Name() string { return f.name }

func (f *fake) Start(_ context.Context, k *kernel.Kernel) error {
	*f.journal = append(*f.journal, "start "+f.name)
	if f.start != nil {
		return f.start(k)
	}
	return nil
}

func (f *fake) Stop(context.Context) error {
	*f.journal = append(*f.journal, "stop "+f.name)
	return nil
}

func TestRunStopsInReverse(t *testing.T) {
	var journal []string
	ctx, cancel := context.WithCancel(context.Background())
	k := &kernel.Kernel{
		Services: []kernel.Service{
			&fake{name: "store", journal: &journal},
			&fake{name: "front", journal: &journal},
		},
		Ready: cancel,
	}
	require.NoError(t, k.Run(ctx))
	assert.Equal(t, []string{"start store", "start front", "stop front", "stop store"}, journal)
}

func TestRunReportsFailedStart(t *testing.T) {
	var journal []string
	k := &kernel.Kernel{Services: []kernel.Service{
		&fake{name: "store", journal: &journal},
		&fake{name: "front", journal: &journal, start: func(*kernel.Kernel) error { return errors.New("port taken") }},
		&fake{name: "peer", journal: &journal},
	}}
	err := k.Run(context.Background())
	require.ErrorContains(t, err, `start service "front": port taken`)
	assert.Equal(t, []string{"start store", "start front", "stop store"}, journal)
}

func TestRunReportsPanicOfTask(t *testing.T) {
	var journal []string
	k := &kernel.Kernel{Services: []kernel.Service{
		&fake{name: "store", journal: &journal, start: func(k *kernel.Kernel) error {
			k.Go("store", func(context.Context) error { panic("broken index") })
			return nil
		}},
	}}
	err := k.Run(context.Background())
	require.ErrorContains(t, err, `service "store"`)
	require.ErrorContains(t, err, "broken index")
	assert.Contains(t, journal, "stop store")
}

func TestGet(t *testing.T) {
	var journal []string
	k := &kernel.Kernel{Services: []kernel.Service{&fake{name: "store", journal: &journal}}}

	got, err := kernel.Get[*fake](k, "store")
	require.NoError(t, err)
	assert.Equal(t, "store", got.name)

	_, err = kernel.Get[*fake](k, "front")
	require.ErrorIs(t, err, kernel.ErrNotFound)

	_, err = kernel.Get[interface{ Absent() }](k, "store")
	require.ErrorIs(t, err, kernel.ErrWrongType)
}
