package peer

import (
	"io"
	"time"

	"github.com/wigeonlock/wigeonlock/fleet"
	"github.com/wigeonlock/wigeonlock/peer/wire"
	"github.com/wigeonlock/wigeonlock/relay"
	"github.com/wigeonlock/wigeonlock/retry"
)

func requestHead(r *relay.Request, timeout time.Duration) *wire.RequestHead {
	head := &wire.RequestHead{
		Id: r.ID, Method: r.Method, Uri: r.URI, Headers: headersTo(r.Header),
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

func requestOf(h *wire.RequestHead) *relay.Request {
	return &relay.Request{
		ID: h.GetId(), Method: h.GetMethod(), URI: h.GetUri(), Header: headersFrom(h.GetHeaders()),
		Service: h.GetService(), Customer: h.GetCustomer(), FromZone: h.GetFromZone(),
		Body: &relay.Body{Length: h.GetContentLength(), Bytes: h.GetBody()},
	}
}

func answerHead(id string, a *relay.Answer) *wire.AnswerHead {
	head := &wire.AnswerHead{
		Id: id, Outcome: string(a.Outcome), Reason: string(a.Reason), Status: int32(a.Status),
		Headers: headersTo(a.Header), ContentLength: a.Length,
	}
	head.Body, head.Whole = relay.Bytes(a)
	return head
}

func answerOf(h *wire.AnswerHead, recv func() (*wire.Frame, error)) *relay.Answer {
	a := &relay.Answer{
		Outcome: retry.Outcome(h.GetOutcome()), Reason: relay.Reason(h.GetReason()), Status: int(h.GetStatus()),
		Header: headersFrom(h.GetHeaders()), Length: h.GetContentLength(),
	}
	switch a.Outcome {
	case retry.Run:
		if h.GetWhole() && int64(len(h.GetBody())) == a.Length {
			relay.SetBytes(a, h.GetBody())
			return a
		}
		a.Body = relay.Whole(io.NopCloser(&frameReader{recv: recv}), a.Length)
	case retry.NotRun:
	default:
		a.Outcome = retry.Unknown
	}
	return a
}

func headersTo(headers []relay.Header) []*wire.Header {
	list := make([]*wire.Header, len(headers))
	for i, h := range headers {
		list[i] = &wire.Header{Name: h.Name, Value: h.Value}
	}
	return list
}

func headersFrom(headers []*wire.Header) []relay.Header {
	list := make([]relay.Header, len(headers))
	for i, h := range headers {
		list[i] = relay.Header{Name: h.GetName(), Value: h.GetValue()}
	}
	return list
}

func gossip(h Heartbeat) *wire.Gossip {
	g := &wire.Gossip{
		From: memberTo(h.From), Loads: loadsTo(h.Loads),
		ListsVersion: h.ListsVersion, ConfirmAgeMs: millis(h.ConfirmAge),
	}
	for _, r := range h.Reports {
		report := &wire.ZoneReport{Zone: r.Zone, Region: r.Region, AgeMs: millis(r.Age), Loads: loadsTo(r.Loads)}
		for _, m := range r.Members {
			report.Members = append(report.Members, memberTo(m))
		}
		g.Reports = append(g.Reports, report)
	}
	return g
}

func heartbeatOf(g *wire.Gossip) Heartbeat {
	h := Heartbeat{
		Message:      fleet.Message{From: memberFrom(g.GetFrom()), Loads: loadsFrom(g.GetLoads())},
		ListsVersion: g.GetListsVersion(),
		ConfirmAge:   time.Duration(g.GetConfirmAgeMs()) * time.Millisecond,
	}
	for _, r := range g.GetReports() {
		report := fleet.Report{
			Zone: r.GetZone(), Region: r.GetRegion(), Loads: loadsFrom(r.GetLoads()),
			Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
		}
		for _, m := range r.GetMembers() {
			report.Members = append(report.Members, memberFrom(m))
		}
		h.Reports = append(h.Reports, report)
	}
	return h
}

func memberTo(m fleet.Member) *wire.Member {
	return &wire.Member{
		Name: m.Name, Region: m.Region, Zone: m.Zone, Address: m.Address,
		PeerAddress: m.PeerAddress, Incarnation: m.Incarnation, Leaving: m.Leaving,
	}
}

func memberFrom(m *wire.Member) fleet.Member {
	return fleet.Member{
		Name: m.GetName(), Region: m.GetRegion(), Zone: m.GetZone(), Address: m.GetAddress(),
		PeerAddress: m.GetPeerAddress(), Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(),
	}
}

func loadsTo(loads []fleet.ServiceLoad) []*wire.ServiceLoad {
	list := make([]*wire.ServiceLoad, len(loads))
	for i, l := range loads {
		list[i] = &wire.ServiceLoad{
			Service: l.Service, Slots: uint32(l.Slots), Busy: uint32(l.Busy), Headroom: uint32(l.Headroom),
		}
	}
	return list
}

func loadsFrom(loads []*wire.ServiceLoad) []fleet.ServiceLoad {
	list := make([]fleet.ServiceLoad, len(loads))
	for i, l := range loads {
		list[i] = fleet.ServiceLoad{
			Service: l.GetService(), Slots: int(l.GetSlots()), Busy: int(l.GetBusy()), Headroom: int(l.GetHeadroom()),
		}
	}
	return list
}

// millis rounds a duration up, so that an age is never understated.
func millis(d time.Duration) uint32 {
	const longest = time.Hour
	d = max(min(d, longest), 0)
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
