package instance_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBrokenHeadIsNoRequest guards against requests inside of requests: a length whose name holds a
// blank hides a body, which is then read as the next request on the connection.
func TestBrokenHeadIsNoRequest(t *testing.T) {
	c := start(t, nil)
	address := c.EntryInstances[0].Settings.Callers.Listen
	head := func(path, key string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nWigeonlock-Service: %s\r\nWigeonlock-Customer: %s\r\nIdempotency-Key: %s\r\n",
			path, _service, _customer, key)
	}
	for n, field := range []string{
		"Content-Length : 3000", "Content Length: 3000", "Transfer-Encoding : chunked",
		"A\x01: 1", "A: \x00", "A: 1\rContent-Length: 3000",
	} {
		t.Run(field, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
			outer, hidden := fmt.Sprint("outer-", n), fmt.Sprint("hidden-", n)
			_, err = io.WriteString(conn, head("/echo", outer)+field+"\r\n\r\n"+head("/echo", hidden)+"Content-Length: 0\r\n\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_ = resp.Body.Close()
				assert.Equal(t, http.StatusBadRequest, resp.StatusCode)
			}
			time.Sleep(50 * time.Millisecond)
			assert.Zero(t, runsOf(c, outer))
			assert.Zero(t, runsOf(c, hidden))
		})
	}
}
