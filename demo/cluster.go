package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/deployment"
	"github.com/wigeonlock/wigeonlock/instance"
	"github.com/wigeonlock/wigeonlock/kernel"
	"github.com/wigeonlock/wigeonlock/platform"
	platformhttp "github.com/wigeonlock/wigeonlock/platform/http"
	"github.com/wigeonlock/wigeonlock/settings"
	"github.com/wigeonlock/wigeonlock/standin"
)

const (
	_storeDelay  = 2 * time.Millisecond
	_listLag     = 500 * time.Millisecond
	_pollTime    = 5 * time.Millisecond
	_workersZone = 2
	_lookupTTLMs = 400
	_drainMs     = 8000
)

// node is an entry instance in the process, with its listeners.
type node struct {
	*instance.Instance
	listeners *listeners
	cancel    context.CancelFunc
	// gone is closed once the instance has ended; err is its result.
	gone chan struct{}
	err  error
}

// cluster is a deployment in one process.
type cluster struct {
	deployment deployment.Deployment
	platform   *standin.Platform
	workers    []*standin.Worker
	nodes      []*node
	occupancy  *occupancy
	tasks      conc.WaitGroup
	log        *zap.Logger
}

func newCluster(d deployment.Deployment, log *zap.Logger) *cluster {
	return &cluster{deployment: d, log: log, occupancy: newOccupancy(d)}
}

// startPlatform starts the platform and the workers.
func (c *cluster) startPlatform() error {
	c.platform = &standin.Platform{ListLag: _listLag, Delay: _storeDelay}
	if err := c.platform.Listen("127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "start platform")
	}
	directory := &platformhttp.Directory{URL: c.platform.URL()}
	for _, z := range c.deployment.Zones() {
		for _, svc := range c.deployment.Services {
			for i := range _workersZone {
				if err := c.startWorker(directory, z, svc, i); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *cluster) startWorker(d platform.Directory, z deployment.Zone, svc deployment.Service, i int) error {
	w := &standin.Worker{
		Name:   fmt.Sprintf("%s-%s-%d", z.Name, svc.Name, i+1),
		Region: z.Region, Zone: z.Name, Service: svc.Name, Slots: svc.Slots, Work: svc.Work / 2,
		Directory: d,
		Arrived:   func(customer string) func() { return c.occupancy.arrive(z.Region, svc.Name, customer) },
	}
	if err := w.Listen("127.0.0.1:0"); err != nil {
		return errors.Wrapf(err, "start worker %q", w.Name)
	}
	c.occupancy.addSlots(z.Region, svc.Name, svc.Slots)
	c.workers = append(c.workers, w)
	return nil
}

// startNodes starts the entry instances and waits until all are ready and see
// each other.
func (c *cluster) startNodes(ctx context.Context) error {
	for _, z := range c.deployment.Zones() {
		for i := range c.deployment.Instances[z.Name] {
			n, err := c.newNode(fmt.Sprintf("%s-%d", z.Name, i+1), z)
			if err != nil {
				return err
			}
			c.nodes = append(c.nodes, n)
		}
	}
	for _, n := range c.nodes {
		nodeCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		n.cancel = cancel
		c.tasks.Go(func() {
			defer close(n.gone)
			n.err = n.Run(nodeCtx)
		})
	}
	return c.waitReady(ctx)
}

func (c *cluster) newNode(name string, z deployment.Zone) (*node, error) {
	s := c.deployment.SettingsFor(name, z)
	s.Platform.URL = c.platform.URL()
	s.LookupTTLMs = _lookupTTLMs
	s.DrainMs = _drainMs
	l := &listeners{open: make(map[string]net.Listener)}
	for _, address := range []*settings.Listener{&s.Callers, &s.Peers, &s.Admin} {
		if err := l.reserve(address); err != nil {
			return nil, err
		}
	}
	// The admin address is listened on by the service itself.
	_ = l.open[s.Admin.Listen].Close()
	i := instance.New(s, instance.Options{Log: c.log, Listen: l.take})
	return &node{Instance: i, listeners: l, gone: make(chan struct{})}, nil
}

func (c *cluster) waitReady(ctx context.Context) error {
	for _, n := range c.nodes {
		for n.Ready() != nil || !n.Sees(len(c.nodes)) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "instance %q did not get ready", n.Settings.Instance)
			case <-n.gone:
				return errors.Wrapf(n.err, "instance %q ended", n.Settings.Instance)
			case <-time.After(_pollTime):
			}
		}
	}
	return nil
}

// live returns the instances that have not ended.
func (c *cluster) live() []*node {
	var live []*node
	for _, n := range c.nodes {
		select {
		case <-n.gone:
		default:
			live = append(live, n)
		}
	}
	return live
}

// stop ends everything, the instances gracefully.
func (c *cluster) stop() error {
	for _, n := range c.nodes {
		n.cancel()
	}
	c.tasks.Wait()
	for _, w := range c.workers {
		_ = w.Close()
	}
	_ = c.platform.Close()
	for _, n := range c.nodes {
		if n.err != nil && !errors.Is(n.err, kernel.ErrAborted) {
			return errors.Wrapf(n.err, "instance %q", n.Settings.Instance)
		}
	}
	return nil
}

// kill ends an instance as a crash would: its connections break at once.
func (n *node) kill() {
	n.Abort()
	n.listeners.kill()
}

// listeners are the sockets of one instance, opened beforehand so that their
// ports are known and can be closed at once.
type listeners struct {
	mu    sync.Mutex
	open  map[string]net.Listener
	conns []net.Conn
}

func (l *listeners) reserve(s *settings.Listener) error {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.Listen = opened.Addr().String()
	l.open[s.Listen] = opened
	return nil
}

func (l *listeners) take(_, address string) (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	opened, ok := l.open[address]
	if !ok {
		return nil, errors.Errorf("address %s is not reserved", address)
	}
	return &trackedListener{Listener: opened, owner: l}, nil
}

func (l *listeners) kill() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, opened := range l.open {
		_ = opened.Close()
	}
	for _, conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

type trackedListener struct {
	net.Listener
	owner *listeners
}

// Accept keeps track of the connection.
func (t *trackedListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.owner.mu.Lock()
	t.owner.conns = append(t.owner.conns, conn)
	t.owner.mu.Unlock()
	return conn, nil
}
