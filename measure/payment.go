package measure

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/payment"
	"github.com/wigeonlock/wigeonlock/standin"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
)

const (
	_paymentInstances = 11
	_paymentTime      = 4 * time.Second
	_paymentDelay     = 5 * time.Millisecond
	// _ownerDelay is the round-trip time between regions.
	_ownerDelay = 70 * time.Millisecond
)

// PaymentResult compares strategies to claim payments.
type PaymentResult struct {
	Runs []PaymentRun `json:"runs"`
}

// PaymentRun is one strategy with one number of callers.
type PaymentRun struct {
	// Strategy is batchedByOwner, where one instance batches the claims of a shard;
	// batchedByEach, where every instance does; or oneSwapPerClaim.
	Strategy string `json:"way"`
	// Callers is the number of callers, spread over all instances, which each send
	// one payment at a time.
	Callers           int     `json:"callers"`
	PaymentsPerSecond float64 `json:"paymentsPerSecond"`
	WritesPerSecond   float64 `json:"storeWritesPerSecond"`
	PaymentsPerWrite  float64 `json:"paymentsPerWrite"`
	P50Ms             float64 `json:"p50Ms"`
	P99Ms             float64 `json:"p99Ms"`
}

// Payment measures payment claims of eleven instances, stored in the stand-in for
// the store.
func Payment(ctx context.Context, o Options) (PaymentResult, error) {
	var r PaymentResult
	for _, callers := range []int{11, 110, 440} {
		o.progress(fmt.Sprintf("%d callers", callers))
		routed, err := paymentBatched(ctx, callers, true)
		if err != nil {
			return r, err
		}
		batched, err := paymentBatched(ctx, callers, false)
		if err != nil {
			return r, err
		}
		perClaim, err := paymentPerClaim(ctx, callers)
		if err != nil {
			return r, err
		}
		r.Runs = append(r.Runs, routed, batched, perClaim)
	}
	return r, nil
}

// directOwners forwards changes between the payment services of this process.
type directOwners struct {
	services []*payment.Service
	self     int
}

// Owner assigns the shards evenly to the services.
func (d *directOwners) Owner(shard int) (address string, local bool) {
	owner := shard % len(d.services)
	return strconv.Itoa(owner), owner == d.self
}

// Change applies a change at another service after the round-trip time between
// regions.
func (d *directOwners) Change(ctx context.Context, address string, c payment.Change) (payment.Result, error) {
	owner, err := strconv.Atoi(address)
	if err != nil {
		return payment.Result{}, err
	}
	time.Sleep(_ownerDelay)
	return d.services[owner].Apply(ctx, c)
}

func paymentBatched(ctx context.Context, callers int, routed bool) (PaymentRun, error) {
	p := &standin.Platform{Delay: _paymentDelay}
	if err := p.Listen("127.0.0.1:0"); err != nil {
		return PaymentRun{}, err
	}
	defer func() { _ = p.Close() }()
	services := make([]*payment.Service, _paymentInstances)
	k := &kernel.Kernel{}
	for i := range services {
		services[i] = &payment.Service{Store: storehttp.New(p.URL())}
		if routed {
			services[i].Owners = &directOwners{services: services, self: i}
		}
		k.Services = append(k.Services, &renamedService{services[i], fmt.Sprint("payment ", i)})
	}
	runCtx, cancel := context.WithCancel(ctx)
	ready := make(chan struct{})
	k.Ready = func() { close(ready) }
	ended := make(chan error, 1)
	go func() { ended <- k.Run(runCtx) }()
	<-ready
	strategy := "batchedByEach"
	if routed {
		strategy = "batchedByOwner"
	}
	run, err := paymentLoad(ctx, p, callers, strategy, func(ctx context.Context, caller int, key payment.Key) error {
		result, err := services[caller%_paymentInstances].Claim(ctx, key, rand.Text())
		if err == nil && result.Kind != payment.Granted {
			err = errors.Errorf("claim result is %s", result.Kind)
		}
		return err
	})
	cancel()
	if endErr := <-ended; err == nil {
		err = endErr
	}
	return run, err
}

// renamedService gives a service a unique name, so that one kernel can run several
// of a kind.
type renamedService struct {
	kernel.Service
	name string
}

// Name returns the unique name.
func (n *renamedService) Name() string { return n.name }

func paymentPerClaim(ctx context.Context, callers int) (PaymentRun, error) {
	p := &standin.Platform{Delay: _paymentDelay}
	if err := p.Listen("127.0.0.1:0"); err != nil {
		return PaymentRun{}, err
	}
	defer func() { _ = p.Close() }()
	stores := make([]*storehttp.Store, _paymentInstances)
	for i := range stores {
		stores[i] = storehttp.New(p.URL())
	}
	return paymentLoad(ctx, p, callers, "oneSwapPerClaim", func(ctx context.Context, caller int, key payment.Key) error {
		_, err := stores[caller%_paymentInstances].Swap(ctx, "payment/"+string(key), 0, []byte(rand.Text()), "")
		return err
	})
}

func paymentLoad(
	ctx context.Context, p *standin.Platform, callers int, strategy string,
	claim func(ctx context.Context, caller int, key payment.Key) error,
) (PaymentRun, error) {
	var n atomic.Int64
	l := newLatencies()
	_, before := p.Calls()
	started := time.Now()
	err := runLoad(ctx, _paymentTime, callers, 0, func(caller int) error {
		key := payment.NewKey("brunnthaler", "bestellung", fmt.Sprint(n.Add(1)))
		sent := time.Now()
		err := claim(ctx, caller, key)
		l.add(time.Since(sent))
		return err
	})
	seconds := time.Since(started).Seconds()
	_, after := p.Calls()
	run := PaymentRun{
		Strategy: strategy, Callers: callers, PaymentsPerSecond: float64(l.count()) / seconds,
		WritesPerSecond: float64(after-before) / seconds, P50Ms: l.percentileMs(_p50), P99Ms: l.percentileMs(_p99),
	}
	run.PaymentsPerWrite = run.PaymentsPerSecond / max(run.WritesPerSecond, 1)
	return run, err
}
