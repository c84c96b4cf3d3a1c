package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/wigeonlock/wigeonlock/deployment/loopback"
	"github.com/wigeonlock/wigeonlock/entry"
	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/plan"
)

const (
	_lookupBlocks    = 130_000
	_lookupSites     = 63
	_lookupInstances = 540
	_lookupAddresses = 1 << 16
	_lookupTime      = time.Second
	_lookupUpdates   = 2000
	_lookupCallers   = 32
	_microsPerSecond = 1e6
	_bytesPerMB      = 1 << 20
	_tailSamples     = 300_000
	_tailPercentile  = 99.9
)

// LookupResult is the cost of look-ups at the size two years on.
type LookupResult struct {
	Blocks    int `json:"blocks"`
	Sites     int `json:"sites"`
	Instances int `json:"instances"`
	// PerCoreSecond is the look-ups per second of one goroutine.
	PerCoreSecond float64 `json:"perCoreSecond"`
	BuildMs       float64 `json:"buildMs"`
	// FleetMs is the time to compute the answers of all sites.
	FleetMs float64 `json:"fleetMs"`
	// MemoryMB is the heap that table and answers keep.
	MemoryMB float64 `json:"memoryMB"`
	// UpdateMicros is the time to apply one changed block.
	UpdateMicros float64 `json:"updateMicros"`
	// UpdateP999Micros is the latency of look-ups while blocks change without pause.
	UpdateP999Micros float64 `json:"lookupP999MicrosDuringUpdates"`
	GCPauseMaxMicros float64 `json:"gcPauseMaxMicros"`
	// MovedShare is the share of blocks whose first answer changes when one of
	// the instances leaves; IdealShare is one over their number.
	MovedShare float64 `json:"movedShare"`
	IdealShare float64 `json:"idealShare"`
	// HTTPPerSecond is over HTTP with keep-alive, and HTTPPerCoreSecond relates
	// it to the processor time of callers and instance together.
	HTTPPerSecond     float64 `json:"httpPerSecond"`
	HTTPPerCoreSecond float64 `json:"httpPerCoreSecond"`
}

// Lookup measures look-ups for 130,000 blocks, 63 sites and 540 instances.
func Lookup(ctx context.Context, o Options) (LookupResult, error) {
	r := LookupResult{Blocks: _lookupBlocks, Sites: _lookupSites, Instances: _lookupInstances}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	book := lookupBook()
	sites := lookupInstances()

	o.progress("building")
	runtime.GC()
	before := heap()
	started := time.Now()
	table := lookup.NewTable(siteNames(), book)
	r.BuildMs = millisSince(started)
	started = time.Now()
	answers := lookup.NewAnswers(sites)
	r.FleetMs = millisSince(started)
	runtime.GC()
	r.MemoryMB = float64(heap()-before) / _bytesPerMB

	o.progress("looking up")
	addresses := lookupAddresses(rng)
	r.PerCoreSecond = lookupRate(table, answers, addresses)
	o.progress("changing blocks")
	r.update(table, answers, addresses)
	r.IdealShare = 1.0 / _lookupInstances
	r.MovedShare = movedShare(answers, sites)
	runtime.KeepAlive(table)
	runtime.KeepAlive(book)

	o.progress("looking up over HTTP")
	return r, r.overHTTP(ctx)
}

func lookupBook() *plan.Index {
	item := plan.Plan{Name: "all", Priority: 1}
	for i := range _lookupBlocks {
		item.Customers = append(item.Customers, plan.CustomerEntry{
			Name: fmt.Sprintf("customer-%d", i), HomeRegion: fmt.Sprintf("site-%d", i%_lookupSites),
			Blocks: []string{fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255)},
		})
	}
	return plan.NewIndex(plan.Lists{Plans: []plan.Plan{item}})
}

func siteNames() []string {
	names := make([]string, _lookupSites)
	for i := range names {
		names[i] = fmt.Sprintf("site-%d", i)
	}
	return names
}

func lookupInstances() [][]lookup.Entry {
	sites := make([][]lookup.Entry, _lookupSites)
	for i := range _lookupInstances {
		site := i % _lookupSites
		sites[site] = append(sites[site], lookup.Entry{
			Address: fmt.Sprintf("192.0.%d.%d:8080", i>>8, i&255), Zone: siteNames()[site], Weight: 100,
		})
	}
	return sites
}

func lookupAddresses(rng *rand.Rand) []netip.Addr {
	addresses := make([]netip.Addr, _lookupAddresses)
	for i := range addresses {
		block := rng.IntN(_lookupBlocks)
		addresses[i] = netip.AddrFrom4([4]byte{byte(10 + block>>16), byte(block >> 8), byte(block), byte(rng.IntN(256))})
	}
	return addresses
}

func lookupRate(table *lookup.Table, answers *lookup.Answers, addresses []netip.Addr) float64 {
	const batch = 4096
	found, n := 0, 0
	started := time.Now()
	for time.Since(started) < _lookupTime {
		for range batch {
			site, block := table.Find(addresses[n%_lookupAddresses])
			found += len(answers.Answer(site, block))
			n++
		}
	}
	runtime.KeepAlive(found)
	return float64(n) / time.Since(started).Seconds()
}

// update changes blocks one after the other while look-ups go on.
func (r *LookupResult) update(table *lookup.Table, answers *lookup.Answers, addresses []netip.Addr) {
	tables := make(chan *lookup.Table, 1)
	done := make(chan []time.Duration)
	go func() {
		times := make([]time.Duration, 0, _tailSamples)
		current := table
		for n := range _tailSamples {
			select {
			case current = <-tables:
			default:
			}
			started := time.Now()
			site, block := current.Find(addresses[n%_lookupAddresses])
			_ = answers.Answer(site, block)
			times = append(times, time.Since(started))
		}
		done <- times
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	started := time.Now()
	next := table
	for i := range _lookupUpdates {
		block := i * 31 % _lookupBlocks
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(10 + block>>16), byte(block >> 8), byte(block), 0}), 24)
		next = next.With(prefix, lookup.RegionIndex(i%_lookupSites))
		select {
		case tables <- next:
		default:
		}
	}
	r.UpdateMicros = millisSince(started) * _perMs / _lookupUpdates
	times := newLatencies()
	hist := times.hist
	for _, d := range <-done {
		_ = hist.RecordValue(max(d.Nanoseconds(), 1))
	}
	r.UpdateP999Micros = float64(hist.ValueAtPercentile(_tailPercentile)) / _perMs
	runtime.ReadMemStats(&after)
	for i := before.NumGC; i < after.NumGC; i++ {
		r.GCPauseMaxMicros = max(r.GCPauseMaxMicros, float64(after.PauseNs[i%uint32(len(after.PauseNs))])/_perMs)
	}
}

// movedShare takes one instance away and counts the blocks that move.
func movedShare(before *lookup.Answers, sites [][]lookup.Entry) float64 {
	fewer := slices.Clone(sites)
	fewer[0] = fewer[0][1:]
	after := lookup.NewAnswers(fewer)
	table := lookup.NewTable(siteNames(), lookupBook())
	moved := 0
	for i := range _lookupBlocks {
		site, block := table.Find(netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 1}))
		if before.Answer(site, block)[0] != after.Answer(site, block)[0] {
			moved++
		}
	}
	return float64(moved) / _lookupBlocks
}

func (r *LookupResult) overHTTP(ctx context.Context) error {
	c := &loopback.Cluster{Deployment: forwardDeployment(), WorkersPerZone: 1, Log: zap.NewNop()}
	if err := c.Start(ctx); err != nil {
		return err
	}
	defer c.Abort()
	address := c.EntryInstances[0].Settings.Callers.Listen
	client := &fasthttp.HostClient{Addr: address, MaxConns: _lookupCallers}
	defer client.CloseIdleConnections()
	target := "http://" + address + entry.LookupPath + "?service=" + _forwardService
	once := func(int) error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI(target)
		if err := client.Do(req, resp); err != nil {
			return err
		}
		if resp.StatusCode() != fasthttp.StatusOK {
			return errors.Errorf("look-up answered %d", resp.StatusCode())
		}
		return nil
	}
	if err := paced(ctx, _warmLength, _lookupCallers, 0, once); err != nil {
		return err
	}
	l := newLatencies()
	before := usageNow()
	started := time.Now()
	err := paced(ctx, _forwardLength, _lookupCallers, 0, func(i int) error {
		err := once(i)
		l.add(time.Microsecond)
		return err
	})
	used := usageNow().since(before)
	r.HTTPPerSecond = float64(l.count()) / time.Since(started).Seconds()
	r.HTTPPerCoreSecond = float64(l.count()) / used.cpu.Seconds()
	return err
}

func heap() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func millisSince(t time.Time) float64 {
	return float64(time.Since(t).Nanoseconds()) / _microsPerSecond
}
