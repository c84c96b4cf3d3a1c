package instance

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/membership"
	"github.com/wigeonlock/wigeonlock/payment"
	"github.com/wigeonlock/wigeonlock/peer"
	"github.com/wigeonlock/wigeonlock/settings"
)

// owners assigns the shards of payment claims to live instances by rendezvous
// hashing. If instances disagree on the owner, this costs additional writes but
// not correctness.
type owners struct {
	settings *settings.Settings
	members  *membership.Service
	peers    *peer.Service
}

var _ payment.Owners = (*owners)(nil)

// Owner returns the peer address of the live instance with the highest hash of
// shard and name, and whether it is this instance.
func (o *owners) Owner(shard int) (address string, local bool) {
	now := time.Now()
	prefix := strconv.Itoa(shard) + "/"
	highest := uint64(0)
	local = true
	for _, r := range o.settings.Regions {
		for _, zone := range r.Zones {
			for _, m := range o.members.Live(now, zone) {
				if rank := xxhash.Sum64String(prefix + m.Name); rank > highest {
					highest, address, local = rank, m.PeerAddress, m.Name == o.settings.Instance
				}
			}
		}
	}
	return address, local
}

// Change applies a change at the instance with the given peer address.
func (o *owners) Change(ctx context.Context, address string, c payment.Change) (payment.Result, error) {
	return o.peers.Client().Claim(ctx, address, c)
}
