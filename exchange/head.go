package exchange

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonlock/wigeonlock/relay"
)

// _maxRest is the longest pause that a worker may ask for; longer ones count as this.
const _maxRest = 24 * time.Hour

// isStatus reports whether a status is one of an answer or of an interim answer. Others, which
// http.ReadResponse lets pass, are bytes that are no answer, also 101: no request asks to
// switch the protocol.
func isStatus(status int) bool {
	return status >= http.StatusContinue && status <= 599 && status != http.StatusSwitchingProtocols
}

// recordHead records what the head of an answer says of the worker. A head that names another
// request is still one of the same worker if the connection proved to lead there.
func (p *Pool) recordHead(c *conn, resp *http.Response, r *relay.Request, result *Result) {
	if p.misdirected(resp.StatusCode, resp.Header) {
		return
	}
	id := resp.Header.Get(p.HeaderNames.RequestID)
	if (id == r.ID || id == "" || c.used) && strings.TrimSpace(resp.Header.Get(p.HeaderNames.Leaving)) == "1" {
		result.Leaving = true
	}
	refused := resp.StatusCode == http.StatusServiceUnavailable ||
		resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get(p.HeaderNames.NotRun) != ""
	if refused && (id == r.ID || id == "" && !c.used) {
		result.Rest = parseRest(resp.Header, p.HeaderNames.Rest)
	}
}

// parseRest returns the pause that a refusal asks for: seconds, which may have fractions, or
// a date, which counts from that of the answer. Anything else is counted and ignored.
func parseRest(header http.Header, name string) time.Duration {
	text := strings.TrimSpace(header.Get(name))
	if text == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil || math.IsInf(seconds, 1) {
		if math.IsNaN(seconds) || seconds < 0 || strings.ContainsAny(text, "nN") {
			_badRests.Inc()
			return 0
		}
		return time.Duration(min(seconds, _maxRest.Seconds()) * float64(time.Second))
	}
	until, err := http.ParseTime(text)
	said, dateErr := http.ParseTime(header.Get("Date"))
	if err != nil || dateErr != nil {
		// Without the worker's clock, a date tells no time span.
		_badRests.Inc()
		return 0
	}
	return min(max(until.Sub(said), 0), _maxRest)
}
