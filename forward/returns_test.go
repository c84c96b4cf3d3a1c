package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestReturnsAreRecognized(t *testing.T) {
	r := &returns{}
	assert.False(t, r.recognize("read", 0), "a caller that states no time")
	assert.False(t, r.recognize("read", 2*time.Second))
	assert.False(t, r.recognize("pay", time.Second), "callers of another route wait less")
	assert.True(t, r.recognize("read", 1700*time.Millisecond))
	assert.False(t, r.recognize("read", 1990*time.Millisecond))
	assert.False(t, r.recognize("read", 3*time.Second))
	assert.True(t, r.recognize("read", 2*time.Second))
}
