package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/admission"
	"github.com/wigeonlock/wigeonlock/dispatch"
	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/quota"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
	"github.com/wigeonlock/wigeonlock/routing"
)

var _now = time.Unix(1000, 0)

func newPlanner() *dispatch.Planner {
	return &dispatch.Planner{
		Zone: "alpen-a", Region: "alpen", Rand: rand.New(rand.NewPCG(1, 2)),
		Router: routing.Router{Zone: "alpen-a", Region: "alpen", Routes: []routing.Route{
			{Zone: "alpen-b", Region: "alpen", OneWay: 5 * time.Millisecond},
			{Zone: "nord-a", Region: "nord", OneWay: 35 * time.Millisecond},
		}},
	}
}

func around(free int, wait time.Duration) dispatch.ClusterState {
	return dispatch.ClusterState{
		Room: admission.Room{Free: free, Wait: wait, Work: 20 * time.Millisecond, Workers: true},
		View: func(string, string) routing.View {
			return routing.View{Headroom: 5, Slots: 10, Stale: gossip.StaleAfter, Known: true}
		},
		Live: func(zone string) []gossip.Member { return []gossip.Member{{Name: zone + "-1", Zone: zone}} },
	}
}

func journey(home string) *dispatch.RequestState {
	return &dispatch.RequestState{Service: "katalog", Plan: "handel", Home: home, Shift: true}
}

func TestOwnZoneWhileItHasRoom(t *testing.T) {
	d, ok := newPlanner().Choose(_now, journey("alpen"), around(1, 0))
	require.True(t, ok)
	assert.True(t, d.Local)
}

// A short wait is better than the way to another zone, a long one is not.
func TestWaitOrLeave(t *testing.T) {
	p := newPlanner()
	d, _ := p.Choose(_now, journey("alpen"), around(0, 3*time.Millisecond))
	assert.True(t, d.Local)
	d, _ = p.Choose(_now, journey("alpen"), around(0, 50*time.Millisecond))
	assert.Equal(t, "alpen-b", d.Zone)
}

func TestHomeFirst(t *testing.T) {
	d, _ := newPlanner().Choose(_now, journey("nord"), around(5, 0))
	assert.Equal(t, "nord-a", d.Zone)
}

// A request goes through each zone at most once, and ends.
func TestJourneyEnds(t *testing.T) {
	p := newPlanner()
	j := journey("alpen")
	var zones []string
	for {
		d, ok := p.Choose(_now, j, around(0, time.Second))
		if !ok {
			break
		}
		zones = append(zones, d.Zone)
		require.Less(t, len(zones), 10)
		j.Record(d, relay.NotRun(relay.NoRoom))
	}
	assert.Equal(t, []string{"alpen-b", "nord-a", "alpen-a"}, zones)
}

// Once a worker may have run the request, it is never "not run".
func TestUnknownIsKept(t *testing.T) {
	j := journey("alpen")
	here := dispatch.Destination{Local: true, Zone: "alpen-a"}
	broken := relay.Unknown(relay.WorkerBroken)
	broken.Worker = "w0"
	j.Record(here, broken)
	j.Record(here, relay.NotRun(relay.QueueFull))
	assert.Equal(t, retry.Unknown, j.Result.Outcome)
	assert.Equal(t, []string{"w0"}, j.Tried)
	assert.True(t, j.Sent)
}

// The first refusal names the cause.
func TestFirstRefusalIsKept(t *testing.T) {
	j := journey("alpen")
	j.Record(dispatch.Destination{Local: true}, relay.NotRun(relay.QueueFull))
	j.Record(dispatch.Destination{Zone: "nord-a"}, relay.NotRun(relay.Reason(quota.NoShare)))
	assert.Equal(t, relay.QueueFull, j.Result.Reason)
	assert.False(t, j.Sent)
}

// TestUnreachableWorkerIsNoSending has a worker that could not be reached: the
// request did not arrive, so that another attempt draws on no retry budget.
func TestUnreachableWorkerIsNoSending(t *testing.T) {
	j := journey("alpen")
	unreachable := relay.NotRun(relay.WorkerUnreachable)
	unreachable.Worker = "w0"
	j.Record(dispatch.Destination{Local: true}, unreachable)
	assert.False(t, j.Sent)
	assert.Equal(t, []string{"w0"}, j.Tried)
}

// TestTwoHomeZonesBeforeTheCap has the first zone of the home region refuse:
// the second is tried before a slot of the shift cap is taken here.
func TestTwoHomeZonesBeforeTheCap(t *testing.T) {
	p := newPlanner()
	p.Router.Routes = append(p.Router.Routes, routing.Route{Zone: "nord-b", Region: "nord", OneWay: 35 * time.Millisecond})
	j := journey("nord")
	s := around(5, 0)
	var zones []string
	for range 3 {
		d, ok := p.Choose(_now, j, s)
		require.True(t, ok)
		zones = append(zones, d.Zone)
		j.Record(d, relay.NotRun(relay.NoRoom))
	}
	assert.Equal(t, p.Zone, zones[2])
	assert.NotEqual(t, zones[0], zones[1])
	assert.NotContains(t, zones[:2], p.Zone)
}

// An instance at which the plan's cap refused is left out for a while.
func TestCappedInstanceIsLeftOut(t *testing.T) {
	p := newPlanner()
	j := journey("nord")
	s := around(0, time.Second)
	d, _ := p.Choose(_now, j, s)
	require.Equal(t, "nord-a", d.Zone)
	p.Begin(j, d)
	p.End(_now, j, d, relay.NotRun(relay.Reason(quota.NoShare)))
	d, _ = p.Choose(_now, journey("nord"), s)
	assert.NotEqual(t, "nord-a", d.Zone)
	d, _ = p.Choose(_now.Add(dispatch.CapBackoff), journey("nord"), s)
	assert.Equal(t, "nord-a", d.Zone)
}
