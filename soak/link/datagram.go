package link

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// _maxDatagram is the largest datagram that is relayed, in bytes.
const _maxDatagram = 8 << 10

// Datagrams relays the datagrams to one target and the answers to them. What a state holds
// back is lost. The exported fields are set before Listen is called.
type Datagrams struct {
	Target string

	conn *net.UDPConn

	mu     sync.Mutex
	state  State
	routes map[netip.AddrPort]*net.UDPConn
}

// Listen starts to relay. Port 0 picks a free port.
func (d *Datagrams) Listen(address string) error {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if d.conn, err = net.ListenUDP("udp4", a); err != nil {
		return errors.Wrap(err, "listen")
	}
	d.state, d.routes = Passing, make(map[netip.AddrPort]*net.UDPConn)
	go d.relay()
	return nil
}

// Address returns the address that datagrams are sent to.
func (d *Datagrams) Address() string { return d.conn.LocalAddr().String() }

// Set changes the state.
func (d *Datagrams) Set(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = s
}

// Close stops the relay.
func (d *Datagrams) Close() {
	if d.conn == nil {
		return
	}
	_ = d.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, out := range d.routes {
		_ = out.Close()
	}
}

// relay passes datagrams to the target until Close.
func (d *Datagrams) relay() {
	buffer := make([]byte, _maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if out := d.route(from); err == nil && out != nil {
			d.pass(CutUp, buffer[:n], func(data []byte) { _, _ = out.Write(data) })
		}
	}
}

// pass calls send with a copy of a datagram, at once or late, or not at all.
func (d *Datagrams) pass(cut State, data []byte, send func(data []byte)) {
	d.mu.Lock()
	state := d.state
	d.mu.Unlock()
	data = append([]byte(nil), data...)
	switch state {
	case cut, Silent, Refusing:
	case Delayed:
		time.AfterFunc(_delay, func() { send(data) })
	default:
		send(data)
	}
}

// route returns the socket for the datagrams of a sender, or nil if there is none. It passes
// the answers on.
func (d *Datagrams) route(from netip.AddrPort) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if out := d.routes[from]; out != nil {
		return out
	}
	a, err := net.ResolveUDPAddr("udp4", d.Target)
	if err != nil {
		return nil
	}
	out, err := net.DialUDP("udp4", nil, a)
	if err != nil {
		return nil
	}
	d.routes[from] = out
	go d.relayBack(out, from)
	return out
}

func (d *Datagrams) relayBack(out *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, _maxDatagram)
	for {
		n, err := out.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			d.pass(CutDown, buffer[:n], func(data []byte) { _, _ = d.conn.WriteToUDPAddrPort(data, to) })
		}
	}
}
