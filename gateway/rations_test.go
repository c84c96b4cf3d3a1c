package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	// The quota of the team, and what may run within _quotaWindow: a tenth more, and
	// _quotaSlack.
	_quotaRate   = 20
	_quotaBurst  = 10
	_quotaWindow = 5 * time.Second
	_quotaSlack  = 20
)

// configWithQuota is configOf with one team whose quota is limited.
func configWithQuota(version int) string {
	teams := fmt.Sprintf(`"tenants":{"columns":["name","api_keys","rate_per_s","burst"],"rows":[["team-1",["key-1"],%d,%d]]},"services":`, _quotaRate, _quotaBurst)
	return strings.Replace(configOf(version, "s1"), `"services":`, teams, 1)
}

// TestTeamGetsItsQuota has the callers of a team send far more than its quota to three
// instances: together they keep it and use it, and tell the others when to return.
func TestTeamGetsItsQuota(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	workers := startBackends(t, kv, 4)
	kv.Write("op/config", configWithQuota(5))
	instances := make([]*instance, 3)
	for i := range instances {
		instances[i] = startInstance(t, kv, fmt.Sprint("edge-", i), []string{"a", "b"}[i%2])
	}
	for _, i := range instances {
		require.Eventually(t, func() bool { return i.ready() && len(i.addresses(t)) == 3 }, _waitTimeout, _pollInterval)
	}
	require.Eventually(t, func() bool { status, _ := sendAsTeam(t, instances[0], 0); return status == http.StatusOK }, _waitTimeout, 100*time.Millisecond)
	from := time.Now()
	var (
		mu       sync.Mutex
		statuses = make(map[int]int)
		group    sync.WaitGroup
	)
	for i, one := range instances {
		group.Go(func() {
			for n := 1; time.Since(from) < 8*time.Second; n++ {
				status, retryAfter := sendAsTeam(t, one, 1000*(i+1)+n)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
				if status == http.StatusTooManyRequests {
					after, err := strconv.ParseFloat(retryAfter, 64)
					assert.NoError(t, err)
					assert.Less(t, after, 2.5)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	var times []time.Time
	for _, w := range workers {
		times = append(times, arrivalsAfter(w, from)...)
	}
	allowed := 1.1*(_quotaRate*_quotaWindow.Seconds()+_quotaBurst) + _quotaSlack
	assert.LessOrEqual(t, float64(mostWithin(times, _quotaWindow)), allowed)
	assert.GreaterOrEqual(t, len(times), 8*_quotaRate*95/100, "the quota is used: %v", statuses)
	assert.Equal(t, statuses[http.StatusOK], len(times))
	assert.Len(t, statuses, 2, "the others are refused: %v", statuses)
	assert.Contains(t, instances[0].metrics(t), `wigeonlock_team_quota{team="team-1"} 20`)
}

// sendAsTeam sends a request with the key of the team.
func sendAsTeam(t *testing.T, one *instance, n int) (status int, retryAfter string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/r/%d/64", one.settings.Callers.Listen, n%40), nil)
	assert.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", fmt.Sprint("q-", n))
	req.Header.Set("X-Deadline-Ms", "2000")
	req.Header.Set("X-Key", "key-1")
	resp, err := http.DefaultClient.Do(req)
	if !assert.NoError(t, err) {
		return 0, ""
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}
