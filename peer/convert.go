package peer

import (
	"io"
	"time"

	"github.com/wigeonlock/wigeonlock/gossip"
	"github.com/wigeonlock/wigeonlock/peer/wire"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

func encodeRequest(r *relay.Request, timeout time.Duration) *wire.RequestHead {
	head := &wire.RequestHead{
		Id: r.ID, Method: r.Method, Uri: r.URI, Headers: encodeHeaders(r.Header),
		Service: r.Service, Customer: r.Customer, TimeoutMs: max(timeout.Milliseconds(), 1), FromZone: r.FromZone,
	}
	if r.Body == nil {
		head.Whole = true
		return head
	}
	head.ContentLength = r.Body.Length
	head.Whole = r.Body.Stream == nil
	head.Body = r.Body.Bytes
	return head
}

func decodeRequest(h *wire.RequestHead) *relay.Request {
	return &relay.Request{
		ID: h.GetId(), Method: h.GetMethod(), URI: h.GetUri(), Header: decodeHeaders(h.GetHeaders()),
		Service: h.GetService(), Customer: h.GetCustomer(), FromZone: h.GetFromZone(),
		Body: &relay.Body{Length: h.GetContentLength(), Bytes: h.GetBody()},
	}
}

func encodeAnswer(id string, a *relay.Answer) *wire.AnswerHead {
	head := &wire.AnswerHead{
		Id: id, Outcome: string(a.Outcome), Reason: string(a.Reason), Status: int32(a.Status),
		Headers: encodeHeaders(a.Header), ContentLength: a.Length,
	}
	head.Body, head.Whole = relay.Bytes(a)
	return head
}

func decodeAnswer(h *wire.AnswerHead, recv func() (*wire.Frame, error)) *relay.Answer {
	a := &relay.Answer{
		Outcome: retry.Outcome(h.GetOutcome()), Reason: relay.Reason(h.GetReason()), Status: int(h.GetStatus()),
		Header: decodeHeaders(h.GetHeaders()), Length: h.GetContentLength(),
	}
	switch a.Outcome {
	case retry.Run:
		if h.GetWhole() && int64(len(h.GetBody())) == a.Length {
			relay.SetBytes(a, h.GetBody())
			return a
		}
		a.Body = relay.LengthReader(io.NopCloser(&frameReader{recv: recv}), a.Length)
	case retry.NotRun:
	default:
		a.Outcome = retry.Unknown
	}
	return a
}

func encodeHeaders(headers []relay.Header) []*wire.Header {
	list := make([]*wire.Header, len(headers))
	for i, h := range headers {
		list[i] = &wire.Header{Name: h.Name, Value: h.Value}
	}
	return list
}

func decodeHeaders(headers []*wire.Header) []relay.Header {
	list := make([]relay.Header, len(headers))
	for i, h := range headers {
		list[i] = relay.Header{Name: h.GetName(), Value: h.GetValue()}
	}
	return list
}

func encodeGossip(h Heartbeat) *wire.Gossip {
	g := &wire.Gossip{
		From: encodeMember(h.From), Full: h.Full, Zone: uint32(h.Zone), Services: uint32(h.Services),
		ListsVersion: h.ListsVersion, ConfirmAgeMs: ageMillis(h.ConfirmAge),
	}
	for _, b := range h.Heartbeats {
		g.Beats = append(g.Beats, &wire.Beat{
			Id: uint32(b.ID), AgeMs: ageMillis(b.Age), Leaving: b.Leaving, Loads: encodeLoads(b.Loads),
		})
	}
	for _, z := range h.Zones {
		g.Zones = append(g.Zones, &wire.ZoneBeat{
			Id: uint32(z.ID), AgeMs: ageMillis(z.Age), Digest: uint32(z.Digest), Loads: encodeLoads(z.Loads),
		})
	}
	for _, r := range h.MemberLists {
		list := &wire.Roster{Zone: uint32(r.Zone)}
		for _, id := range r.Members {
			list.Members = append(list.Members, uint32(id))
		}
		g.Rosters = append(g.Rosters, list)
	}
	return g
}

func decodeGossip(g *wire.Gossip) Heartbeat {
	h := Heartbeat{
		Message: gossip.Message{
			From: decodeMember(g.GetFrom()), Full: g.GetFull(), Zone: gossip.ID(g.GetZone()), Services: gossip.ID(g.GetServices()),
		},
		ListsVersion: g.GetListsVersion(),
		ConfirmAge:   time.Duration(g.GetConfirmAgeMs()) * time.Millisecond,
	}
	for _, b := range g.GetBeats() {
		h.Heartbeats = append(h.Heartbeats, gossip.Heartbeat{
			ID: gossip.ID(b.GetId()), Age: time.Duration(b.GetAgeMs()) * time.Millisecond,
			Leaving: b.GetLeaving(), Loads: decodeLoads(b.GetLoads()),
		})
	}
	for _, z := range g.GetZones() {
		h.Zones = append(h.Zones, gossip.ZoneSummary{
			ID: gossip.ID(z.GetId()), Age: time.Duration(z.GetAgeMs()) * time.Millisecond,
			Digest: gossip.ID(z.GetDigest()), Loads: decodeLoads(z.GetLoads()),
		})
	}
	for _, r := range g.GetRosters() {
		list := gossip.MemberList{Zone: gossip.ID(r.GetZone())}
		for _, id := range r.GetMembers() {
			list.Members = append(list.Members, gossip.ID(id))
		}
		h.MemberLists = append(h.MemberLists, list)
	}
	return h
}

func encodeMember(m gossip.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Region: m.Region, Zone: m.Zone, Address: m.Address,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Leaving: m.Leaving,
	}
}

func decodeMember(m *wire.Member) gossip.Member {
	return gossip.Member{
		Name: m.GetName(), Region: m.GetRegion(), Zone: m.GetZone(), Address: m.GetAddress(),
		PeerAddress: m.GetPeerAddress(), Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(),
	}
}

// _loadFields is the number of encoded values per service: slots, busy, headroom.
const _loadFields = 3

func encodeLoads(loads []gossip.Load) []uint32 {
	list := make([]uint32, 0, _loadFields*len(loads))
	for _, l := range loads {
		list = append(list, uint32(l.Slots), uint32(l.Busy), uint32(l.Headroom))
	}
	return list
}

func decodeLoads(list []uint32) []gossip.Load {
	loads := make([]gossip.Load, 0, len(list)/_loadFields)
	for ; len(list) >= _loadFields; list = list[_loadFields:] {
		loads = append(loads, gossip.Load{Slots: int(list[0]), Busy: int(list[1]), Headroom: int(list[2])})
	}
	return loads
}

// ageMillis returns an age in milliseconds, rounded up so that it is never
// understated, and at most one hour.
func ageMillis(d time.Duration) uint32 {
	const maxAge = time.Hour
	d = max(min(d, maxAge), 0)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
