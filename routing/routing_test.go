package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/routing"
)

var _now = time.Unix(1000, 0)

func newRouter() *routing.Router {
	return &routing.Router{
		Zone: "alpen-a", Region: "alpen",
		Routes: []routing.Route{
			{Zone: "alpen-b", Region: "alpen", OneWay: 5 * time.Millisecond},
			{Zone: "nord-a", Region: "nord", OneWay: 35 * time.Millisecond},
			{Zone: "nord-b", Region: "nord", OneWay: 35 * time.Millisecond},
		},
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(5, 6)) }

func views(headroom map[string]int) func(zone, service string) routing.View {
	return func(zone, _ string) routing.View {
		n, ok := headroom[zone]
		return routing.View{Headroom: n, Stale: 6 * time.Second, Known: ok}
	}
}

func zones(routes []routing.Route) []string {
	names := []string{}
	for _, r := range routes {
		names = append(names, r.Zone)
	}
	return names
}

var _localRequest = routing.Request{Service: "katalog", Home: "alpen", Shift: true}

func TestLocalRegionFirst(t *testing.T) {
	router := newRouter()
	got := router.Choose(newRand(), _localRequest, views(map[string]int{"alpen-b": 5, "nord-a": 50, "nord-b": 50}))
	require.Len(t, got, 3)
	assert.Equal(t, "alpen-b", got[0].Zone)
}

func TestHomeRegionFirst(t *testing.T) {
	router := newRouter()
	r := routing.Request{Service: "katalog", Home: "nord", Shift: true}
	got := router.Choose(newRand(), r, views(map[string]int{"alpen-b": 50, "nord-a": 5}))
	assert.Equal(t, []string{"nord-a", "alpen-b"}, zones(got))
}

func TestNoShiftOutsideHome(t *testing.T) {
	router := newRouter()
	r := routing.Request{Service: "katalog", Home: "alpen"}
	got := router.Choose(newRand(), r, views(map[string]int{"alpen-b": 5, "nord-a": 50}))
	assert.Equal(t, []string{"alpen-b"}, zones(got))
}

// A zone without an advertisement gets nothing, and old advertisements count for
// less.
func TestUnknownAndOldViews(t *testing.T) {
	router := newRouter()
	assert.Empty(t, router.Choose(newRand(), _localRequest, views(nil)))
	old := func(zone, _ string) routing.View {
		return routing.View{Headroom: 2, Age: 4 * time.Second, Stale: 6 * time.Second, Known: zone == "nord-a"}
	}
	assert.Empty(t, router.Choose(newRand(), _localRequest, old), "a third of two slots is less than one")
}

// The window limits the requests to a zone until accepted requests let it grow in
// steps.
func TestWindowGrowsInSteps(t *testing.T) {
	router := newRouter()
	view := views(map[string]int{"nord-a": 100})
	now := _now
	fill := func() int {
		n := 0
		for len(router.Choose(newRand(), _localRequest, view)) > 0 {
			router.Begin("nord-a", "katalog")
			n++
		}
		return n
	}
	assert.Equal(t, routing.WindowStart, fill())
	size := routing.WindowStart
	for range 5 {
		now = now.Add(routing.GrowInterval)
		for range size {
			router.End(now, "nord-a", "katalog", routing.Accepted)
		}
		next := fill()
		assert.LessOrEqual(t, float64(next), float64(size)*(1+routing.GrowShare)+1)
		assert.Greater(t, next, size)
		size = next
	}
}

func TestRefusalShrinksWindow(t *testing.T) {
	router := newRouter()
	view := views(map[string]int{"nord-a": 100})
	for range routing.WindowStart {
		router.Begin("nord-a", "katalog")
	}
	router.End(_now, "nord-a", "katalog", routing.Refused)
	assert.Empty(t, router.Choose(newRand(), _localRequest, view), "the requests in flight fill the smaller window")
	for range routing.WindowStart - 1 {
		router.End(_now, "nord-a", "katalog", routing.Refused) // of the same round trip
	}
	more := 0
	for len(router.Choose(newRand(), _localRequest, view)) > 0 {
		router.Begin("nord-a", "katalog")
		more++
	}
	assert.Less(t, more, routing.WindowStart)
	assert.Positive(t, more)
}

// Many sources spread over zones that advertise the same headroom.
func TestSourcesSpread(t *testing.T) {
	counts := make(map[string]int)
	rng := newRand()
	for range 400 {
		got := newRouter().Choose(rng, _localRequest, views(map[string]int{"nord-a": 10, "nord-b": 10}))
		counts[got[0].Zone]++
	}
	assert.InDelta(t, 200, counts["nord-a"], 50)
}
