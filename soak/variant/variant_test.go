package variant_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/soak/variant"
)

// TestVariantsApply applies each variant to a copy of the files that it edits: a
// variant whose edits no longer match the sources would not break anything.
func TestVariantsApply(t *testing.T) {
	names := make(map[string]bool)
	for _, v := range variant.All() {
		t.Run(v.Name, func(t *testing.T) {
			assert.False(t, names[v.Name], "duplicate name")
			names[v.Name] = true
			tree := t.TempDir()
			for _, e := range v.Edits {
				data, err := os.ReadFile(filepath.Join("..", "..", e.File))
				require.NoError(t, err)
				require.NoError(t, os.MkdirAll(filepath.Join(tree, filepath.Dir(e.File)), 0o700))
				require.NoError(t, os.WriteFile(filepath.Join(tree, e.File), data, 0o600))
			}
			require.NoError(t, v.Apply(tree))
		})
	}
	assert.GreaterOrEqual(t, len(names), 10)
}
