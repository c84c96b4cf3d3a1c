package relay

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/retry"
)

// ErrTruncated is returned by a body that ends before its length.
var ErrTruncated = errors.New("answer is truncated")

// LengthReader returns a reader that fails with ErrTruncated, instead of io.EOF,
// when the body ends before length bytes.
func LengthReader(body io.ReadCloser, length int64) io.ReadCloser {
	if length < 0 {
		return body
	}
	return &lengthReader{ReadCloser: body, left: length}
}

type lengthReader struct {
	io.ReadCloser
	left int64
}

func (r *lengthReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.ReadCloser.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	if err == io.EOF && r.left > 0 {
		err = ErrTruncated
	}
	return n, err
}

// Buffer reads the body of an answer of up to BufferBytes into memory and then
// closes the worker's answer, which frees its slot. A truncated answer becomes
// one with an unknown outcome. A larger answer continues to stream.
func Buffer(a *Answer) *Answer {
	// A hook is called once the answer is in memory, not when the caller has it.
	if _, buffered := a.Body.(*memoryBody); buffered || a.Body == nil || a.Length > BufferBytes {
		return a
	}
	limit := int64(BufferBytes)
	if a.Length >= 0 {
		limit = a.Length
	}
	data := bytes.NewBuffer(make([]byte, 0, max(min(limit, 4<<10), bytes.MinRead)))
	_, err := io.Copy(data, io.LimitReader(a.Body, limit+1))
	switch {
	case err != nil || (a.Length >= 0 && int64(data.Len()) < a.Length):
		a.Close()
		broken := Unknown(WorkerBroken)
		broken.Worker = a.Worker
		return broken
	case a.Length < 0 && data.Len() > BufferBytes:
		a.Body = &prefixedBody{Reader: io.MultiReader(bytes.NewReader(data.Bytes()), a.Body), Closer: a.Body}
		return a
	default:
		a.Close()
		SetBytes(a, data.Bytes())
		return a
	}
}

// SetBytes makes data the body of an answer and sets its length.
func SetBytes(a *Answer, data []byte) {
	a.Length = int64(len(data))
	a.Body = &memoryBody{Reader: bytes.NewReader(data), data: data}
}

// Bytes returns the body of an answer if it is held in memory.
func Bytes(a *Answer) ([]byte, bool) {
	body := a.Body
	if hook, ok := body.(*closeHook); ok {
		body = hook.ReadCloser
	}
	m, ok := body.(*memoryBody)
	if !ok {
		return nil, false
	}
	return m.data, true
}

type memoryBody struct {
	*bytes.Reader
	data []byte
}

// Close does nothing.
func (m *memoryBody) Close() error { return nil }

type prefixedBody struct {
	io.Reader
	io.Closer
}

// ResumingReader reads the body of a large document and requests the rest of it
// after a failure.
type ResumingReader struct {
	// Answer is the first answer; its body must be read through ResumingReader only.
	Answer *Answer
	// Fetch requests the rest of the document with the given headers from
	// another worker than brokenWorker, whose answer ended early.
	Fetch func(headers []Header, brokenWorker string) *Answer
	// Retries is the number of times that the document may still be resumed.
	Retries int

	offset int64
	body   io.ReadCloser
	etag   string
	worker string
}

// Resumable reports whether a document can be resumed: it answers a GET with
// status 200 and is longer than BufferBytes, unencoded, with a strong ETag.
func Resumable(method string, a *Answer) bool {
	etag := Get(a.Header, "Etag")
	return method == "GET" && a.Status == 200 && a.Length > BufferBytes &&
		strings.HasPrefix(etag, `"`) && Get(a.Header, "Content-Encoding") == ""
}

// Read reads the document and resumes it when the connection breaks.
func (r *ResumingReader) Read(p []byte) (int, error) {
	if r.body == nil {
		r.body = r.Answer.Body
		r.etag = Get(r.Answer.Header, "Etag")
		r.worker = r.Answer.Worker
	}
	if r.offset >= r.Answer.Length {
		return 0, io.EOF
	}
	for {
		n, err := r.body.Read(p)
		r.offset += int64(n)
		if n > 0 || err == nil {
			return n, nil
		}
		if r.offset >= r.Answer.Length {
			return 0, io.EOF
		}
		if resumeErr := r.resume(); resumeErr != nil {
			return 0, errors.Wrap(resumeErr, err.Error())
		}
	}
}

// Close closes the body that is being read.
func (r *ResumingReader) Close() error {
	if r.body == nil {
		r.body = r.Answer.Body
	}
	return r.body.Close()
}

func (r *ResumingReader) resume() error {
	_ = r.body.Close()
	r.body = io.NopCloser(strings.NewReader(""))
	if r.Retries == 0 {
		return errors.New("document was resumed too many times")
	}
	r.Retries--
	next := r.Fetch([]Header{
		{Name: "Range", Value: fmt.Sprintf("bytes=%d-", r.offset)},
		{Name: "If-Range", Value: r.etag},
	}, r.worker)
	if err := r.checkContinuation(next); err != nil {
		next.Close()
		return err
	}
	r.body = next.Body
	r.worker = next.Worker
	return nil
}

func (r *ResumingReader) checkContinuation(next *Answer) error {
	want := fmt.Sprintf("bytes %d-%d/%d", r.offset, r.Answer.Length-1, r.Answer.Length)
	switch {
	case next.Outcome != retry.Run:
		return errors.Errorf("document cannot be resumed: %s", next.Reason)
	case next.Status != 206 || Get(next.Header, "Etag") != r.etag || Get(next.Header, "Content-Range") != want:
		return errors.New("document changed")
	default:
		return nil
	}
}
