package forward_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wigeonlock/wigeonlock/catalog"
	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/forward"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/team"
)

// withTeams activates a configuration with teams.
func withTeams(t *testing.T, s *forward.Service, version catalog.Version, entries ...team.Entry) {
	t.Helper()
	open, bound := route("open", catalog.Idempotent, 3), route("bound", catalog.Idempotent, 3)
	open.Open, bound.Homes = true, []string{"r"}
	c, err := catalog.New(version, []catalog.Route{route("read", catalog.Idempotent, 3), open, bound}, nil, catalog.Limits{})
	require.NoError(t, err)
	c.Teams = team.NewRoster(entries)
	s.Update(func(st *forward.State) { st.Catalog = c })
}

func keyed(path, key string) *relay.Request {
	r := request(path)
	r.Key = key
	return r
}

func TestKeyNamesTheTeam(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(200)}}
	s := newService(t, e, 4)
	core, lines := observer.New(zap.InfoLevel)
	s.Log = zap.New(core)
	withTeams(t, s, 4,
		team.Entry{Place: "0", Team: team.Team{Name: "office"}, Keys: []string{"known-key"}},
		team.Entry{Place: "1", Team: team.Team{Name: "far", Homes: []string{"elsewhere"}}, Keys: []string{"far-key"}})

	r := keyed("/read/x", "known-key")
	assert.Equal(t, http.StatusOK, s.Handle(t.Context(), r).Status)
	assert.Equal(t, "office", r.Team)
	onOpen := keyed("/open/x", "known-key")
	assert.Equal(t, http.StatusOK, s.Handle(t.Context(), onOpen).Status)
	assert.Empty(t, onOpen.Team)
	sent := len(e.sent)
	for _, key := range []string{"", "unknown-key", "known-key,known-key"} {
		a := s.Handle(t.Context(), keyed("/read/x", key))
		assert.Equal(t, http.StatusUnauthorized, a.Status)
		assert.Equal(t, relay.UnknownKey, a.Reason)
	}
	for path, reason := range map[string]relay.Reason{"/read/x": relay.NoWorkers, "/bound/x": relay.NoHomeRegion} {
		a := s.Handle(t.Context(), keyed(path, "far-key"))
		assert.Equal(t, http.StatusServiceUnavailable, a.Status)
		assert.Equal(t, reason, a.Reason, path)
	}
	assert.Len(t, e.sent, sent, "no worker gets them")
	for _, line := range lines.All() {
		for name, value := range line.ContextMap() {
			assert.NotContains(t, []any{"known-key", "unknown-key", "far-key"}, value, name)
		}
	}
	refused := lines.FilterField(zap.String("reason", string(relay.NoHomeRegion))).All()
	require.Len(t, refused, 1)
	assert.Equal(t, "far", refused[0].ContextMap()["team"])
}

// TestKeysChangeWithTheConfiguration checks that the active configuration decides which keys
// are admitted, and that an instance that has not heard of the store for a while does not call
// a key unknown.
func TestKeysChangeWithTheConfiguration(t *testing.T) {
	e := &exchanger{results: []exchange.Result{ran(200)}}
	s := newService(t, e, 4)
	readAt := time.Now()
	s.ReadAt = func() time.Time { return readAt }
	withTeams(t, s, 4, team.Entry{Team: team.Team{Name: "office"}, Keys: []string{"old"}})
	assert.Equal(t, http.StatusOK, s.Handle(t.Context(), keyed("/read/x", "old")).Status)
	withTeams(t, s, 5, team.Entry{Team: team.Team{Name: "office"}, Keys: []string{"new"}})
	assert.Equal(t, http.StatusUnauthorized, s.Handle(t.Context(), keyed("/read/x", "old")).Status)
	assert.Equal(t, http.StatusOK, s.Handle(t.Context(), keyed("/read/x", "new")).Status)

	readAt = readAt.Add(-3 * time.Second)
	a := s.Handle(t.Context(), keyed("/read/x", "newer"))
	assert.Equal(t, http.StatusServiceUnavailable, a.Status)
	assert.Equal(t, relay.UnconfirmedKey, a.Reason)
	assert.Equal(t, relay.HeaderRetryAfter, a.Header[len(a.Header)-1].Name)
	assert.Equal(t, http.StatusOK, s.Handle(t.Context(), keyed("/read/x", "new")).Status)
}
