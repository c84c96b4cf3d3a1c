package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestReturnsAreRecognized has callers of two routes wait for different times, and some of
// them return after a refusal with what is left of theirs.
func TestReturnsAreRecognized(t *testing.T) {
	r := &returns{}
	assert.False(t, r.recognize("read", 0), "a caller that states no time")
	for range 200 {
		assert.False(t, r.recognize("read", 2*time.Second))
		assert.False(t, r.recognize("read", 1990*time.Millisecond))
		assert.False(t, r.recognize("pay", time.Second))
		assert.True(t, r.recognize("read", 1700*time.Millisecond))
	}
}

// TestReturnsFirstSeen has the first request of a route be a return: those after it tell
// the usual time.
func TestReturnsFirstSeen(t *testing.T) {
	r := &returns{}
	r.recognize("read", 1500*time.Millisecond)
	for range 100 {
		r.recognize("read", 2*time.Second)
	}
	assert.True(t, r.recognize("read", 1500*time.Millisecond))
}

// TestPatientCallersMakeNoReturns has one caller in fifty wait for a minute: the others
// must not pass for returns, as then new callers would have no limit of their own.
func TestPatientCallersMakeNoReturns(t *testing.T) {
	r := &returns{}
	wrong := 0
	for n := range 1000 {
		if n%50 == 7 {
			r.recognize("read", time.Minute)
		} else if r.recognize("read", 2*time.Second) {
			wrong++
		}
	}
	assert.Zero(t, wrong)
}
