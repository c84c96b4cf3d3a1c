package standin_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/standin"
)

// TestClosedRefusesConnections closes stand-ins right after their start. Once Close
// has returned, the address must refuse connections: if it accepted one, the outcome
// of a call to the closed stand-in would be unknown.
func TestClosedRefusesConnections(t *testing.T) {
	type server interface {
		Listen(address string) error
		Address() string
		Close() error
	}
	kinds := map[string]func() server{
		"platform": func() server { return &standin.Platform{} },
		"worker":   func() server { return &standin.Worker{Service: "s", Slots: 1} },
	}
	for name, start := range kinds {
		t.Run(name, func(t *testing.T) {
			for range 300 {
				s := start()
				require.NoError(t, s.Listen("127.0.0.1:0"))
				require.NoError(t, s.Close())
				c, err := net.Dial("tcp", s.Address())
				if !assert.Error(t, err) {
					_ = c.Close()
					return
				}
			}
		})
	}
}
