package play

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRunsAtOnceUseOtherSubnets claims the same subnet twice.
func TestRunsAtOnceUseOtherSubnets(t *testing.T) {
	first, err := claimSubnet(_maxSubnet - 20)
	require.NoError(t, err)
	second, err := claimSubnet(_maxSubnet - 20)
	require.NoError(t, err)
	assert.Greater(t, second.subnet, first.subnet)
	first.release()
	second.release()
}
