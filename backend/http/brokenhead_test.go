package http_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	backendhttp "github.com/wigeonlock/wigeonlock/backend/http"
	"github.com/wigeonlock/wigeonlock/retry"
)

// TestBrokenHeadIsNoAnswer guards against heads of workers in trouble that callers get as answers:
// a name of a field with a blank was passed on, or hid the length of the body.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nWigeonlock-Request-Id: two\r\n"
	for _, field := range []string{
		"X Field: 1", "X-Field : 1", "X\x01Field: 1", "Date: 1\r\n X-Field: 1", "Date: 1\r\n\tTransfer-Encoding: chunked",
		"Content-Length : 4", "Transfer-Encoding : chunked", "X-Field: a\rX-Other: 1", "X-Field",
	} {
		for kind, answer := range map[string]string{
			"with a length":    head + "Content-Length: 4\r\n" + field + "\r\n\r\nbody",
			"without a length": head + field + "\r\n\r\nbody",
			"in chunks":        head + "Transfer-Encoding: chunked\r\n" + field + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"refusal":          "HTTP/1.1 503 Full\r\nWigeonlock-Request-Id: two\r\nWigeonlock-Refused: true\r\n" + field + "\r\nContent-Length: 0\r\n\r\n",
			"interim":          "HTTP/1.1 103 Hints\r\n" + field + "\r\n\r\n" + answerTo("two", "body"),
			"trailer":          head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + field + "\r\n\r\n",
		} {
			if kind == "trailer" && field[0] == 'D' {
				// A continued line there hides nothing and is not passed on.
				continue
			}
			t.Run(field+" "+kind, func(t *testing.T) {
				w := workerOf(t, func(n int, _ *http.Request, c net.Conn) string {
					if n == 1 {
						return answerTo("one", "whole")
					}
					_, _ = c.Write([]byte(answer))
					_ = c.Close()
					return ""
				})
				transport := &backendhttp.Transport{Connections: 1}
				_, body := handle(t, transport, w, "one")
				assert.Equal(t, "whole", body)
				a, body := handle(t, transport, w, "two")
				assert.True(t, a.Outcome == retry.Unknown || body == "broken", "got %s %d, %q", a.Outcome, a.Status, body)
			})
		}
	}
}
