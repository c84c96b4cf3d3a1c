package placement

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoose measures a decision, with as many workers of a service as deployments have.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{14, 216, 700, 5400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			workers := workersOf(map[string]int{"a": n / 3, "b": n / 3, "c": n - 2*(n/3)}, 4)
			p := newPlacer()
			requests := make([]Request, 256)
			for i := range requests {
				requests[i] = requestFor(fmt.Sprint(i))
			}
			now := _start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				p.Choose(now, requests[i%len(requests)], workers)
			}
		})
	}
}
