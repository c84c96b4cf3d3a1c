// Package standin implements small HTTP stand-ins for the systems around
// wigeonlock: the platform's store with its list of instances, and backend
// servers (workers).
//
// Platform and Worker speak the protocols of store/http, discovery/http and
// backend/http; KV and Backend speak those of the users' platform, to which package
// platform adapts.
//
// They inject faults on request, so that tests and the demo can provoke failures, and
// they record the requests that they ran.
//
// # Usage
//
//	p := &standin.Platform{ListLag: 2 * time.Second}
//	err := p.Listen("127.0.0.1:0")
//	defer p.Close()
//
//	w := &standin.Worker{Service: "katalog", Slots: 5, ServiceTime: 20 * time.Millisecond}
//	err = w.Listen("127.0.0.1:0")
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

const (
	_readHeaderTimeout = 5 * time.Second
	_maxBehaviourBytes = 4 << 10
	_maxRecordBytes    = 64 << 10
)

// Mode selects how a stand-in behaves.
type Mode string

// Modes of Platform (OK, Down, Slow, LoseReplies) and of Worker (all but Down and
// LoseReplies).
const (
	OK          Mode = "ok"
	Down        Mode = "down"
	Slow        Mode = "slow"
	LoseReplies Mode = "loseReplies"
	Shed        Mode = "shed"
	Errors      Mode = "errors"
	Truncate    Mode = "truncate"
	Silent      Mode = "silent"
	LateReply   Mode = "lateReply"
	Draining    Mode = "draining"
)

// Behaviour is the body of POST /standin/behaviour.
type Behaviour struct {
	Mode    Mode  `json:"mode"`
	DelayMs int64 `json:"delayMs"`
}

// Delay returns DelayMs as a duration.
func (b Behaviour) Delay() time.Duration {
	return time.Duration(b.DelayMs) * time.Millisecond
}

// readBehaviour decodes a request body whose mode must be one of allowed. Otherwise
// it answers 400 and returns false.
func readBehaviour(w http.ResponseWriter, r *http.Request, allowed ...Mode) (Behaviour, bool) {
	var b Behaviour
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, _maxBehaviourBytes)).Decode(&b)
	if err == nil {
		for _, m := range allowed {
			if b.Mode == m {
				return b, true
			}
		}
	}
	http.Error(w, "body must be {\"mode\", \"delayMs\"} with a known mode", http.StatusBadRequest)
	return Behaviour{}, false
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// closeServer closes a server and its listener. Close of a server whose Serve has
// not run yet does not close the listener.
func closeServer(s *http.Server, l net.Listener) error {
	err := s.Close()
	if closeErr := l.Close(); err == nil && !errors.Is(closeErr, net.ErrClosed) {
		err = closeErr
	}
	return err
}

// abort closes the connection of the request without completing the answer.
func abort() {
	panic(http.ErrAbortHandler)
}
