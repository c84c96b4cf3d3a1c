package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/settings"
)

// TestParse compares the findings, or the settings as completed, of each file
// with its golden file.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".jsonc")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			s, err := settings.Parse(filepath.Base(file), data)
			var problems *findings.Error
			if errors.As(err, &problems) {
				goldie.New(t).Assert(t, name, []byte(problems.Error()+"\n"))
				return
			}
			require.NoError(t, err)
			got, err := json.MarshalIndent(s, "", "  ")
			require.NoError(t, err)
			goldie.New(t).Assert(t, name, got)
		})
	}
}

func TestParseLimits(t *testing.T) {
	tests := map[string]string{
		"nesting": strings.Repeat("[", 100_000),
		"line":    `{"instance": "` + strings.Repeat("a", findings.MaxLineBytes) + `"}`,
		"size":    strings.Repeat("\n", findings.MaxDocumentBytes+1),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("settings.jsonc", []byte(text))
			var problems *findings.Error
			require.ErrorAs(t, err, &problems)
			require.Len(t, problems.Findings, 1)
		})
	}
}

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.jsonc")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("fuzz.jsonc", data)
		var problems *findings.Error
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("error is not findings: %v", err)
		}
		if err == nil && s.Instance == "" {
			t.Fatal("settings without an instance were accepted")
		}
	})
}
