package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

var errReset = errors.New("connection reset")

// truncatedReader returns data and then err.
type truncatedReader struct {
	data []byte
	err  error
}

func (r *truncatedReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, r.err
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

func answer(length int64, body io.Reader) *relay.Answer {
	return &relay.Answer{
		Outcome: retry.Run, Reason: relay.Served, Status: 200, Length: length, Body: io.NopCloser(body), Worker: "w0",
		Header: []relay.Header{{Name: "Etag", Value: `"v1"`}},
	}
}

// Invariant wholeAnswer: a truncated small answer is never forwarded.
func TestBufferNeverForwardsTruncatedAnswers(t *testing.T) {
	tests := map[string]*relay.Answer{
		"ends early":       answer(10, strings.NewReader("12345")),
		"reset":            answer(10, &truncatedReader{data: []byte("12345"), err: errReset}),
		"chunked, cut":     answer(relay.LengthUnknown, &truncatedReader{data: []byte("12345"), err: io.ErrUnexpectedEOF}),
		"nothing but head": answer(10, strings.NewReader("")),
	}
	for name, a := range tests {
		t.Run(name, func(t *testing.T) {
			got := relay.Buffer(a)
			assert.Equal(t, retry.Unknown, got.Outcome)
			assert.Equal(t, relay.WorkerBroken, got.Reason)
			assert.Equal(t, "w0", got.Worker)
		})
	}
}

func TestBufferReadsSmallAnswers(t *testing.T) {
	for _, length := range []int64{5, relay.LengthUnknown} {
		got := relay.Buffer(answer(length, strings.NewReader("12345")))
		data, ok := relay.Bytes(got)
		require.True(t, ok)
		assert.Equal(t, "12345", string(data))
		assert.Equal(t, int64(5), got.Length)
	}
}

func TestBufferStreamsLargeAnswers(t *testing.T) {
	text := strings.Repeat("x", relay.BufferBytes+100)
	for _, length := range []int64{int64(len(text)), relay.LengthUnknown} {
		got := relay.Buffer(answer(length, strings.NewReader(text)))
		_, ok := relay.Bytes(got)
		assert.False(t, ok)
		data, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		assert.Equal(t, text, string(data))
	}
}

func TestLengthReaderFailsOnTruncatedBody(t *testing.T) {
	_, err := io.ReadAll(relay.LengthReader(io.NopCloser(strings.NewReader("123")), 5))
	require.ErrorIs(t, err, relay.ErrTruncated)
	data, err := io.ReadAll(relay.LengthReader(io.NopCloser(strings.NewReader("12345extra")), 5))
	require.NoError(t, err)
	assert.Equal(t, "12345", string(data))
}

// TestResumingReader truncates a document at random offsets. It arrives
// complete, or the reader fails; it never arrives changed or truncated.
func TestResumingReader(t *testing.T) {
	document := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	rapid.Check(t, func(t *rapid.T) {
		cut := func() io.Reader {
			n := rapid.IntRange(0, len(document)).Draw(t, "cut")
			return &truncatedReader{data: document[:n], err: errReset}
		}
		first := answer(int64(len(document)), cut())
		require.True(t, relay.Resumable("GET", first))
		fault := rapid.SampledFrom([]string{"none", "none", "etag", "status", "range", "notRun"}).Draw(t, "fault")
		r := &relay.ResumingReader{Answer: first, Retries: 3, Fetch: func(headers []relay.Header, _ string) *relay.Answer {
			var offset int
			_, err := fmt.Sscanf(relay.Get(headers, "Range"), "bytes=%d-", &offset)
			require.NoError(t, err)
			assert.Equal(t, `"v1"`, relay.Get(headers, "If-Range"))
			return part(document, offset, fault, rapid.IntRange(0, len(document)-offset).Draw(t, "more"))
		}}
		data, err := io.ReadAll(r)
		if err == nil && !bytes.Equal(document, data) {
			t.Fatalf("%d of %d bytes arrived without an error", len(data), len(document))
		}
		if err != nil && !bytes.HasPrefix(document, data) {
			t.Fatal("other bytes arrived")
		}
		require.NoError(t, r.Close())
	})
}

// part returns an answer with the rest of a document from offset on, truncated
// after n bytes, with the given fault.
func part(document []byte, offset int, fault string, n int) *relay.Answer {
	total := len(document)
	a := answer(int64(total-offset), &truncatedReader{data: document[offset : offset+n], err: errReset})
	a.Status = 206
	a.Header = append(a.Header, relay.Header{
		Name: "Content-Range", Value: fmt.Sprintf("bytes %d-%d/%d", offset, total-1, total),
	})
	switch fault {
	case "etag":
		a.Header[0].Value = `"v2"`
	case "status":
		a.Status = 200
	case "range":
		a.Header[1].Value = fmt.Sprintf("bytes %d-%d/%d", offset+1, total-1, total)
	case "notRun":
		return relay.NotRun(relay.NoCapacity)
	}
	return a
}

func TestResumableNeedsStrongETag(t *testing.T) {
	a := answer(relay.BufferBytes+1, strings.NewReader(""))
	assert.True(t, relay.Resumable("GET", a))
	assert.False(t, relay.Resumable("POST", a))
	a.Header[0].Value = `W/"v1"`
	assert.False(t, relay.Resumable("GET", a))
}

func TestEndToEnd(t *testing.T) {
	got := relay.EndToEnd([]relay.Header{
		{Name: "Connection", Value: "close, X-Private"},
		{Name: "x-private", Value: "1"},
		{Name: "Transfer-Encoding", Value: "chunked"},
		{Name: "Accept", Value: "*/*"},
	})
	assert.Equal(t, []relay.Header{{Name: "Accept", Value: "*/*"}}, got)
}

func TestOnCloseRunsOnce(t *testing.T) {
	runs := 0
	a := answer(1, strings.NewReader("x"))
	a.OnClose(func() { runs++ })
	a.Close()
	a.Close()
	assert.Equal(t, 1, runs)
	relay.NotRun(relay.NoCapacity).OnClose(func() { runs++ })
	assert.Equal(t, 2, runs)
}
