package exchange_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/exchange"
	"github.com/wigeonlock/wigeonlock/retry"
)

// _brokenFields are lines that no head may hold.
var _brokenFields = map[string]string{
	"blank in the name":            "X Field: 1",
	"blank after the name":         "X-Field : 1",
	"blank before the name":        " X-Field: 1",
	"tab before the name":          "\tX-Field: 1",
	"tab in the name":              "X\tField: 1",
	"control byte in the name":     "X\x01Field: 1",
	"zero byte in the name":        "X-Field\x00: 1",
	"delete in the name":           "X\x7fField: 1",
	"high byte in the name":        "X\xc3Field: 1",
	"no name":                      ": 1",
	"no colon":                     "X-Field",
	"control byte in the value":    "X-Field: a\x01b",
	"zero byte in the value":       "X-Field: \x00",
	"line end in the value":        "X-Field: a\rX-Other: 1",
	"length with a blank":          "Content-Length : 4",
	"chunks with a blank":          "Transfer-Encoding : chunked",
	"chunks in a further line":     " Transfer-Encoding: chunked",
	"refusal with a blank":         "Not-Run : 1",
	"refusal, and a broken field":  "Not-Run: 1\r\nX Field: 1",
	"name that is all blanks":      "  : 1",
	"blank in the name of another": "Id X: 1",
}

// TestBrokenHeadIsNoAnswer guards against heads of workers in trouble that callers get as answers:
// a name of a field with a blank was passed on, or hid the length of the body.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: one\r\n"
	for name, field := range _brokenFields {
		answers := map[string]string{
			"with a length":       head + "Content-Length: 4\r\n" + field + "\r\n\r\nbody",
			"without a length":    head + field + "\r\n\r\nbody",
			"at the start":        "HTTP/1.1 200 OK\r\n" + field + "\r\nId: one\r\nContent-Length: 4\r\n\r\nbody",
			"in chunks":           head + "Transfer-Encoding: chunked\r\n" + field + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"refusal":             "HTTP/1.1 503 Full\r\nId: one\r\nNot-Run: 1\r\nContent-Length: 0\r\n" + field + "\r\n\r\n",
			"of another worker":   "HTTP/1.1 421 Other\r\nId: one\r\nContent-Length: 0\r\n" + field + "\r\n\r\n",
			"interim":             "HTTP/1.1 103 Hints\r\n" + field + "\r\n\r\n" + string(ok("one", "body")),
			"after an interim":    "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 4\r\n" + field + "\r\n\r\nbody",
			"after a long head":   head + "Long: " + strings.Repeat("x", 8<<10) + "\r\n" + field + "\r\nContent-Length: 4\r\n\r\nbody",
			"after a late answer": string(ok("zero", "late")) + head + "Content-Length: 4\r\n" + field + "\r\n\r\nbody",
		}
		for kind, answer := range answers {
			t.Run(name+" "+kind, func(t *testing.T) {
				w := startWorker(t, func(_ int, _ *http.Request, c net.Conn) []byte {
					_, _ = c.Write([]byte(answer))
					return nil
				})
				result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
				assert.Equal(t, retry.Unknown, result.Answer.Outcome, "got status %d, %q", result.Answer.Status, bodyOf(result))
			})
		}
	}
}

// TestBrokenTrailerIsNoAnswer has a worker end a body in chunks with a field that no answer holds.
func TestBrokenTrailerIsNoAnswer(t *testing.T) {
	for _, field := range []string{"X Field: 1", "X-Field : 1", "X\x01Field: 1", "X-Field"} {
		w := startWorker(t, func(_ int, r *http.Request, _ net.Conn) []byte {
			return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s\r\n\r\n", r.Header.Get("Id"), field)
		})
		result := do(t, &exchange.Pool{HeaderNames: _names}, w, request("one"))
		assert.Equal(t, retry.Unknown, result.Answer.Outcome, "%q", field)
	}
}

// TestUnusualHeadIsAnAnswer checks that heads which the protocol allows are not taken for broken.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for _, field := range []string{
		"!#$%&'*+-.^_`|~09azAZ: 1", "X-Field:", "X-Field:   ", "X-Field:1", "X-Field: a\tb", "X-Field: \"quoted: text\"", "X-Field: a\x80\xff",
		"x-field: lower", "X-Field: 1\nX-Other: 2",
	} {
		for _, interim := range []string{"", "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
			w := startWorker(t, func(_ int, r *http.Request, c net.Conn) []byte {
				answer := append([]byte(interim), ok(r.Header.Get("Id"), " body: \x00\r\n\r\n x: 1\r\n", field)...)
				// Byte by byte, so that the parts of the head arrive apart.
				for i := range answer {
					if i < 40 {
						_, _ = c.Write(answer[i : i+1])
					}
				}
				return answer[40:]
			})
			p := &exchange.Pool{HeaderNames: _names}
			for _, id := range []string{"one", "two"} {
				result := do(t, p, w, request(id))
				assert.Equal(t, retry.Run, result.Answer.Outcome, "%q", field)
				assert.Equal(t, " body: \x00\r\n\r\n x: 1\r\n", bodyOf(result))
				assert.Equal(t, id == "two", result.Reused)
			}
		}
	}
}
