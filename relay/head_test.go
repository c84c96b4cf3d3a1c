package relay_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/relay"
)

// check checks text in pieces of the given sizes, and the rest at once.
func check(text string, answers bool, sizes ...int) error {
	h := relay.HeadChecker{Answers: answers}
	h.Expect()
	for _, size := range sizes {
		n := min(size, len(text))
		if err := h.Check([]byte(text[:n])); err != nil {
			return err
		}
		text = text[n:]
	}
	return h.Check([]byte(text))
}

// TestHeadChecker checks which heads are broken, and that bytes behind a head are not checked.
func TestHeadChecker(t *testing.T) {
	const broken = "X Field: 1\r\n"
	tests := map[string]struct {
		text    string
		request bool
		ok      bool
	}{
		"answer":                          {text: "HTTP/1.1 200 OK\r\nA: 1\r\nB:\r\n\r\n" + broken, ok: true},
		"line feeds alone":                {text: "HTTP/1.1 200 OK\nA: 1\n\n" + broken, ok: true},
		"no fields":                       {text: "HTTP/1.1 200 OK\r\n\r\n" + broken, ok: true},
		"interim, then broken":            {text: "HTTP/1.1 103 Hints\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + broken},
		"interim, then body":              {text: "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n" + broken, ok: true},
		"request whose line looks like 1": {text: "GET /1234 HTTP/1.1\r\nA: 1\r\n\r\n" + broken, request: true, ok: true},
		"request whose path has a 1":      {text: "GET /abcd1 HTTP/1.1\r\nA: 1\r\n\r\n" + broken, request: true, ok: true},
		"blank in a name":                 {text: "HTTP/1.1 200 OK\r\n" + broken},
		"continued line":                  {text: "HTTP/1.1 200 OK\r\nA: 1\r\n B: 1\r\n\r\n"},
		"blanks alone":                    {text: "HTTP/1.1 200 OK\r\nA: 1\r\n \r\n\r\n"},
		"return without a feed":           {text: "HTTP/1.1 200 OK\r\nA: 1\rB: 2\r\n\r\n"},
		"return at the start of a line":   {text: "HTTP/1.1 200 OK\r\n\rA: 1\r\n\r\n"},
		"control byte in the start line":  {text: "HTTP/1.1 200 O\x00K\r\n\r\n"},
		"no colon":                        {text: "HTTP/1.1 200 OK\r\nA\r\n\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for size := range len(tt.text) {
				err := check(tt.text, !tt.request, size)
				if tt.ok {
					require.NoError(t, err, "split at %d", size)
				} else {
					require.ErrorIs(t, err, relay.ErrBrokenHead, "split at %d", size)
				}
			}
		})
	}
	assert.NoError(t, new(relay.HeadChecker).Check([]byte(broken)), "no head is expected")
}

// TestHeadCheckerAgreesWithTheParser draws heads. What the checker lets pass, the parser reads
// with the same names, and the verdict does not depend on how the bytes arrive.
func TestHeadCheckerAgreesWithTheParser(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOf(rapid.SampledFrom([]string{"A", "b-", " ", "\t", ":", ": ", "\r\n", "\n", "\r", "\x00", "1", "\x80"})).Draw(t, "head")
		text := "HTTP/1.1 200 OK\r\n" + strings.Join(pieces, "") + "\r\n\r\n"
		sizes := rapid.SliceOf(rapid.IntRange(1, 4)).Draw(t, "sizes")
		err := check(text, true)
		require.Equal(t, err, check(text, true, sizes...))
		if err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		require.NoError(t, err, "%q", text)
		for name := range resp.Header {
			require.NotContains(t, name, " ")
		}
		_ = resp.Body.Close()
	})
}
