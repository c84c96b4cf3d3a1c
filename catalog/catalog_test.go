package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/catalog"
)

func plain(name, host, prefix, service string, homes ...string) catalog.Route {
	return catalog.Route{
		Name: name, Host: host, Prefix: prefix, Homes: homes, Shares: []catalog.Share{{Service: service, Weight: 1}},
	}
}

func TestLongestPrefixMatches(t *testing.T) {
	c, err := catalog.New(7, []catalog.Route{
		plain("all", "a.example", "/", "x"),
		plain("orders", "a.example", "/orders/", "y"),
		plain("late", "a.example", "/orders/late/", "z"),
		plain("other", "b.example", "/only/", "w"),
	}, nil, catalog.Limits{})
	require.NoError(t, err)

	tests := []struct{ host, path, want string }{
		{"a.example", "/orders/7", "orders"},
		{"A.Example", "/orders/late/7", "late"},
		{"a.example", "/orders/late", "orders"},
		{"a.example", "/orders", "all"},
		{"a.example", "/", "all"},
		{"b.example", "/only/", "other"},
		{"b.example", "/only", ""},
		{"b.example", "", ""},
		{"c.example", "/", ""},
	}
	for _, tt := range tests {
		r := c.Match(tt.host, tt.path)
		if tt.want == "" {
			assert.Nil(t, r, "%s%s", tt.host, tt.path)
			continue
		}
		require.NotNil(t, r, "%s%s", tt.host, tt.path)
		assert.Equal(t, tt.want, r.Name, "%s%s", tt.host, tt.path)
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := catalog.Route{Shares: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	const n = 1000
	for i := range n {
		counts[r.Pick(float64(i)/n)]++
	}
	assert.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}

func TestRouteWithoutServiceIsRejected(t *testing.T) {
	_, err := catalog.New(1, []catalog.Route{{Name: "r", Host: "h", Prefix: "/"}}, nil, catalog.Limits{})
	require.ErrorIs(t, err, catalog.ErrNoService)
	assert.ErrorContains(t, err, `"r"`)
}

func TestHomes(t *testing.T) {
	r := plain("r", "h", "/", "s", "tunis", "sfax")
	assert.True(t, r.MayServe("sfax"))
	assert.False(t, r.MayServe("sousse"))
	free := plain("r", "h", "/", "s")
	assert.True(t, free.MayServe("sousse"))

	c, err := catalog.New(1, []catalog.Route{
		plain("a", "h", "/a/", "s", "tunis", "sfax"), plain("b", "h", "/b/", "s", "sfax"), plain("c", "g", "/", "s"),
	}, nil, catalog.Limits{})
	require.NoError(t, err)
	assert.Equal(t, []string{"sfax"}, c.Homes("H"), "regions that all restricted routes of a host permit")
	assert.Nil(t, c.Homes("g"))
}
