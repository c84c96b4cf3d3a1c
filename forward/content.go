package forward

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonlock/wigeonlock/relay"
)

// content identifies what a request asks for. Requests of different callers, and the repeats
// of one caller, which have IDs of their own, have the same content.
type content uint64

// String returns the content as it is logged.
func (c content) String() string {
	return strconv.FormatUint(uint64(c), 16)
}

// contentOf hashes the method, the host, the target, the object and the body of a request.
func contentOf(r *relay.Request) content {
	h := xxhash.New()
	for _, part := range []string{r.Method, hostOf(r.Host), r.URI, r.Object} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	if r.Body != nil {
		_, _ = h.Write(r.Body.Bytes)
	}
	return content(h.Sum64())
}
