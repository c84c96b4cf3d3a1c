package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/gateway"
	"github.com/wigeonlock/wigeonlock/standin"
)

// teamsConfig returns a configuration with one team that holds keys.
func teamsConfig(version int, keys ...string) string {
	return strings.Replace(configOf(version, "s1"), `"services":`, fmt.Sprintf(
		`"tenants":{"columns":["name","api_keys"],"rows":[["office",["%s"]]]},"services":`, strings.Join(keys, `","`)), 1)
}

// _keyBound is how long a change of keys may take at an instance in touch with the store.
const _keyBound = 3 * time.Second

// keyCaller is a caller that keeps its connection.
type keyCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

func callerOf(t *testing.T, i *instance) *keyCaller {
	t.Helper()
	c, err := net.Dial("tcp", i.settings.Callers.Listen)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &keyCaller{t: t, conn: c, reader: bufio.NewReader(c)}
}

// statuses sends requests with keys at once and returns the statuses of their answers.
func (c *keyCaller) statuses(keys ...string) []int {
	var text strings.Builder
	for _, key := range keys {
		c.sent++
		fmt.Fprintf(&text, "GET /r/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %p-%d\r\nX-Deadline-Ms: 2000\r\nX-Tenant: boss\r\nX-Key: %s\r\n\r\n", c, c.sent, key)
	}
	_, err := io.WriteString(c.conn, text.String())
	require.NoError(c.t, err)
	var all []int
	for range keys {
		resp, err := http.ReadResponse(c.reader, nil)
		require.NoError(c.t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(c.t, err)
		require.NoError(c.t, resp.Body.Close())
		all = append(all, resp.StatusCode)
	}
	return all
}

// turnedAway returns the address of a way to the store, and what closes it.
func turnedAway(t *testing.T, kv *standin.KV) (string, *atomic.Bool) {
	t.Helper()
	var closed atomic.Bool
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: kv.Address()})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &closed
}

// TestWithdrawnKeyStaysOut withdraws a key while callers keep and pipeline on their connections
// and one instance is turned away by the store. The key comes back neither by an older version,
// nor by a restored store, nor at an instance that starts then.
func TestWithdrawnKeyStaysOut(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	w := startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", teamsConfig(5, "old", "kept"))
	way, closed := turnedAway(t, kv)
	instances := []*instance{
		startInstance(t, kv, "edge-1", "a"),
		startInstanceWith(t, kv, "edge-2", "b", func(s *gateway.Settings) { s.Store.Address = way }),
	}
	var callers []*keyCaller
	for _, i := range instances {
		require.Eventually(t, func() bool { return i.ready() && len(i.addresses(t)) == 2 }, _waitTimeout, _pollInterval)
		callers = append(callers, callerOf(t, i))
	}
	for _, c := range callers {
		require.Equal(t, []int{200, 200, 401}, c.statuses("old", "kept", "new"))
	}
	w.mu.Lock()
	assert.Equal(t, []string{"office"}, w.last.Values("X-Tenant"))
	assert.Empty(t, w.last.Values("X-Key"))
	w.mu.Unlock()

	time.Sleep(1500 * time.Millisecond)
	closed.Store(true)
	began := time.Now()
	kv.Write("op/config", teamsConfig(9, "kept", "new"))
	for _, c := range callers {
		require.Eventually(t, func() bool { return c.statuses("old")[0] == http.StatusUnauthorized }, _keyBound, _pollInterval)
		assert.Equal(t, []int{401, 200, 200, 401}, c.statuses("old", "kept", "new", "old"))
	}
	assert.Less(t, time.Since(began), _keyBound)

	text := instances[0].metrics(t)
	assert.Contains(t, text, `wigeonlock_team_requests_total{team="office",key="admitted"}`)
	assert.NotContains(t, text, `wigeonlock_team_requests_total{team="office",key="withdrawn"} 0`)

	out := func(c *keyCaller) {
		t.Helper()
		for _, status := range c.statuses("old", "old") {
			assert.NotEqual(t, 200, status)
		}
		assert.Equal(t, []int{200, 200}, c.statuses("kept", "new"))
	}
	closed.Store(false)
	outage(kv, 700*time.Millisecond, time.Since(began)+200*time.Millisecond)
	late := startInstance(t, kv, "edge-3", "a")
	require.Eventually(t, late.ready, _waitTimeout, _pollInterval)
	started := callerOf(t, late)
	// It asks its neighbours for what the restored store lacks.
	require.Eventually(t, func() bool { return started.statuses("old")[0] == http.StatusUnauthorized }, _keyBound, _pollInterval)
	callers = append(callers, started)
	kv.Write("op/config", teamsConfig(8, "old", "kept"))
	for range 30 {
		for _, c := range callers {
			out(c)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
