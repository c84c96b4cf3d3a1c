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
	_lookupRegions   = 63
	_lookupInstances = 540
	_lookupAddresses = 1 << 16
	_lookupTime      = time.Second
	_lookupUpdates   = 2000
	_lookupCallers   = 32
	// _mega converts nanoseconds to milliseconds, and numbers to millions.
	_mega           = 1e6
	_bytesPerMB     = 1 << 20
	_tailSamples    = 300_000
	_tailPercentile = 99.9
)

// LookupResult is the cost of lookups at the size expected in two years. Each of the
// users' sites is a region of the table.
type LookupResult struct {
	Blocks    int `json:"blocks"`
	Regions   int `json:"sites"`
	Instances int `json:"instances"`
	// PerCoreSecond is the number of lookups per second of one goroutine.
	PerCoreSecond float64 `json:"perCoreSecond"`
	BuildMs       float64 `json:"buildMs"`
	// AnswersMs is the time to compute the answers of all regions.
	AnswersMs float64 `json:"fleetMs"`
	// MemoryMB is the heap that the table and the answers occupy.
	MemoryMB float64 `json:"memoryMB"`
	// UpdateMicros is the time to apply one changed block.
	UpdateMicros float64 `json:"updateMicros"`
	// UpdateP999Micros is the p99.9 latency of lookups while blocks change
	// continuously.
	UpdateP999Micros float64 `json:"lookupP999MicrosDuringUpdates"`
	GCPauseMaxMicros float64 `json:"gcPauseMaxMicros"`
	// MovedShare is the share of blocks whose first answer changes when one of
	// the instances leaves; IdealShare is one divided by their number.
	MovedShare float64 `json:"movedShare"`
	IdealShare float64 `json:"idealShare"`
	// HTTPPerSecond is the number of lookups per second over HTTP with keep-alive;
	// HTTPPerCoreSecond is the number per second of processor time that callers
	// and instance use together.
	HTTPPerSecond     float64 `json:"httpPerSecond"`
	HTTPPerCoreSecond float64 `json:"httpPerCoreSecond"`
}

// Lookup measures lookups for 130,000 blocks, 63 sites and 540 instances.
func Lookup(ctx context.Context, o Options) (LookupResult, error) {
	r := LookupResult{Blocks: _lookupBlocks, Regions: _lookupRegions, Instances: _lookupInstances}
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	index := lookupIndex()
	regions := lookupInstances()

	o.progress("building")
	runtime.GC()
	before := heapBytes()
	started := time.Now()
	table := lookup.NewTable(regionNames(), index)
	r.BuildMs = millisSince(started)
	started = time.Now()
	answers := lookup.NewAnswers(regions)
	r.AnswersMs = millisSince(started)
	runtime.GC()
	r.MemoryMB = float64(heapBytes()-before) / _bytesPerMB

	o.progress("looking up")
	addresses := lookupAddresses(rng)
	r.PerCoreSecond = lookupRate(table, answers, addresses)
	o.progress("changing blocks")
	r.measureUpdates(table, answers, addresses)
	r.IdealShare = 1.0 / _lookupInstances
	r.MovedShare = movedShare(answers, regions)
	runtime.KeepAlive(table)
	runtime.KeepAlive(index)

	o.progress("looking up over HTTP")
	return r, r.measureHTTP(ctx)
}

func lookupIndex() *plan.Index {
	item := plan.Plan{Name: "all", Priority: 1}
	for i := range _lookupBlocks {
		item.Customers = append(item.Customers, plan.CustomerEntry{
			Name: fmt.Sprintf("customer-%d", i), HomeRegion: fmt.Sprintf("site-%d", i%_lookupRegions),
			Blocks: []string{fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255)},
		})
	}
	return plan.NewIndex(plan.Lists{Plans: []plan.Plan{item}})
}

func regionNames() []string {
	names := make([]string, _lookupRegions)
	for i := range names {
		names[i] = fmt.Sprintf("site-%d", i)
	}
	return names
}

func lookupInstances() [][]lookup.Entry {
	regions := make([][]lookup.Entry, _lookupRegions)
	for i := range _lookupInstances {
		region := i % _lookupRegions
		regions[region] = append(regions[region], lookup.Entry{
			Address: fmt.Sprintf("192.0.%d.%d:8080", i>>8, i&255), Zone: regionNames()[region], Weight: 100,
		})
	}
	return regions
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
			region, block := table.Find(addresses[n%_lookupAddresses])
			found += len(answers.Answer(region, block))
			n++
		}
	}
	runtime.KeepAlive(found)
	return float64(n) / time.Since(started).Seconds()
}

// measureUpdates changes blocks one after the other during concurrent lookups.
func (r *LookupResult) measureUpdates(table *lookup.Table, answers *lookup.Answers, addresses []netip.Addr) {
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
			region, block := current.Find(addresses[n%_lookupAddresses])
			_ = answers.Answer(region, block)
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
		next = next.With(prefix, lookup.RegionIndex(i%_lookupRegions))
		select {
		case tables <- next:
		default:
		}
	}
	r.UpdateMicros = millisSince(started) * _kilo / _lookupUpdates
	times := newLatencies()
	hist := times.hist
	for _, d := range <-done {
		_ = hist.RecordValue(max(d.Nanoseconds(), 1))
	}
	r.UpdateP999Micros = float64(hist.ValueAtPercentile(_tailPercentile)) / _kilo
	runtime.ReadMemStats(&after)
	for i := before.NumGC; i < after.NumGC; i++ {
		r.GCPauseMaxMicros = max(r.GCPauseMaxMicros, float64(after.PauseNs[i%uint32(len(after.PauseNs))])/_kilo)
	}
}

// movedShare removes one instance and returns the share of blocks whose first
// answer changes.
func movedShare(before *lookup.Answers, regions [][]lookup.Entry) float64 {
	fewer := slices.Clone(regions)
	fewer[0] = fewer[0][1:]
	after := lookup.NewAnswers(fewer)
	table := lookup.NewTable(regionNames(), lookupIndex())
	moved := 0
	for i := range _lookupBlocks {
		region, block := table.Find(netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 1}))
		if before.Answer(region, block)[0] != after.Answer(region, block)[0] {
			moved++
		}
	}
	return float64(moved) / _lookupBlocks
}

func (r *LookupResult) measureHTTP(ctx context.Context) error {
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
			return errors.Errorf("lookup returned status %d", resp.StatusCode())
		}
		return nil
	}
	if err := runLoad(ctx, _warmUpTime, _lookupCallers, 0, once); err != nil {
		return err
	}
	l := newLatencies()
	before := readUsage()
	started := time.Now()
	err := runLoad(ctx, _loadTime, _lookupCallers, 0, func(i int) error {
		err := once(i)
		l.add(time.Microsecond)
		return err
	})
	used := readUsage().since(before)
	r.HTTPPerSecond = float64(l.count()) / time.Since(started).Seconds()
	r.HTTPPerCoreSecond = float64(l.count()) / used.cpu.Seconds()
	return err
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func millisSince(t time.Time) float64 {
	return float64(time.Since(t).Nanoseconds()) / _mega
}
