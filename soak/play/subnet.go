package play

import (
	"fmt"
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

const (
	// _maxSubnet is the last subnet.
	_maxSubnet = 200
	// _claimHost and _claimPort are where a run listens that uses a subnet. No instance or
	// worker has this host.
	_claimHost = "254.254"
	_claimPort = 20009
)

// claim keeps a subnet for a run.
type claim struct {
	subnet   int
	listener net.Listener
}

// claimSubnet claims the first subnet from the given one on that no run of any process uses.
func claimSubnet(from int) (*claim, error) {
	for subnet := from; subnet <= _maxSubnet; subnet++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%s:%d", _firstSubnet+subnet, _claimHost, _claimPort))
		if err == nil {
			return &claim{subnet, l}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, errors.Wrap(err, "claim subnet")
		}
	}
	return nil, errors.New("all subnets are used")
}

func (c *claim) release() { _ = c.listener.Close() }
