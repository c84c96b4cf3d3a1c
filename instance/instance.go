// Package instance builds an entry instance from its services and runs it.
//
// # Usage
//
//	i := instance.New(settings, instance.Options{Log: log})
//	err := i.Run(ctx) // until ctx ends; then the instance shuts down gracefully
package instance

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/admin"
	"github.com/wigeonlock/wigeonlock/admission"
	backendhttp "github.com/wigeonlock/wigeonlock/backend/http"
	"github.com/wigeonlock/wigeonlock/discovery"
	discoveryhttp "github.com/wigeonlock/wigeonlock/discovery/http"
	"github.com/wigeonlock/wigeonlock/dispatch"
	"github.com/wigeonlock/wigeonlock/entry"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/membership"
	"github.com/wigeonlock/wigeonlock/payment"
	"github.com/wigeonlock/wigeonlock/peer"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/rollout"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/store"
	storehttp "github.com/wigeonlock/wigeonlock/store/http"
)

const (
	// _reclaimMargin is added to the maximum time that a request occupies a slot.
	_reclaimMargin = 2 * time.Second
	_stopMargin    = 5 * time.Second
	// _maxPropagationTime limits how long a leaving instance waits until all others
	// know that it is leaving.
	_maxPropagationTime = 15 * time.Second
)

// Options are the dependencies of an instance that its settings do not contain.
type Options struct {
	Log *zap.Logger
	// Store and Directory replace the clients of the platform's URL if set.
	Store     store.Store
	Directory discovery.Directory
	// Seed seeds the random choices.
	Seed uint64
	// Listen replaces net.Listen for all addresses of the instance if set.
	Listen func(network, address string) (net.Listener, error)
}

// Instance is an entry instance with its services.
type Instance struct {
	Settings *settings.Settings

	kernel     *kernel.Kernel
	follower   *rollout.Follower
	quotas     *quota.Service
	members    *membership.Service
	dispatcher *dispatch.Service
}

// New returns an instance with the settings s; Run starts it. o.Log must be set.
func New(s *settings.Settings, o Options) *Instance {
	if o.Store == nil {
		o.Store = storehttp.New(s.Platform.URL)
	}
	if o.Directory == nil {
		o.Directory = &discoveryhttp.Directory{URL: s.Platform.URL}
	}
	if o.Listen == nil {
		o.Listen = net.Listen
	}
	log := o.Log.With(zap.String("instance", s.Instance))
	follower := &rollout.Follower{Store: o.Store, Log: log}
	quotas := &quota.Service{
		Store: o.Store, Lists: follower, Log: log, Instance: s.Instance,
		ReclaimDelay: s.LongestTimeout() + backendhttp.BodyTime + _reclaimMargin,
	}
	payments := &payment.Service{Store: o.Store}
	peers := &peer.Service{Settings: s, Lists: follower, Log: log, Listen: o.Listen}
	members := &membership.Service{Settings: s, Directory: o.Directory, Peers: peers, Lists: follower, Log: log}
	members.Prepare(time.Now())
	quotas.Rank = members.RankOfAll
	admitter := &admission.Service{Settings: s, Lists: follower, Shift: quotas, Members: members, Seed: o.Seed}
	members.Workers = admitter
	peers.Handler, peers.Gossip, peers.Claims = admitter, members, payments
	payments.Owners = &owners{settings: s, members: members, peers: peers}
	dispatcher := &dispatch.Service{
		Settings: s, Local: admitter, Members: members, Lists: follower, Peers: peers, Payments: payments,
		Log: log, Seed: o.Seed,
	}
	lookups := &lookup.Service{Settings: s, Members: members, Lists: follower}
	frontend := &entry.Service{Settings: s, Dispatch: dispatcher, Lookup: lookups, Log: log, Listen: o.Listen}
	follower.OnChange(func(c rollout.Current) { quotas.Configure(c.Version, c.Index) })

	i := &Instance{
		Settings: s, follower: follower, quotas: quotas, members: members, dispatcher: dispatcher,
	}
	frontend.Version = i.ListsVersion
	i.kernel = &kernel.Kernel{
		Services: []kernel.Service{
			&admin.Service{Address: s.Admin.Listen, Ready: i.Ready, Status: i.status, Listen: o.Listen},
			quotas, follower, payments, admitter, peers, members, dispatcher, lookups, frontend,
			&shutdown{settings: s, members: members, quotas: quotas, frontend: frontend, log: log},
		},
		StopTimeout: s.LookupTTL() + _maxPropagationTime + s.Drain() + _stopMargin,
		Ready:       func() { log.Info("instance started", zap.String("callers", s.Callers.Listen)) },
	}
	return i
}

// Run runs the instance until ctx ends, and then shuts it down gracefully. It
// returns the first failure of a service.
func (i *Instance) Run(ctx context.Context) error {
	return i.kernel.Run(ctx)
}

// Abort ends the instance at once, without a graceful shutdown, like a crash.
func (i *Instance) Abort() {
	i.kernel.Abort()
}

// Ready returns nil if the instance accepts callers, or the reason why not.
func (i *Instance) Ready() error {
	return i.members.Ready()
}

// ListsVersion returns the version of the active lists, or zero if there are
// none.
func (i *Instance) ListsVersion() uint64 {
	if c := i.follower.Current(); c != nil {
		return c.Version
	}
	return 0
}

// KnowsLive reports whether the instance knows at least n live instances.
func (i *Instance) KnowsLive(n int) bool {
	now := time.Now()
	seen := 0
	for _, r := range i.Settings.Regions {
		for _, zone := range r.Zones {
			seen += len(i.members.Live(now, zone))
		}
	}
	return seen >= n
}

// Status is the status of an instance that its admin address returns.
type Status struct {
	Instance     string              `json:"instance"`
	Region       string              `json:"region"`
	Zone         string              `json:"zone"`
	Ready        bool                `json:"ready"`
	Reason       string              `json:"reason,omitempty"`
	ListsVersion uint64              `json:"listsVersion"`
	EditID       string              `json:"editId,omitempty"`
	ConfirmAgeMs int64               `json:"confirmAgeMs"`
	Shares       []quota.ShareStatus `json:"shares"`
	Zones        []ZoneStatus        `json:"zones"`
}

// ZoneStatus lists the live instances of a zone that the instance knows.
type ZoneStatus struct {
	Zone    string   `json:"zone"`
	Members []string `json:"members"`
}

func (i *Instance) status() any {
	now := time.Now()
	version, age := i.follower.ConfirmedAge(now)
	const maxAge = time.Hour
	status := Status{
		Instance: i.Settings.Instance, Region: i.Settings.Region, Zone: i.Settings.Zone,
		ListsVersion: version, ConfirmAgeMs: min(age, maxAge).Milliseconds(), Shares: i.quotas.Status(),
	}
	if c := i.follower.Current(); c != nil {
		status.EditID = c.EditID
	}
	if err := i.Ready(); err != nil {
		status.Reason = err.Error()
	} else {
		status.Ready = true
	}
	for _, r := range i.Settings.Regions {
		for _, zone := range r.Zones {
			known := ZoneStatus{Zone: zone, Members: []string{}}
			for _, m := range i.members.Live(now, zone) {
				known.Members = append(known.Members, m.Name)
			}
			status.Zones = append(status.Zones, known)
		}
	}
	return status
}
