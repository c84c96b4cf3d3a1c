// Package variant holds broken variants of the program. Each variant violates an
// invariant and must be detected by the soak, which shows that its checks can fail.
//
// # Usage
//
//	for _, v := range variant.All() {
//		err := v.Apply("tree") // a copy of the sources
//	}
package variant

import (
	"bytes"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/soak/check"
	"github.com/wigeonlock/wigeonlock/soak/fault"
)

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	File string
	Old  string
	New  string
}

// Variant describes a broken program, the invariant that it violates and the events
// that expose the violation.
type Variant struct {
	Name      string
	Invariant check.Invariant
	Edits     []Edit
	Events    []fault.Event
}

// Apply edits a copy of the sources under tree. It fails if the text of an edit does
// not occur exactly once in its file.
func (v Variant) Apply(tree string) error {
	for _, e := range v.Edits {
		file := filepath.Join(tree, e.File)
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "read source")
		}
		if n := bytes.Count(data, []byte(e.Old)); n != 1 {
			return errors.Errorf("variant %s: %s contains %q %d times, expected once", v.Name, e.File, e.Old, n)
		}
		data = bytes.Replace(data, []byte(e.Old), []byte(e.New), 1)
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return errors.Wrap(err, "write source")
		}
	}
	return nil
}

const (
	_forward        = "forward/forward.go"
	_exchange       = "exchange/do.go"
	_placement      = "placement/placement.go"
	_placementState = "placement/state.go"
	_gateway        = "gateway/gateway.go"
	_team           = "forward/team.go"
	_order          = "platform/order.go"
)

// restored returns events with a restore of the store to before those of its third and fourth
// second.
func restored(events ...fault.Event) []fault.Event {
	return append(events, fault.Event{
		At: 4500 * time.Millisecond, Kind: fault.Restore, Mode: "reset", Duration: 500 * time.Millisecond, Age: 2 * time.Second,
	})
}

// lostConfigurations returns events with a restore of the store to before many configurations,
// so that it gives out the revisions of the last one only seconds later.
func lostConfigurations(events ...fault.Event) []fault.Event {
	const configurations = 120
	for range configurations {
		events = append(events, fault.Event{At: 1500 * time.Millisecond, Kind: fault.Configure})
	}
	return append(events, fault.Event{
		At: 3 * time.Second, Kind: fault.Restore, Mode: "reset", Duration: 300 * time.Millisecond, Age: 2500 * time.Millisecond,
	})
}

// workerFaults returns events in which all workers of both services fail a share of
// their requests in a mode.
func workerFaults(mode string, share float64) []fault.Event {
	const (
		workers = 8
		length  = 6 * time.Second
	)
	events := make([]fault.Event, 0, workers)
	for w := range workers {
		events = append(events, fault.Event{At: time.Second, Kind: fault.WorkerFault, Duration: length, Target: w, Mode: mode, Share: share})
	}
	return events
}

// unreachable returns events in which all workers refuse connections for a while.
func unreachable() []fault.Event {
	events := workerFaults("refusing", 0)
	for i := range events {
		events[i].Kind, events[i].Duration = fault.WorkerLink, 10*time.Second
	}
	return events
}

// rests has all workers ask for a pause at once, so that objects find no other place.
func rests() []fault.Event {
	var events []fault.Event
	for target := range 8 {
		events = append(events, fault.Event{At: 5 * time.Second, Kind: fault.Rest, Target: target, Duration: 4 * time.Second})
	}
	return events
}

// limits returns events in which two workers name low limits.
func limits() []fault.Event {
	return []fault.Event{
		{At: time.Second, Kind: fault.Limit, Duration: 12 * time.Second, Target: 0, Share: 0.1},
		{At: time.Second, Kind: fault.Limit, Duration: 12 * time.Second, Target: 2, Share: 0.4},
	}
}

// All returns the variants. Workers 0, 2, 4 and 6 belong to the first service.
func All() []Variant {
	at := func(seconds float64, k fault.Kind, target int) fault.Event {
		return fault.Event{At: time.Duration(seconds * float64(time.Second)), Kind: k, Target: target}
	}
	return []Variant{
		{
			"payments are retried", check.AtMostOnce,
			[]Edit{{_forward, "case rs.unknown && !rs.route.Kind.Repeatable():", "case false:"}},
			workerFaults("loseAnswer", 0.3),
		},
		{
			"requests that may have run are refused", check.NotRun,
			[]Edit{{"forward/refusal.go", "if !rs.unknown {\n\t\treturn s.refuse", "if true {\n\t\treturn s.refuse"}},
			workerFaults("loseAnswer", 0.3),
		},
		{
			"answers to other requests are accepted", check.OwnAnswer,
			[]Edit{
				{_exchange, "return id == r.ID", "return true"},
				{_exchange, "if c.reader.Buffered() > 0 {", "if false {"},
				{"exchange/exchange.go", "if idle <= c.idleLimit && c.quiet() {", "if idle <= c.idleLimit {"},
			},
			workerFaults("extra", 0.3),
		},
		{
			"truncated answers count as complete", check.OwnAnswer,
			[]Edit{
				{"exchange/body.go", "case err != nil:\n\t\t\treturn nil, err", "case err != nil:\n\t\t\treturn buf, nil"},
				{"exchange/body.go", "io.ErrUnexpectedEOF\n\t\t\t}\n\t\t\treturn nil, err", "io.ErrUnexpectedEOF\n\t\t\t}\n\t\t\treturn buf, nil"},
			},
			workerFaults("truncate", 0.3),
		},
		{
			"leaving workers are used", check.Drained,
			[]Edit{{"worker/worker.go", "return !w.Removed && !w.Leaving &&", "return !w.Removed &&"}},
			[]fault.Event{at(1, fault.Drain, 0), at(1, fault.Drain, 1)},
		},
		{
			"closed zones are used", check.Evacuated,
			[]Edit{{_placement, "|| r.Closed(w.Zone) ||", "||"}},
			[]fault.Event{{At: time.Second, Kind: fault.Evacuate, Duration: 8 * time.Second}},
		},
		{
			"home regions are ignored", check.Home,
			[]Edit{{_placement, "|| !r.MayServe(region) {", "{"}},
			nil,
		},
		{
			"homes of teams are ignored", check.Home,
			[]Edit{{_team, " && (rs.team == nil || rs.team.MayServe(region))", ""}},
			nil,
		},
		{
			"keys are passed on", check.TeamNamed,
			[]Edit{{"frontend/conn.go", " || name == n.Key || name == n.Team", " || name == n.Team"}},
			nil,
		},
		{
			"callers name their team", check.TeamNamed,
			[]Edit{{"frontend/conn.go", " || name == n.Key || name == n.Team", " || name == n.Key"}},
			nil,
		},
		{
			"callers on open routes belong to a team", check.TeamNamed,
			[]Edit{{_team, "if rs.teams == nil || rs.route.Open {", "if rs.teams == nil {"}},
			nil,
		},
		{
			"unknown keys are admitted", check.KnownKey,
			[]Edit{{_team, "if t == nil {\n\t\treturn s.refuseKey(rs)", "if t == nil {\n\t\treturn nil"}},
			nil,
		},
		{
			"known keys are refused now and then", check.KnownKey,
			[]Edit{{_team, "if t == nil {\n\t\treturn s.refuseKey(rs)", "if t == nil || time.Now().UnixNano()%50 == 0 {\n\t\treturn s.refuseKey(rs)"}},
			nil,
		},
		{
			"removed keys are admitted", check.KeyInForce,
			[]Edit{{"team/roster.go", "return r.byKey[fingerprintOf(key)]", "if t := r.byKey[fingerprintOf(key)]; t != nil {\n\t\treturn t\n\t}\n\treturn r.Withdrawn(key)"}},
			[]fault.Event{at(1, fault.Configure, 0), at(1.2, fault.Configure, 0)},
		},
		{
			"added keys are refused", check.KeyInForce,
			[]Edit{{_gateway, "c.Teams = c.Teams.After(st.Catalog.Teams)", "c.Teams = st.Catalog.Teams"}},
			[]fault.Event{at(1, fault.Configure, 0)},
		},
		{
			"new configurations are ignored", check.InForce,
			[]Edit{{_gateway, "if st.Catalog == nil || c.Version > st.Catalog.Version {", "if st.Catalog == nil {"}},
			[]fault.Event{at(1, fault.Configure, 0)},
		},
		{
			"the configuration reverts", check.NeverBack,
			[]Edit{{
				_gateway, "st.Catalog, newer = c, true",
				"if old := st.Catalog; old != nil {\n" +
					"time.AfterFunc(time.Second, func() { g.forward.Update(func(st *forward.State) { st.Catalog = old }) })\n" +
					"}\nst.Catalog, newer = c, true",
			}},
			[]fault.Event{at(1, fault.Configure, 0), {At: 900 * time.Millisecond, Kind: fault.StoreFault, Mode: "slow", Duration: 8 * time.Second}},
		},
		{
			"retries are not limited", check.Budget,
			[]Edit{{_forward, "if !s.budget(rs.service).Acquire(time.Now(), s.state.PeakInstances) {", "if false {"}},
			workerFaults("fail", 0.5),
		},
		{
			"statuses of workers are passed on", check.NotRun,
			[]Edit{{_forward, "if relay.PromisesNotRun(a.Status) {", "if false {"}},
			workerFaults("fail", 0.5),
		},
		{
			"cold workers are not limited", check.Cold,
			[]Edit{{_placement, "r.Permit(c.Worker, p.mayBeCold(now, c.Worker))", "r.Permit(c.Worker, false)"}},
			[]fault.Event{at(1, fault.Crash, 0), at(1, fault.Crash, 2), at(1, fault.Crash, 4), at(1, fault.Crash, 6)},
		},
		{
			"limits of workers are ignored", check.Limited,
			[]Edit{{"forward/limits.go", "s.Permits.Named(now, w, *r.Limit)", "_ = w"}},
			limits(),
		},
		{
			"each instance keeps limits by itself", check.Limited,
			[]Edit{{"permit/order.go", "if len(first) == 0 {", "if true {"}},
			limits(),
		},
		{
			"farewells are ignored", check.Farewell,
			[]Edit{{"forward/attempt.go", "if result.Leaving {\n\t\ts.recordLeaving(rs)", "if false {\n\t\ts.recordLeaving(rs)"}},
			[]fault.Event{
				{At: time.Second, Kind: fault.Farewell, Target: 0, Duration: 4 * time.Second},
				{At: time.Second, Kind: fault.Farewell, Target: 3, Duration: 4 * time.Second},
			},
		},
		{
			"a heartbeat takes a farewell back", check.Farewell,
			[]Edit{{"worker/worker.go", "w.Entry, w.Revision, w.LastUpdate, w.ExpiresAt = e, revision, now, time.Time{}", "w.Entry, w.Revision, w.LastUpdate, w.ExpiresAt = e, revision, now, time.Time{}\n\tw.SaidLeavingAt = time.Time{}"}},
			[]fault.Event{
				{At: time.Second, Kind: fault.Farewell, Target: 0, Duration: 4 * time.Second},
				{At: time.Second, Kind: fault.Farewell, Target: 3, Duration: 4 * time.Second},
			},
		},
		{
			"pauses are ignored", check.Rested,
			[]Edit{{_placementState, "if r.Rest > 0 {\n\t\tp.startRest(now, s, w, r.Rest)", "if r.Rest > 0 {\n\t\t_ = w"}},
			rests(),
		},
		{
			"a stop aborts requests", check.Answered,
			[]Edit{
				{_gateway, "wait(ctx, started.Add(min(seconds(total*_drainShare), _maxDrainTime)))", ""},
				{"frontend/frontend.go", "for c := range s.conns {\n\t\tc.finish(s.lastRead)", "for c := range s.conns {\n\t\t_ = c.Close()"},
			},
			[]fault.Event{at(1, fault.Terminate, 0), at(2, fault.Terminate, 2), at(3, fault.Terminate, 1)},
		},
		{
			"SIGHUP ends the process", check.Stopped,
			[]Edit{{"cmd/wigeonlock/entry.go", "signal.Notify(hangups, syscall.SIGHUP)", "signal.Notify(hangups, syscall.SIGUSR2)"}},
			[]fault.Event{at(1, fault.Hangup, 0)},
		},
		{
			"a stop takes too long", check.Stopped,
			[]Edit{{_gateway, "g.frontend.Shutdown(endCtx)", "<-endCtx.Done()\ntime.Sleep(time.Minute)"}},
			[]fault.Event{at(1, fault.Terminate, 0)},
		},
		{
			"deadlines are exceeded", check.InTime,
			[]Edit{{_forward, "return context.WithDeadline(ctx, rs.deadline)", "return context.WithDeadline(ctx, rs.deadline.Add(time.Minute))"}},
			[]fault.Event{
				{At: time.Second, Kind: fault.WorkerLink, Duration: 6 * time.Second, Target: 0, Mode: "silent"},
				{At: time.Second, Kind: fault.WorkerLink, Duration: 6 * time.Second, Target: 1, Mode: "silent"},
			},
		},
		{
			"work continues for disconnected callers", check.GivenUp,
			[]Edit{{_forward, "if !rs.route.Kind.Repeatable() {\n\t\tctx = context.WithoutCancel", "if true {\n\t\tctx = context.WithoutCancel"}},
			nil,
		},
		{
			"requests lack the expected worker", check.Allowed,
			[]Edit{
				{_exchange, "writeField(w, p.HeaderNames.Expect, t.ID)", ""},
				{"worker/worker.go", "w.Removed = true", "if w != nil {\nreturn\n}"},
			},
			[]fault.Event{at(0.5, fault.Replace, 0), at(0.5, fault.Replace, 3)},
		},
		{
			"ended instances stay in the directory", check.Directory,
			[]Edit{{"gateway/registration.go", "_registrationTTL = 4500 * time.Millisecond", "_registrationTTL = time.Minute"}},
			[]fault.Event{at(3, fault.Lose, 0)},
		},
		{
			"the era of the store is ignored", check.InForce,
			[]Edit{{"platform/client.go", "header.Get(_eraHeader)", "header.Get(\"\")"}},
			lostConfigurations(at(9.5, fault.Configure, 0)),
		},
		{
			"a restored store reverts the configuration", check.NeverBack,
			[]Edit{
				{_gateway, "c.Version > st.Catalog.Version", "c.Version != st.Catalog.Version"},
				{_order, "return cmp.Compare(versionOf(a), versionOf(b)), true", "return 0, false"},
			},
			restored(at(3, fault.Configure, 0), at(3.2, fault.Configure, 0), at(3.4, fault.Configure, 0)),
		},
		{
			"a restored store brings back workers that left", check.StaysAway,
			[]Edit{
				{_order, "return compareWorkers(id, a, b)", "return 0, id == \"\""},
				{"worker/worker.go", "e.Born == r.born && (r.leaving || e.Heartbeat <= r.heartbeat)", "false"},
				{"worker/worker.go", "if w != nil && w.Born != 0 && (e.Born < w.Born || e.Born == w.Born && e.Heartbeat < w.Heartbeat) {", "if false {"},
			},
			[]fault.Event{
				{At: time.Second, Kind: fault.Drain, Target: 0, Duration: 5 * time.Second},
				{At: time.Second, Kind: fault.Drain, Target: 1, Duration: 5 * time.Second},
				{At: 4 * time.Second, Kind: fault.Restore, Mode: "reset", Duration: 300 * time.Millisecond, Age: 4 * time.Second},
				{At: 6500 * time.Millisecond, Kind: fault.Restore, Mode: "reset", Duration: 300 * time.Millisecond, Age: 6500 * time.Millisecond},
			},
		},
		{
			"a restored store opens closed zones", check.StaysAway,
			[]Edit{{_order, "return _rewriteTime, true", "return 0, false"}},
			[]fault.Event{
				{At: time.Second, Kind: fault.Evacuate, Duration: 12 * time.Second},
				{At: 6200 * time.Millisecond, Kind: fault.Restore, Mode: "reset", Duration: 300 * time.Millisecond, Age: 6 * time.Second},
				{At: 8800 * time.Millisecond, Kind: fault.Restore, Mode: "reset", Duration: 300 * time.Millisecond, Age: 9 * time.Second},
			},
		},
		{
			"failed workers are never retried", check.Recovered,
			[]Edit{
				{_placementState, "_faultBase = 500 * time.Millisecond", "_faultBase = time.Hour"},
				{_placementState, "_faultMax  = 8 * time.Second", "_faultMax  = time.Hour"},
			},
			unreachable(),
		},
	}
}
