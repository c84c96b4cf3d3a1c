package explain_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/explain"
)

const _firstLog = `{"level":"info","time":"2026-06-15T15:35:38.100Z","msg":"worker leaving","instance":"edge-1","worker":"i-7","zone":"a"}
{"level":"info","time":"2026-06-15T15:35:38.150Z","msg":"worker started","instance":"edge-1","worker":"i-8","zone":"a"}
{"level":"info","time":"2026-06-15T15:35:36.150Z","msg":"worker names a limit","instance":"edge-1","worker":"i-9","zone":"a","perSecond":3.3}
{"level":"info","time":"2026-06-15T15:35:30.000Z","msg":"worker leaving","instance":"edge-1","worker":"i-7","zone":"a"}
   12.4 edge-1 {"level":"info","time":"2026-06-15T15:35:38.200Z","msg":"attempt failed","instance":"edge-1","request":"q1","worker":"i-7","fault":"refused","load":1.4}
not a line
{"level":"info","time":"2026-06-15T15:35:38.400Z","msg":"request ended","instance":"edge-1","request":"q1","reason":"noRoom","status":503,"tried":["i-7"],"heldBack":["i-9 limit=3.3 issuer=edge-2 usedUp"]}
{"level":"info","time":"2026-06-15T15:35:38.410Z","msg":"request ended","instance":"edge-1","request":"q11","status":503}
`

const _secondLog = `{"level":"warn","time":"2026-06-15T15:35:38.300Z","msg":"store cannot be read","instance":"edge-2"}
{"level":"warn","time":"2026-06-15T15:35:38.300Z","msg":"store cannot be read","instance":"edge-1"}
{"cut
`

func writeLogs(t *testing.T, texts ...string) []string {
	t.Helper()
	var files []string
	for i, text := range texts {
		file := filepath.Join(t.TempDir(), string(rune('a'+i)))
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		files = append(files, file)
	}
	return files
}

func TestTimeline(t *testing.T) {
	timeline, err := explain.Read("q1", writeLogs(t, _secondLog, _firstLog), nil)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, timeline.Print(&out))
	goldie.New(t).Assert(t, "timeline", out.Bytes())
}

// TestRefusedKey checks that the timeline of a request that was refused for its key names the
// team that held the key, and when the configuration was activated that withdrew it.
func TestRefusedKey(t *testing.T) {
	const log = `{"level":"info","time":"2026-06-15T15:30:00.000Z","msg":"configuration activated","instance":"edge-1","version":8,"teams":2,"keys":4}
{"level":"info","time":"2026-06-15T15:31:00.000Z","msg":"configuration activated","instance":"edge-1","version":9,"teams":2,"keys":3}
{"level":"info","time":"2026-06-15T15:31:00.010Z","msg":"configuration activated","instance":"edge-2","version":9,"teams":2,"keys":3}
{"level":"info","time":"2026-06-15T15:35:38.400Z","msg":"request ended","instance":"edge-1","request":"q1","withdrawnFrom":"office","configVersion":9,"reason":"unknownKey","status":401}
`
	timeline, err := explain.Read("q1", writeLogs(t, log), nil)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, timeline.Print(&out))
	goldie.New(t).Assert(t, "refusedKey", out.Bytes())
}

func TestUnknownRequest(t *testing.T) {
	timeline, err := explain.Read("none", writeLogs(t, _firstLog), nil)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, timeline.Print(&out))
	assert.Equal(t, "no log line for request none (1 lines could not be read)\n", out.String())
	_, err = explain.Read("q", []string{"/does/not/exist"}, nil)
	assert.Error(t, err)
}

func TestLongLineIsSkipped(t *testing.T) {
	timeline, err := explain.Read("q1", writeLogs(t, strings.Repeat("x", 3<<20)+"\n"+_firstLog), nil)
	require.NoError(t, err)
	assert.Equal(t, 2, timeline.BadLines)
	assert.Len(t, timeline.Decisions, 2)
}
