package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/settings"
)

// TestParse compares the findings of each file, or its settings with defaults,
// with the golden file.
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

// TestLinkDirections checks a link configured in one direction, which applies to
// both, and a link with different values for each direction.
func TestLinkDirections(t *testing.T) {
	const text = `{"instance": "i", "region": "r1", "zone": "a", "platform": {"url": "embedded"},
		"regions": [{"name": "r1", "zones": ["a"]}, {"name": "r2", "zones": ["b"]}, {"name": "r3", "zones": ["c"]}],
		"links": [
			{"from": "r1", "to": "r2", "oneWayMs": 10, "mbitPerSecond": 100},
			{"from": "r2", "to": "r1", "oneWayMs": 20, "mbitPerSecond": 200},
			{"from": "r3", "to": "r1", "oneWayMs": 30, "mbitPerSecond": 300}]}`
	s, err := settings.Parse("s.jsonc", []byte(text))
	require.NoError(t, err)
	for _, tt := range []struct {
		from, to string
		ms       int
	}{{"r1", "r2", 10}, {"r2", "r1", 20}, {"r3", "r1", 30}, {"r1", "r3", 30}} {
		l, ok := s.LinkBetween(tt.from, tt.to)
		require.True(t, ok)
		assert.Equal(t, tt.ms, l.OneWayMs, "%s to %s", tt.from, tt.to)
	}
	_, ok := s.LinkBetween("r2", "r3")
	assert.False(t, ok)
}
