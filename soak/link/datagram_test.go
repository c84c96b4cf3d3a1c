package link_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/soak/link"
)

// TestDatagramStates sends datagrams to a server that returns them.
func TestDatagramStates(t *testing.T) {
	server, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		buffer := make([]byte, 64)
		for {
			n, from, readErr := server.ReadFromUDP(buffer)
			if readErr != nil {
				return
			}
			_, _ = server.WriteToUDP(buffer[:n], from)
		}
	}()
	d := &link.Datagrams{Target: server.LocalAddr().String()}
	require.NoError(t, d.Listen("127.0.0.1:0"))
	t.Cleanup(d.Close)
	c, err := net.Dial("udp4", d.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	for state, passes := range map[link.State]bool{
		link.Passing: true, link.Delayed: true, link.CutUp: false, link.CutDown: false, link.Silent: false, link.Refusing: false,
	} {
		d.Set(state)
		_, err := c.Write([]byte(state))
		require.NoError(t, err)
		text, err := read(c, 3*_crossTime)
		if passes {
			require.NoError(t, err)
			assert.Equal(t, string(state), text)
			continue
		}
		assert.Error(t, err, "%s", state)
	}
}
