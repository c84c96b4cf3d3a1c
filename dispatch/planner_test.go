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

func cluster(free int, wait time.Duration) dispatch.ClusterState {
	return dispatch.ClusterState{
		Capacity: admission.Capacity{Free: free, Wait: wait, SlotTime: 20 * time.Millisecond, Workers: true},
		View: func(string, string) routing.View {
			return routing.View{Headroom: 5, Slots: 10, Stale: gossip.StaleAfter, Known: true}
		},
		Live: func(zone string) []gossip.Member { return []gossip.Member{{Name: zone + "-1", Zone: zone}} },
	}
}

func request(home string) *dispatch.RequestState {
	return &dispatch.RequestState{Service: "katalog", Plan: "handel", Home: home, Shift: true}
}

func TestLocalZoneWhileItHasFreeSlots(t *testing.T) {
	d, ok := newPlanner().Choose(_now, request("alpen"), cluster(1, 0))
	require.True(t, ok)
	assert.True(t, d.Local)
}

// A wait shorter than the round trip to another zone is preferred to it; a
// longer one is not.
func TestWaitOrForward(t *testing.T) {
	p := newPlanner()
	d, _ := p.Choose(_now, request("alpen"), cluster(0, 3*time.Millisecond))
	assert.True(t, d.Local)
	d, _ = p.Choose(_now, request("alpen"), cluster(0, 50*time.Millisecond))
	assert.Equal(t, "alpen-b", d.Zone)
}

func TestHomeRegionFirst(t *testing.T) {
	d, _ := newPlanner().Choose(_now, request("nord"), cluster(5, 0))
	assert.Equal(t, "nord-a", d.Zone)
}

// A request tries each zone at most once, and its attempts end.
func TestAttemptsEnd(t *testing.T) {
	p := newPlanner()
	st := request("alpen")
	var zones []string
	for {
		d, ok := p.Choose(_now, st, cluster(0, time.Second))
		if !ok {
			break
		}
		zones = append(zones, d.Zone)
		require.Less(t, len(zones), 10)
		st.Record(d, relay.NotRun(relay.NoCapacity))
	}
	assert.Equal(t, []string{"alpen-b", "nord-a", "alpen-a"}, zones)
}

// Once a worker may have run the request, its result is never "not run".
func TestUnknownIsFinal(t *testing.T) {
	st := request("alpen")
	local := dispatch.Destination{Local: true, Zone: "alpen-a"}
	broken := relay.Unknown(relay.WorkerBroken)
	broken.Worker = "w0"
	st.Record(local, broken)
	st.Record(local, relay.NotRun(relay.QueueFull))
	assert.Equal(t, retry.Unknown, st.Result.Outcome)
	assert.Equal(t, []string{"w0"}, st.Tried)
	assert.True(t, st.Sent)
}

// Of several refusals, the first is the result, since its reason is the cause.
func TestFirstRefusalIsResult(t *testing.T) {
	st := request("alpen")
	st.Record(dispatch.Destination{Local: true}, relay.NotRun(relay.QueueFull))
	st.Record(dispatch.Destination{Zone: "nord-a"}, relay.NotRun(relay.Reason(quota.NoShare)))
	assert.Equal(t, relay.QueueFull, st.Result.Reason)
	assert.False(t, st.Sent)
}

// A request to an unreachable worker did not arrive: it does not count as sent,
// so the next attempt takes nothing from the retry budget.
func TestUnreachableWorkerIsNotSent(t *testing.T) {
	st := request("alpen")
	unreachable := relay.NotRun(relay.WorkerUnreachable)
	unreachable.Worker = "w0"
	st.Record(dispatch.Destination{Local: true}, unreachable)
	assert.False(t, st.Sent)
	assert.Equal(t, []string{"w0"}, st.Tried)
}

// If the first zone of the home region refuses, the second is tried before the
// local zone, where the request takes a slot of the shift cap.
func TestTwoHomeZonesBeforeShift(t *testing.T) {
	p := newPlanner()
	p.Router.Routes = append(p.Router.Routes, routing.Route{Zone: "nord-b", Region: "nord", OneWay: 35 * time.Millisecond})
	st := request("nord")
	s := cluster(5, 0)
	var zones []string
	for range 3 {
		d, ok := p.Choose(_now, st, s)
		require.True(t, ok)
		zones = append(zones, d.Zone)
		st.Record(d, relay.NotRun(relay.NoCapacity))
	}
	assert.Equal(t, p.Zone, zones[2])
	assert.NotEqual(t, zones[0], zones[1])
	assert.NotContains(t, zones[:2], p.Zone)
}

// An instance that refused a plan because of its shift cap is skipped for
// CapBackoff.
func TestCappedInstanceIsSkipped(t *testing.T) {
	p := newPlanner()
	st := request("nord")
	s := cluster(0, time.Second)
	d, _ := p.Choose(_now, st, s)
	require.Equal(t, "nord-a", d.Zone)
	p.Begin(st, d)
	p.End(_now, st, d, relay.NotRun(relay.Reason(quota.NoShare)))
	d, _ = p.Choose(_now, request("nord"), s)
	assert.NotEqual(t, "nord-a", d.Zone)
	d, _ = p.Choose(_now.Add(dispatch.CapBackoff), request("nord"), s)
	assert.Equal(t, "nord-a", d.Zone)
}
