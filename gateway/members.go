package gateway

import (
	"context"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/directory"
	"github.com/wigeonlock/wigeonlock/permit"
	"github.com/wigeonlock/wigeonlock/platform"
	"github.com/wigeonlock/wigeonlock/suspect"
	"github.com/wigeonlock/wigeonlock/watch"
)

// neighbours returns the instances of the local region, of which one reads the store
// for the others.
func (g *Gateway) neighbours() []watch.Neighbour {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.directory.Neighbours()
	list := make([]watch.Neighbour, 0, len(members))
	for _, m := range members {
		list = append(list, neighbourOf(m))
	}
	return list
}

func neighbourOf(m directory.Member) watch.Neighbour {
	return watch.Neighbour{Name: m.Name, Address: m.Peers, Capacity: m.Capacity}
}

// start lists the registered instances of the local region, those that callers are sent
// to first, in random order: after all were killed, they read the store, and the others
// wait for them. The list may be seconds old.
func (g *Gateway) start(ctx context.Context) (watch.Start, error) {
	items, err := g.client.RangeStale(ctx, platform.ProductKey(_instancePrefix))
	if err != nil {
		return watch.Start{}, err
	}
	known := directory.Directory{Self: g.directory.Self, Serving: true}
	for _, item := range items {
		if m, err := decodeMember(item.Value); err == nil && m.Region == g.Settings.Region {
			known.Put(m)
		}
	}
	serving := known.ServingNeighbours()
	start := watch.Start{Patient: len(serving) > 0 && !known.Serves()}
	rand.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	for _, m := range serving {
		start.Candidates = append(start.Candidates, neighbourOf(m))
	}
	return start, nil
}

// issuers returns the registered instances, which may issue permits.
func (g *Gateway) issuers() []permit.Instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.directory.Members()
	list := make([]permit.Instance, 0, len(members))
	for _, m := range members {
		list = append(list, permit.Instance{Name: m.Name, Zone: m.Zone, Region: m.Region, Address: m.Permits})
	}
	return list
}

// servingNeighbours returns the addresses of the other instances that serve the callers
// of the local region.
func (g *Gateway) servingNeighbours(address func(m directory.Member) string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := g.directory.ServingNeighbours()
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, address(m))
	}
	return addresses
}

// fleet returns the addresses for datagrams of the other instances that serve callers.
func (g *Gateway) fleet() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var addresses []string
	for _, m := range g.directory.ServingEverywhere() {
		if m.Name != g.Settings.Instance {
			addresses = append(addresses, m.Permits)
		}
	}
	return addresses
}

// tries reports whether this instance tries a content that may end workers: one does of
// those that serve callers.
func (g *Gateway) tries(c suspect.Content) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := xxhash.Sum64String(c.String() + "/" + g.Settings.Instance)
	for _, m := range g.directory.ServingEverywhere() {
		if m.Name != g.Settings.Instance && xxhash.Sum64String(c.String()+"/"+m.Name) > self {
			return false
		}
	}
	return true
}
