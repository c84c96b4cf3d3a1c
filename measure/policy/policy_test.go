package policy_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/measure/policy"
)

func run(t *testing.T, seed uint64, names ...string) []policy.Trial {
	t.Helper()
	var deployments []deployment.Deployment
	for _, name := range deployment.Names() {
		d, ok := deployment.Find(name)
		require.True(t, ok)
		deployments = append(deployments, d)
	}
	return policy.Run(policy.Options{Seed: seed, Deployments: deployments, Names: names})
}

// The invariants shiftCap and noOverload hold in trials of load and faults. The
// simpler policies breach them, which shows that the trials detect a breach.
func TestShiftCapAndNoOverload(t *testing.T) {
	breaches := 0
	for _, trial := range run(t, 1, "monthEndTenfold", "regionLost") {
		if trial.Policy != policy.Wigeonlock {
			breaches += trial.CapBreaches + trial.OverloadedMoves
			continue
		}
		assert.Zero(t, trial.CapBreaches, "%s, %s", trial.Deployment, trial.Name)
		assert.Zero(t, trial.OverloadedMoves, "%s, %s", trial.Deployment, trial.Name)
		assert.Positive(t, trial.Moves, "%s, %s", trial.Deployment, trial.Name)
	}
	assert.Positive(t, breaches)
}

// A planned drain of a zone ends once the lookup answers of callers have expired,
// the change has propagated and the open requests have ended.
func TestZoneDrainEnds(t *testing.T) {
	for _, trial := range run(t, 1, "zoneDrained") {
		if trial.Policy == policy.Wigeonlock {
			assert.Positive(t, trial.DrainMs)
			assert.Less(t, trial.DrainMs, 12_000.0)
			assert.Greater(t, trial.GoodputShare, 0.95)
		}
	}
}

func TestTrialsAreRepeatable(t *testing.T) {
	assert.Equal(t, run(t, 3, "zoneDrained"), run(t, 3, "zoneDrained"))
}

// A leaving worker is sent no request after two seconds.
func TestLeavingWorkerInTrial(t *testing.T) {
	for _, trial := range run(t, 1, "workerLeaves") {
		if trial.Policy == policy.Wigeonlock {
			assert.Less(t, trial.AfterLeavingMs, 2000.0, trial.Deployment)
		}
	}
}
