package play_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/soak/fault"
	"github.com/wigeonlock/wigeonlock/soak/play"
)

// TestSchedule runs a schedule with events of most kinds against real processes. It
// evaluates only invariants without a time limit, so that a busy machine does not
// change the result.
func TestSchedule(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "wigeonlock")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/wigeonlock").CombinedOutput()
	require.NoError(t, err, string(out))
	event := func(at float64, k fault.Kind, target int, mode string, duration, share float64) fault.Event {
		const second = float64(time.Second)
		return fault.Event{
			At: time.Duration(at * second), Kind: k, Target: target, Mode: mode, Duration: time.Duration(duration * second), Share: share,
		}
	}
	events := []fault.Event{
		event(0.5, fault.WorkerFault, 0, "loseAnswer", 2, 0.3),
		event(0.5, fault.WorkerFault, 1, "loseAnswer", 2, 0.3),
		event(0.5, fault.WorkerFault, 2, "extra", 3, 0.3),
		event(0.5, fault.WorkerFault, 3, "late", 3, 0.3),
		event(0.7, fault.WorkerFault, 5, "truncate", 3, 0.3),
		event(0.5, fault.Limit, 7, "", 5, 0.3),
		event(1, fault.Configure, 0, "", 0, 0),
		event(1, fault.StoreFault, 0, "losesWrites", 1, 0),
		event(1.5, fault.Terminate, 1, "", 0, 0),
		event(2, fault.Kill, 2, "", 0, 0),
		event(2, fault.Crash, 4, "", 0, 0),
		event(2.2, fault.WorkerLink, 6, "cutDown", 0.8, 0),
		event(2.5, fault.StoreCompact, 0, "", 0, 0),
		event(2.5, fault.Configure, 0, "", 0, 0),
		{At: 2700 * time.Millisecond, Kind: fault.Restore, Mode: "reset", Duration: 400 * time.Millisecond, Age: time.Second},
		event(3, fault.KillAll, 0, "", 0, 0),
	}
	result, err := play.Run(t.Context(), play.Options{
		Binary: binary, Dir: dir, Seed: 1, Length: 6 * time.Second, Events: events, Subnet: _subnet, SkipTimed: true,
	})
	require.NoError(t, err)
	assert.Empty(t, result.Violations)
	assert.Positive(t, result.Served)
}

// _subnet separates the addresses of the test from those of a soak run by hand.
const _subnet = 199
