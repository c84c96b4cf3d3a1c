package changefeed

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonlock/wigeonlock/changefeed/wire"
)

// FuzzDecode decodes any bytes as a batch of a neighbour.
func FuzzDecode(f *testing.F) {
	whole, err := proto.Marshal(&wire.Batch{
		Whole: true, Revision: 7, AgeMs: -5, Changes: []*wire.Change{{Key: "k", Value: []byte("v"), LapseMs: 1 << 62}, nil},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte("\x0a\xff"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var b wire.Batch
		if proto.Unmarshal(data, &b) == nil {
			decode(time.Now(), &b)
		}
	})
}
