// Package instance puts the services of an entry instance together.
//
// # Usage
//
//	i := instance.New(settings, instance.Options{Log: log})
//	err := i.Run(ctx) // until ctx ends; then the instance leaves gracefully
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
	// _settleMargin is added to the longest time that a request occupies a slot.
	_settleMargin = 2 * time.Second
	_stopMargin   = 5 * time.Second
	// _longestSpread bounds the time for which a leaving instance waits until
	// all others know.
	_longestSpread = 15 * time.Second
)

// Options are what an instance needs besides its settings.
type Options struct {
	Log *zap.Logger
	// Store and Directory replace the ones at the platform's URL.
	Store     store.Store
	Directory discovery.Directory
	// Seed seeds random choices.
	Seed uint64
	// Listen replaces net.Listen for all addresses of the instance.
	Listen func(network, address string) (net.Listener, error)
}

// Instance is an entry instance.
type Instance struct {
	Settings *settings.Settings

	kernel     *kernel.Kernel
	follower   *rollout.Follower
	keeper     *quota.Service
	members    *membership.Service
	dispatcher *dispatch.Service
}

// New puts the services of an instance together.
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
	keeper := &quota.Service{
		Store: o.Store, Lists: follower, Log: log, Instance: s.Instance,
		ReclaimDelay: s.LongestTimeout() + backendhttp.BodyTime + _settleMargin,
	}
	payments := &payment.Service{Store: o.Store}
	peers := &peer.Service{Settings: s, Lists: follower, Log: log, Listen: o.Listen}
	members := &membership.Service{Settings: s, Directory: o.Directory, Peers: peers, Lists: follower, Log: log}
	members.Prepare(time.Now())
	keeper.Rank = members.RankOfAll
	admitter := &admission.Service{Settings: s, Lists: follower, Shift: keeper, Fleet: members, Seed: o.Seed}
	members.Workers = admitter
	peers.Handler, peers.Gossip, peers.Claims = admitter, members, payments
	payments.Owners = &owners{settings: s, members: members, peers: peers}
	dispatcher := &dispatch.Service{
		Settings: s, Here: admitter, Fleet: members, Lists: follower, Peers: peers, Payments: payments,
		Log: log, Seed: o.Seed,
	}
	lookups := &lookup.Service{Settings: s, Members: members, Lists: follower}
	front := &entry.Service{Settings: s, Dispatch: dispatcher, Lookup: lookups, Log: log, Listen: o.Listen}
	follower.OnChange(func(c rollout.Current) { keeper.Configure(c.Version, c.Index) })

	i := &Instance{
		Settings: s, follower: follower, keeper: keeper, members: members, dispatcher: dispatcher,
	}
	front.Version = i.Lists
	i.kernel = &kernel.Kernel{
		Services: []kernel.Service{
			&admin.Service{Address: s.Admin.Listen, Ready: i.Ready, Status: i.status, Listen: o.Listen},
			keeper, follower, payments, admitter, peers, members, dispatcher, lookups, front,
			&departure{settings: s, members: members, keeper: keeper, front: front, log: log},
		},
		StopTimeout: s.LookupTTL() + _longestSpread + s.Drain() + _stopMargin,
		Ready:       func() { log.Info("instance started", zap.String("callers", s.Callers.Listen)) },
	}
	return i
}

// Run runs the instance until ctx ends and it has left gracefully.
func (i *Instance) Run(ctx context.Context) error {
	return i.kernel.Run(ctx)
}

// Abort ends the instance at once, as a crash would.
func (i *Instance) Abort() {
	i.kernel.Abort()
}

// Ready tells why the instance takes no callers, or nil.
func (i *Instance) Ready() error {
	return i.members.Ready()
}

// Lists returns the version of the lists in force, or zero.
func (i *Instance) Lists() uint64 {
	if c := i.follower.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Sees reports whether the instance knows at least n live instances.
func (i *Instance) Sees(n int) bool {
	now := time.Now()
	seen := 0
	for _, r := range i.Settings.Regions {
		for _, zone := range r.Zones {
			seen += len(i.members.Live(now, zone))
		}
	}
	return seen >= n
}

// Status is the status of an instance as its admin address gives it.
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

// ZoneStatus is what the instance knows of a zone.
type ZoneStatus struct {
	Zone    string   `json:"zone"`
	Members []string `json:"members"`
}

func (i *Instance) status() any {
	now := time.Now()
	version, age := i.follower.ConfirmedAge(now)
	const longestAge = time.Hour
	status := Status{
		Instance: i.Settings.Instance, Region: i.Settings.Region, Zone: i.Settings.Zone,
		ListsVersion: version, ConfirmAgeMs: min(age, longestAge).Milliseconds(), Shares: i.keeper.Status(),
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
