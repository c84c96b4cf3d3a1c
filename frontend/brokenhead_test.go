package frontend_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBrokenHeadIsNoRequest guards against requests inside of requests: a length whose name holds a
// blank was passed on to the worker, and the body read as the next request.
func TestBrokenHeadIsNoRequest(t *testing.T) {
	hidden := get("/hidden")
	for _, field := range []string{
		"Content-Length : 38", "Content Length: 38", "Transfer-Encoding : chunked", "A: 1\r\n Content-Length: 38",
		"A: 1\r\n\tContent-Length: 38", "A: 1\rContent-Length: 38", "A\x01: 1", "A: \x00", ": 1", "A",
	} {
		for kind, before := range map[string]string{"first": "", "pipelined": get("/first")} {
			t.Run(field+" "+kind, func(t *testing.T) {
				h := &handler{}
				_, address := start(t, h, _limits)
				c, r := dial(t, address)
				go func() {
					_, _ = io.WriteString(c, before+"PUT /1 HTTP/1.1\r\nHost: h\r\nId: x\r\n"+field+"\r\n\r\n"+hidden)
				}()
				if before != "" {
					_, body := read(t, r)
					assert.Equal(t, "/first:", body)
				}
				resp, body := read(t, r)
				assert.Equal(t, http.StatusBadRequest, resp.status)
				assert.Contains(t, body, `"reason":"badRequest"`)
				assert.True(t, resp.closes)
				started, _ := h.requests()
				assert.NotContains(t, started, "/1")
				assert.NotContains(t, started, "/hidden")
			})
		}
	}
}

// TestUnusualHeadIsARequest checks that heads which the protocol allows are not taken for broken,
// also when their bytes arrive apart.
func TestUnusualHeadIsARequest(t *testing.T) {
	for _, field := range []string{"!#$%&'*+-.^_`|~09azAZ: 1", "A:", "A: a\tb\x80\xff", "A: \"quoted: text\""} {
		h := &handler{}
		_, address := start(t, h, _limits)
		c, r := dial(t, address)
		text := "PUT /1 HTTP/1.1\r\nHost: h\r\nId: x\r\n" + field + "\r\nContent-Length: 5\r\n\r\n x:\x00\r" + get("/2")
		for i := range text {
			_, err := io.WriteString(c, text[i:i+1])
			require.NoError(t, err)
		}
		resp, body := read(t, r)
		assert.Equal(t, http.StatusOK, resp.status)
		assert.Equal(t, "/1: x:\x00\r", body)
		_, body = read(t, r)
		assert.Equal(t, "/2:", body)
	}
}
