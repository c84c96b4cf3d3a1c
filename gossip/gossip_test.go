package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/gossip"
)

// cluster is a set of views that exchange messages in memory.
type cluster struct {
	now   time.Time
	views map[string]*gossip.View
	order []string
	dead  map[string]bool
	// drop reports whether a message is lost.
	drop func(from, to gossip.Member) bool
	sent int
	// sentBy is the number of messages sent by each member.
	sentBy map[string]int
}

func newCluster(regions, zones, members int) *cluster {
	c := &cluster{
		now: time.Unix(1000, 0), views: make(map[string]*gossip.View), dead: make(map[string]bool), sentBy: make(map[string]int),
		drop: func(gossip.Member, gossip.Member) bool { return false },
	}
	var all []gossip.Member
	for r := range regions {
		for z := range zones {
			for m := range members {
				name := fmt.Sprintf("r%d-z%d-%d", r, z, m)
				all = append(all, gossip.Member{
					Name: name, Region: fmt.Sprintf("r%d", r), Zone: fmt.Sprintf("r%d-z%d", r, z),
					PeerAddress: name, Incarnation: 1,
				})
			}
		}
	}
	for _, m := range all {
		v := &gossip.View{Self: m, Services: []string{"katalog"}, Loads: func(time.Time) []gossip.ServiceLoad {
			return []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: 1, Headroom: 2}}
		}}
		v.UpdateMembers(c.now, all)
		c.views[m.Name] = v
		c.order = append(c.order, m.Name)
	}
	return c
}

// run advances the time by d and delivers the messages that become due.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(gossip.Interval)
		for _, name := range c.order {
			if c.dead[name] {
				continue
			}
			for _, e := range c.views[name].Tick(c.now) {
				c.sent++
				c.sentBy[name]++
				if !c.dead[e.To.Name] && !c.drop(c.views[name].Self, e.To) {
					c.views[e.To.Name].Receive(c.now, e.Message)
				}
			}
		}
	}
}

// liveFor returns the names of a zone's members that are live in the view of an
// instance.
func (c *cluster) liveFor(name, zone string) []string {
	names := []string{}
	for _, m := range c.views[name].Live(c.now, zone) {
		names = append(names, m.Name)
	}
	return names
}

func TestViewsAreComplete(t *testing.T) {
	c := newCluster(3, 2, 2)
	c.run(4 * time.Second)
	for _, name := range c.order {
		for r := range 3 {
			for z := range 2 {
				assert.Len(t, c.liveFor(name, fmt.Sprintf("r%d-z%d", r, z)), 2, "from %s", name)
			}
		}
	}
	load, ok := c.views["r0-z0-0"].ZoneLoad(c.now, "r2-z1")
	require.True(t, ok)
	assert.Equal(t, []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: 2, Headroom: 4}}, load.Loads)
}

// A change of the members' loads reaches the summaries.
func TestZoneLoadIsUpdated(t *testing.T) {
	c := newCluster(2, 1, 2)
	busy := 1
	for _, v := range c.views {
		v.Loads = func(time.Time) []gossip.ServiceLoad {
			return []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: busy, Headroom: 10 - busy}}
		}
	}
	c.run(4 * time.Second)
	busy = 7
	c.run(4 * time.Second)
	load, ok := c.views["r0-z0-0"].ZoneLoad(c.now, "r1-z0")
	require.True(t, ok)
	assert.Equal(t, []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: 14, Headroom: 6}}, load.Loads)
	assert.Equal(t, 7, c.views["r0-z0-0"].Busy(c.now, "katalog"))
}

// A dead instance is removed from all views within SuspectAfter and
// PropagationTime.
func TestDeadIsRemovedFromViews(t *testing.T) {
	for _, victim := range []string{"r0-z0-0", "r0-z0-1"} { // the member that sends the summaries, and the other one
		c := newCluster(3, 2, 2)
		c.run(4 * time.Second)
		c.dead[victim] = true
		c.run(c.views[victim].SuspectAfter() + c.views[victim].PropagationTime())
		for _, name := range c.order {
			if !c.dead[name] {
				assert.NotContains(t, c.liveFor(name, "r0-z0"), victim, "from %s", name)
				assert.Len(t, c.liveFor(name, "r0-z0"), 1, "from %s", name)
			}
		}
	}
}

func TestLeavingIsRemovedFromViews(t *testing.T) {
	c := newCluster(3, 2, 2)
	c.run(4 * time.Second)
	c.views["r1-z0-0"].Self.Leaving = true
	c.run(c.views["r1-z0-0"].PropagationTime())
	for _, name := range c.order {
		assert.NotContains(t, c.liveFor(name, "r1-z0"), "r1-z0-0", "from %s", name)
	}
}

// A late message that was sent before the instance started leaving does not make it
// live again.
func TestLateMessageDoesNotReviveLeaving(t *testing.T) {
	c := newCluster(1, 1, 2)
	c.run(2 * time.Second)
	self := c.views["r0-z0-0"].Self
	leaving := self
	leaving.Leaving = true
	other := c.views["r0-z0-1"]
	other.Receive(c.now, gossip.Message{From: leaving, Full: true})
	other.Receive(c.now, gossip.Message{From: self, Full: true})
	assert.Len(t, other.Live(c.now, "r0-z0"), 1)

	restarted := self
	restarted.Incarnation = 2
	other.Receive(c.now, gossip.Message{From: restarted, Full: true})
	assert.Len(t, other.Live(c.now, "r0-z0"), 2)
	other.Receive(c.now, gossip.Message{From: leaving, Full: true})
	assert.Len(t, other.Live(c.now, "r0-z0"), 2, "a message of an earlier incarnation is ignored")
}

// With one message in five lost no live member is suspected for long: in a run of
// ten minutes the views are complete more than 99% of the time.
func TestNoFlappingOnLostMessages(t *testing.T) {
	c := newCluster(2, 2, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	c.run(5 * time.Second)
	c.drop = func(gossip.Member, gossip.Member) bool { return rng.IntN(5) == 0 }
	checks, missing := 0, 0
	for range 600 {
		c.run(time.Second)
		for _, name := range c.order {
			for _, zone := range []string{"r0-z0", "r0-z1", "r1-z0", "r1-z1"} {
				checks += 3
				missing += 3 - len(c.liveFor(name, zone))
			}
		}
	}
	assert.Less(t, float64(missing), 0.01*float64(checks))
}

// A zone that is cut off keeps its own members, drops those of other zones within
// StaleAfter, and all views are complete again after the partition.
func TestPartitionedZone(t *testing.T) {
	c := newCluster(3, 2, 2)
	c.run(4 * time.Second)
	c.drop = func(from, to gossip.Member) bool { return (from.Zone == "r0-z0") != (to.Zone == "r0-z0") }
	c.run(gossip.StaleAfter + time.Second)
	assert.Len(t, c.liveFor("r0-z0-0", "r0-z0"), 2)
	assert.Empty(t, c.liveFor("r0-z0-0", "r1-z0"))
	assert.Empty(t, c.liveFor("r1-z0-0", "r0-z0"))
	_, known := c.views["r1-z0-0"].ZoneLoad(c.now, "r0-z0")
	assert.False(t, known)

	c.drop = func(gossip.Member, gossip.Member) bool { return false }
	c.run(c.views["r1-z0-0"].PropagationTime())
	assert.Len(t, c.liveFor("r0-z0-0", "r1-z0"), 2)
	assert.Len(t, c.liveFor("r1-z0-0", "r0-z0"), 2)
}

// Messages per instance and second grow with the number of zones per member of a
// zone, not with the number of instances, and no instance sends many more than the
// others.
func TestMessagesPerInstance(t *testing.T) {
	const members = 6
	for _, zones := range []int{2, 8, 20} {
		c := newCluster(1, zones, members)
		c.run(20 * time.Second)
		c.sent = 0
		c.sentBy = make(map[string]int)
		const seconds = 20
		c.run(seconds * time.Second)
		heartbeats := float64(time.Second) / float64(gossip.Interval)
		summaries := float64(zones-1) / members
		assert.LessOrEqual(t, float64(c.sent)/seconds/float64(len(c.order)), heartbeats+summaries+0.1, "%d zones", zones)
		for name, n := range c.sentBy {
			assert.LessOrEqual(t, float64(n)/seconds, heartbeats+summaries+1.1, "%d zones, %s", zones, name)
		}
	}
}

// Updates reach all members of a large zone within SuspectAfter even while one
// message in ten is lost.
func TestLargeZone(t *testing.T) {
	c := newCluster(1, 2, 16)
	rng := rand.New(rand.NewPCG(3, 4))
	c.drop = func(gossip.Member, gossip.Member) bool { return rng.IntN(10) == 0 }
	c.run(20 * time.Second)
	missing, checks := 0, 0
	for range 60 {
		c.run(time.Second)
		for _, name := range c.order {
			checks += 16
			missing += 16 - len(c.liveFor(name, "r0-z0"))
		}
	}
	assert.Less(t, float64(missing), 0.01*float64(checks))
}

func TestFailedMemberIsSuspected(t *testing.T) {
	c := newCluster(1, 1, 2)
	c.run(2 * time.Second)
	c.views["r0-z0-0"].Suspect("r0-z0-1")
	assert.Len(t, c.views["r0-z0-0"].Live(c.now, "r0-z0"), 1)
	c.run(2 * gossip.Interval)
	assert.Len(t, c.views["r0-z0-0"].Live(c.now, "r0-z0"), 2)
}
