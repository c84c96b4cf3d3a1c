package measure_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/measure"
)

// Under each load pattern, the real placement serves more requests in time than
// the simpler policies: overall, during the disturbance and after it.
func TestPlacementBeatsSimplerPolicies(t *testing.T) {
	result, err := measure.Placement(t.Context(), measure.Options{Seed: 1})
	require.NoError(t, err)
	ours := make(map[string]measure.PlacementRow)
	for _, r := range result.Rows {
		if r.Policy == "wigeonlock" {
			ours[r.Pattern] = r
		}
	}
	assert.Len(t, ours, 9)
	assert.Len(t, result.Rows, 3*9)
	for _, r := range result.Rows {
		if r.Policy == "wigeonlock" {
			continue
		}
		best := ours[r.Pattern]
		assert.Greater(t, best.InTime, r.InTime, "%s against %s", r.Pattern, r.Policy)
		assert.Greater(t, best.During, r.During, "%s against %s", r.Pattern, r.Policy)
		assert.Greater(t, best.After, r.After, "%s against %s", r.Pattern, r.Policy)
	}
}
