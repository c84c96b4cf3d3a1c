package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

// TestPaymentLateInPlannedStopIsNotCut sends a payment on an open connection while the instance
// stops, to a worker that takes longer than the stop may take: the payment must not be passed on
// and then cut.
func TestPaymentLateInPlannedStopIsNotCut(t *testing.T) {
	kv := standin.NewKV()
	defer kv.Close()
	w := startWorker(t, kv, "i-1", "s1", "a")
	kv.Write("op/config", configOf(5, "s1", `["p","h.example","/p/","non_idempotent",4000,500,1,"s1",2,true,[],null]`))
	i := startInstance(t, kv, "edge-1", "a")
	require.Eventually(t, i.answered("/p/x", http.StatusOK, "i-1"), _waitTimeout, _pollInterval)
	conn, err := net.Dial("tcp", i.settings.Callers.Listen)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	release := make(chan struct{})
	defer close(release)
	w.mu.Lock()
	w.release = release
	served := w.served
	w.mu.Unlock()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		i.stop(t)
	}()
	time.Sleep(500 * time.Millisecond)
	_, err = fmt.Fprint(conn, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: late\r\nX-Deadline-Ms: 3500\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "it ends with an answer")
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	assert.Equal(t, "0.000", resp.Header.Get("Retry-After"), "another instance takes it at once")
	assert.Equal(t, served, w.count())
	<-stopped
}
