package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/peer"
)

const (
	_controlWarmUp  = 10 * time.Second
	_controlSeconds = 30
	_maxZones       = 35
	_zonesPerRegion = 4
	// CallBytes is the overhead of HTTP/2, gRPC, TCP and IP for one heartbeat and
	// its empty answer, in both directions.
	CallBytes = 260
)

// ControlResult is the control traffic for several numbers of instances.
type ControlResult struct {
	// Seconds is the measured virtual time.
	Seconds int            `json:"seconds"`
	Points  []ControlPoint `json:"points"`
}

// ControlPoint is the traffic of heartbeats, which carry membership and load, for
// one number of instances.
type ControlPoint struct {
	Instances int `json:"instances"`
	Zones     int `json:"zones"`
	Services  int `json:"services"`
	// MessagesPerInstance and PayloadPerInstance are the messages and payload bytes
	// that an instance sends per second.
	MessagesPerInstance float64 `json:"messagesPerNodeSecond"`
	PayloadPerInstance  float64 `json:"payloadBytesPerNodeSecond"`
	// BytesPerInstance is the payload plus CallBytes for each message.
	BytesPerInstance float64 `json:"bytesPerNodeSecond"`
	// BusiestInstance is the highest payload that one instance sends per second.
	BusiestInstance float64 `json:"busiestNodePayloadBytesSecond"`
	// CPUShare is the share of a core that the decisions take on an instance.
	CPUShare float64 `json:"cpuShareOfCore"`
	// FullMeshBytes is the traffic per instance and second if each instance sent its
	// heartbeats to all others.
	FullMeshBytes float64 `json:"fullMeshBytesPerNodeSecond"`
	// DetectionMs is the time until all instances have excluded a dead one.
	DetectionMs int64 `json:"deadSeenMs"`
}

// Control runs the real membership decisions of up to 540 instances over
// counted in-memory links, in virtual time.
func Control(_ context.Context, o Options) (ControlResult, error) {
	r := ControlResult{Seconds: _controlSeconds}
	for _, n := range []int{10, 30, 100, 300, 540} {
		o.progress(fmt.Sprintf("%d instances", n))
		r.Points = append(r.Points, controlPoint(n))
	}
	return r, nil
}

// controlNet connects the gossip views of all instances and counts their messages.
type controlNet struct {
	now     time.Time
	views   []*gossip.View
	byName  map[string]int
	sent    []int
	payload []int
	dead    int // index of the dead instance; -1 if there is none
}

func controlPoint(n int) ControlPoint {
	const services = 4
	net, zones := newControlNet(n, services)
	net.run(_controlWarmUp)
	net.sent, net.payload = make([]int, n), make([]int, n)
	started := time.Now()
	net.run(_controlSeconds * time.Second)
	spent := time.Since(started)

	p := ControlPoint{Instances: n, Zones: zones, Services: services}
	seconds := float64(n) * _controlSeconds
	messages, payload, busiest := 0, 0, 0
	for i := range n {
		messages += net.sent[i]
		payload += net.payload[i]
		busiest = max(busiest, net.payload[i])
	}
	p.MessagesPerInstance = float64(messages) / seconds
	p.PayloadPerInstance = float64(payload) / seconds
	p.BytesPerInstance = p.PayloadPerInstance + p.MessagesPerInstance*CallBytes
	p.BusiestInstance = float64(busiest) / _controlSeconds
	p.CPUShare = spent.Seconds() / seconds
	heartbeat := peer.HeartbeatSize(peer.Heartbeat{Message: gossip.Message{
		From: gossip.Member{Name: net.views[0].Self.Name, Incarnation: 1_700_000_000_000}, Zone: 1 << 31, Services: 1 << 31,
		Heartbeats: []gossip.Heartbeat{{ID: 1 << 31, Loads: make([]gossip.Load, services)}},
	}})
	p.FullMeshBytes = float64(n-1) * float64(heartbeat+CallBytes) * float64(time.Second/gossip.Interval)
	p.DetectionMs = net.killOne().Milliseconds()
	return p
}

func newControlNet(n, services int) (net *controlNet, zones int) {
	zones = min(max(n*_maxZones/540, 6), _maxZones)
	net = &controlNet{now: time.Unix(1000, 0), byName: make(map[string]int, n), dead: -1}
	net.sent, net.payload = make([]int, n), make([]int, n)
	members := make([]gossip.Member, n)
	for i := range members {
		z := i % zones
		members[i] = gossip.Member{
			Name: fmt.Sprintf("instance-%03d", i), Region: fmt.Sprintf("region-%d", z/_zonesPerRegion),
			Zone: fmt.Sprintf("zone-%02d", z), Address: fmt.Sprintf("10.0.%d.%d:8080", i>>8, i&255),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:8081", i>>8, i&255), Incarnation: 1_700_000_000_000,
		}
		net.byName[members[i].Name] = i
	}
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("service-%d", i)
	}
	for i := range members {
		view := &gossip.View{Self: members[i], Services: names, Loads: func(now time.Time) []gossip.ServiceLoad {
			loads := make([]gossip.ServiceLoad, services)
			for s := range loads {
				busy := (int(now.UnixMilli()/500) + i) % 20 // changes with each half second, so that loads are always sent
				loads[s] = gossip.ServiceLoad{Service: names[s], Slots: 40, Busy: busy, Headroom: 20 - busy}
			}
			return loads
		}}
		view.UpdateMembers(net.now, members)
		net.views = append(net.views, view)
	}
	return net, zones
}

func (c *controlNet) run(length time.Duration) {
	for end := c.now.Add(length); c.now.Before(end); {
		c.step()
	}
}

func (c *controlNet) step() {
	c.now = c.now.Add(gossip.Interval)
	for i, view := range c.views {
		if i == c.dead {
			continue
		}
		for _, s := range view.Tick(c.now) {
			c.sent[i]++
			c.payload[i] += peer.HeartbeatSize(peer.Heartbeat{Message: s.Message, ListsVersion: 1000})
			if to := c.byName[s.To.Name]; to != c.dead {
				c.views[to].Receive(c.now, s.Message)
			}
		}
	}
}

// killOne stops an instance and returns the time until no other considers it
// live, at most a minute.
func (c *controlNet) killOne() time.Duration {
	c.dead = 0
	victim := c.views[0].Self
	started := c.now
	for c.isLive(victim) && c.now.Sub(started) < time.Minute {
		c.step()
	}
	return c.now.Sub(started)
}

// isLive reports whether any other instance considers the victim live.
func (c *controlNet) isLive(victim gossip.Member) bool {
	for i, view := range c.views {
		if i == c.dead {
			continue
		}
		for _, m := range view.Live(c.now, victim.Zone) {
			if m.Name == victim.Name {
				return true
			}
		}
	}
	return false
}
