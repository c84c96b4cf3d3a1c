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

// world is a set of fleets over an in-memory network.
type world struct {
	now    time.Time
	fleets map[string]*gossip.View
	order  []string
	dead   map[string]bool
	// drop decides whether a message is lost.
	drop func(from, to gossip.Member) bool
	sent int
	by   map[string]int
}

func newWorld(regions, zones, members int) *world {
	w := &world{
		now: time.Unix(1000, 0), fleets: make(map[string]*gossip.View), dead: make(map[string]bool), by: make(map[string]int),
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
		f := &gossip.View{Self: m, Services: []string{"katalog"}, Loads: func(time.Time) []gossip.ServiceLoad {
			return []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: 1, Headroom: 2}}
		}}
		f.MergeList(w.now, all)
		w.fleets[m.Name] = f
		w.order = append(w.order, m.Name)
	}
	return w
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(gossip.Interval)
		for _, name := range w.order {
			if w.dead[name] {
				continue
			}
			for _, s := range w.fleets[name].Tick(w.now) {
				w.sent++
				w.by[name]++
				if !w.dead[s.To.Name] && !w.drop(w.fleets[name].Self, s.To) {
					w.fleets[s.To.Name].Receive(w.now, s.Message)
				}
			}
		}
	}
}

// seenBy returns the names of a zone's members that an instance calls live.
func (w *world) seenBy(name, zone string) []string {
	names := []string{}
	for _, m := range w.fleets[name].Live(w.now, zone) {
		names = append(names, m.Name)
	}
	return names
}

func TestAllSeeAll(t *testing.T) {
	w := newWorld(3, 2, 2)
	w.run(4 * time.Second)
	for _, name := range w.order {
		for r := range 3 {
			for z := range 2 {
				assert.Len(t, w.seenBy(name, fmt.Sprintf("r%d-z%d", r, z)), 2, "from %s", name)
			}
		}
	}
	report, ok := w.fleets["r0-z0-0"].ZoneLoad(w.now, "r2-z1")
	require.True(t, ok)
	assert.Equal(t, []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: 2, Headroom: 4}}, report.Loads)
}

// Loads in reports follow those of the members.
func TestReportedLoadsFollow(t *testing.T) {
	w := newWorld(2, 1, 2)
	busy := 1
	for _, f := range w.fleets {
		f.Loads = func(time.Time) []gossip.ServiceLoad {
			return []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: busy, Headroom: 10 - busy}}
		}
	}
	w.run(4 * time.Second)
	busy = 7
	w.run(4 * time.Second)
	report, ok := w.fleets["r0-z0-0"].ZoneLoad(w.now, "r1-z0")
	require.True(t, ok)
	assert.Equal(t, []gossip.ServiceLoad{{Service: "katalog", Slots: 10, Busy: 14, Headroom: 6}}, report.Loads)
	assert.Equal(t, 7, w.fleets["r0-z0-0"].Busy(w.now, "katalog"))
}

// A dead instance leaves all views within SuspectAfter and SpreadTime.
func TestDeadLeavesViews(t *testing.T) {
	for _, victim := range []string{"r0-z0-0", "r0-z0-1"} { // the reporter of the zone, and the other one
		w := newWorld(3, 2, 2)
		w.run(4 * time.Second)
		w.dead[victim] = true
		w.run(w.fleets[victim].SuspectAfter() + w.fleets[victim].PropagationTime())
		for _, name := range w.order {
			if !w.dead[name] {
				assert.NotContains(t, w.seenBy(name, "r0-z0"), victim, "from %s", name)
				assert.Len(t, w.seenBy(name, "r0-z0"), 1, "from %s", name)
			}
		}
	}
}

func TestLeavingLeavesViews(t *testing.T) {
	w := newWorld(3, 2, 2)
	w.run(4 * time.Second)
	w.fleets["r1-z0-0"].Self.Leaving = true
	w.run(w.fleets["r1-z0-0"].PropagationTime())
	for _, name := range w.order {
		assert.NotContains(t, w.seenBy(name, "r1-z0"), "r1-z0-0", "from %s", name)
	}
}

// A late message from before the instance left does not bring it back.
func TestLateMessageDoesNotReviveLeaving(t *testing.T) {
	w := newWorld(1, 1, 2)
	w.run(2 * time.Second)
	self := w.fleets["r0-z0-0"].Self
	leaving := self
	leaving.Leaving = true
	other := w.fleets["r0-z0-1"]
	other.Receive(w.now, gossip.Message{From: leaving, Full: true})
	other.Receive(w.now, gossip.Message{From: self, Full: true})
	assert.Len(t, other.Live(w.now, "r0-z0"), 1)

	restarted := self
	restarted.Incarnation = 2
	other.Receive(w.now, gossip.Message{From: restarted, Full: true})
	assert.Len(t, other.Live(w.now, "r0-z0"), 2)
	other.Receive(w.now, gossip.Message{From: leaving, Full: true})
	assert.Len(t, other.Live(w.now, "r0-z0"), 2, "a message of the earlier start counts for nothing")
}

// With one message in five lost nobody is suspected for long: in a run of ten
// minutes the views are complete more than 99% of the time.
func TestNoFlappingOnLostMessages(t *testing.T) {
	w := newWorld(2, 2, 3)
	rng := rand.New(rand.NewPCG(1, 2))
	w.run(5 * time.Second)
	w.drop = func(gossip.Member, gossip.Member) bool { return rng.IntN(5) == 0 }
	looks, missing := 0, 0
	for range 600 {
		w.run(time.Second)
		for _, name := range w.order {
			for _, zone := range []string{"r0-z0", "r0-z1", "r1-z0", "r1-z1"} {
				looks += 3
				missing += 3 - len(w.seenBy(name, zone))
			}
		}
	}
	assert.Less(t, float64(missing), 0.01*float64(looks))
}

// A zone that is cut off keeps itself, forgets the others' room within
// StaleAfter, and all come back after the partition.
func TestPartitionedZone(t *testing.T) {
	w := newWorld(3, 2, 2)
	w.run(4 * time.Second)
	w.drop = func(from, to gossip.Member) bool { return (from.Zone == "r0-z0") != (to.Zone == "r0-z0") }
	w.run(gossip.StaleAfter + time.Second)
	assert.Len(t, w.seenBy("r0-z0-0", "r0-z0"), 2)
	assert.Empty(t, w.seenBy("r0-z0-0", "r1-z0"))
	assert.Empty(t, w.seenBy("r1-z0-0", "r0-z0"))
	_, known := w.fleets["r1-z0-0"].ZoneLoad(w.now, "r0-z0")
	assert.False(t, known)

	w.drop = func(gossip.Member, gossip.Member) bool { return false }
	w.run(w.fleets["r1-z0-0"].PropagationTime())
	assert.Len(t, w.seenBy("r0-z0-0", "r1-z0"), 2)
	assert.Len(t, w.seenBy("r1-z0-0", "r0-z0"), 2)
}

// Messages per node and second follow the number of zones per member of a
// zone, not the number of nodes, and no node sends many more than the others.
func TestMessagesPerNode(t *testing.T) {
	const members = 6
	for _, zones := range []int{2, 8, 20} {
		w := newWorld(1, zones, members)
		w.run(20 * time.Second)
		w.sent = 0
		w.by = make(map[string]int)
		const seconds = 20
		w.run(seconds * time.Second)
		beats := float64(time.Second) / float64(gossip.Interval)
		reports := float64(zones-1) / members
		assert.LessOrEqual(t, float64(w.sent)/seconds/float64(len(w.order)), beats+reports+0.1, "%d zones", zones)
		for name, n := range w.by {
			assert.LessOrEqual(t, float64(n)/seconds, beats+reports+1.1, "%d zones, %s", zones, name)
		}
	}
}

// News reach all members of a large zone within its suspicion time even while
// one message in ten is lost.
func TestLargeZone(t *testing.T) {
	w := newWorld(1, 2, 16)
	rng := rand.New(rand.NewPCG(3, 4))
	w.drop = func(gossip.Member, gossip.Member) bool { return rng.IntN(10) == 0 }
	w.run(20 * time.Second)
	missing, looks := 0, 0
	for range 60 {
		w.run(time.Second)
		for _, name := range w.order {
			looks += 16
			missing += 16 - len(w.seenBy(name, "r0-z0"))
		}
	}
	assert.Less(t, float64(missing), 0.01*float64(looks))
}

func TestFailedMemberIsSuspected(t *testing.T) {
	w := newWorld(1, 1, 2)
	w.run(2 * time.Second)
	w.fleets["r0-z0-0"].Suspect("r0-z0-1")
	assert.Len(t, w.fleets["r0-z0-0"].Live(w.now, "r0-z0"), 1)
	w.run(2 * gossip.Interval)
	assert.Len(t, w.fleets["r0-z0-0"].Live(w.now, "r0-z0"), 2)
}
