package forward

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/wigeonlock/wigeonlock/bytebudget"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

const (
	// _largeAnswer is the expected size of an answer of a kind whose answers are large, in
	// bytes, while none was seen.
	_largeAnswer = 1 << 20
	// _largestShare is the largest part of the memory that is taken for one answer in advance.
	_largestShare = 0.25
	// _largeDeviations and _slowDeviations are the numbers of mean deviations above the mean
	// that few answers exceed in size and in time. An answer that is larger than expected waits
	// for memory, one that takes longer than expected may be lost in a planned stop.
	_largeDeviations = 2
	_slowDeviations  = 4
)

// takeMemory reserves memory for the answer of a request, or returns the refusal of a request
// for which there is none: an answer that has to wait for it could be lost when the request ran.
func (s *Service) takeMemory(ctx context.Context, rs *requestState) *relay.Answer {
	if s.Memory == nil {
		return nil
	}
	size := s.expectedSize(rs)
	room, ok := s.Memory.Acquire(ctx, bytebudget.Answers, size, 0)
	if !ok {
		return refusal(relay.NoMemory, jittered(s.Memory.Pause(bytebudget.Answers, size)))
	}
	rs.request.AnswerRoom = room
	rs.onRelease(func() {
		if !rs.answerHolds {
			room.Release()
		}
	})
	return nil
}

// expectedSize returns the size in bytes that the answer to a request may have.
func (s *Service) expectedSize(rs *requestState) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.answers[rs.route.Name]
	switch {
	case seen != nil:
		return int64(min(seen.size.atMost(_largeDeviations), _largestShare*float64(s.Memory.Limit())))
	case rs.route.Kind.Large():
		return min(_largeAnswer, int64(_largestShare*float64(s.Memory.Limit())))
	}
	return 0
}

// holdAnswer keeps the memory of an answer until the caller has it, and learns from it.
func (s *Service) holdAnswer(rs *requestState, a *relay.Answer) {
	room := rs.request.AnswerRoom
	data, _ := relay.Bytes(a)
	room.Shrink(int64(len(data)))
	route, received := rs.route.Name, rs.request.Received
	rs.answerHolds = true
	if a.Outcome != retry.Run || a.Status >= http.StatusMultipleChoices {
		a.OnClose(room.Release)
		return
	}
	size := float64(len(data))
	a.OnClose(func() {
		room.Release()
		s.answered(route, size, time.Since(received))
	})
}

// answered records the size of an answer, and the time from the receipt of its request until
// it was written to the caller.
func (s *Service) answered(route string, size float64, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.answers[route]
	if seen == nil {
		seen = &answers{}
		s.answers[route] = seen
	}
	seen.size.add(size)
	seen.seconds.add(took.Seconds())
}

// answers is what was seen of the answers of a route.
type answers struct {
	size    movingMean
	seconds movingMean
}

// movingMean is a moving mean with its mean deviation, as in the retransmission timer of TCP.
type movingMean struct {
	mean, deviation float64
	known           bool
}

const (
	_meanGain      = 1.0 / 8
	_deviationGain = 1.0 / 4
)

func (m *movingMean) add(v float64) {
	if !m.known {
		m.mean, m.deviation, m.known = v, v/4, true
		return
	}
	m.deviation += _deviationGain * (math.Abs(v-m.mean) - m.deviation)
	m.mean += _meanGain * (v - m.mean)
}

// atMost returns a value that few exceed.
func (m *movingMean) atMost(deviations float64) float64 {
	return m.mean + deviations*m.deviation
}
