package draft_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/draft"
	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/platform"
)

func read(t *testing.T, name string, list *findings.List) *draft.Draft {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	require.NoError(t, err)
	d, err := platform.DecodeDraft(name+".json", data, list)
	require.NoError(t, err)
	return d
}

// TestCheck compares the findings and the changes of a draft with golden files.
func TestCheck(t *testing.T) {
	for _, name := range []string{"inForce", "sound", "faulty"} {
		t.Run(name, func(t *testing.T) {
			var list findings.List
			d := read(t, name, &list)
			inForce := read(t, "inForce", &findings.List{})
			d.Check(&list)
			d.CheckSuccession(&list, inForce.Version)
			var b strings.Builder
			for _, f := range list.All() {
				fmt.Fprintln(&b, f)
			}
			for _, c := range draft.Compare(inForce, d) {
				fmt.Fprintln(&b, c)
			}
			require.NotContains(t, b.String(), "k-", "a key")
			goldie.New(t).Assert(t, name, []byte(b.String()))
		})
	}
}
