// Package lookup returns the entry instances that a caller should use.
//
// A Table maps blocks of client addresses to regions by longest prefix match.
// Answers holds the precomputed answers of each region: each address block gets
// three of the region's entry instances by rendezvous hashing, so that when an
// instance leaves, only the answers that contained it change. Both are immutable
// and replaced as a whole, so that lookups take no lock.
//
// # Usage
//
//	table := lookup.NewTable(names, index)
//	answers := lookup.NewAnswers(instances)
//	region, block := table.Find(addr)
//	entries := answers.Answer(region, block)
package lookup

import (
	"encoding/binary"
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/gaissmai/bart"

	"github.com/wigeonlock/wigeonlock/plan"
)

const (
	// AnswerSize is the number of entry instances in an answer.
	AnswerSize = 3
	// _buckets is the number of buckets over which address blocks are hashed. A
	// region has one precomputed answer for each bucket.
	_buckets = 1024
)

// RegionIndex identifies a region by its index among all regions.
type RegionIndex int32

// UnknownRegion is the region of an address that is in no block.
const UnknownRegion RegionIndex = -1

// Entry is an entry instance in an answer.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Weight is from 1 to 100.
	Weight int `json:"weight"`
}

// Table maps blocks of client addresses to regions. It is immutable.
type Table struct {
	blocks *bart.Table[RegionIndex]
}

// NewTable returns a table that maps the blocks of the customers to their home
// regions. names holds the names of all regions by index. The blocks of customers
// with another home region map to UnknownRegion.
func NewTable(names []string, index *plan.Index) *Table {
	t := &Table{blocks: new(bart.Table[RegionIndex])}
	regions := make(map[string]RegionIndex, len(names))
	for i, name := range names {
		regions[name] = RegionIndex(i)
	}
	index.EachBlock(func(p netip.Prefix, customer *plan.Customer) {
		region, known := regions[customer.HomeRegion]
		if !known {
			region = UnknownRegion
		}
		t.blocks.Insert(p, region)
	})
	return t
}

// With returns a copy of the table in which one block maps to another region.
func (t *Table) With(block netip.Prefix, region RegionIndex) *Table {
	return &Table{blocks: t.blocks.InsertPersist(block, region)}
}

// Find returns the region of a client and a hash of its address block, a /24 for
// IPv4 or a /48 for IPv6, so that clients of a block get the same answer.
func (t *Table) Find(addr netip.Addr) (RegionIndex, uint64) {
	addr = addr.Unmap()
	region, ok := t.blocks.Lookup(addr)
	if !ok {
		region = UnknownRegion
	}
	return region, blockHash(addr)
}

// Size returns the number of blocks.
func (t *Table) Size() int {
	return t.blocks.Size()
}

// Answers holds the precomputed answers of each region. It is immutable.
type Answers struct {
	regions []*[_buckets][]Entry
}

// NewAnswers computes the answers from the entry instances of each region, by
// region index.
func NewAnswers(regions [][]Entry) *Answers {
	a := &Answers{regions: make([]*[_buckets][]Entry, len(regions))}
	for i, entries := range regions {
		if len(entries) > 0 {
			a.regions[i] = answers(entries)
		}
	}
	return a
}

// Answer returns the entry instances for an address block, best first, or nil if
// the region is unknown or has none. The slice is shared and must not be changed.
func (a *Answers) Answer(region RegionIndex, block uint64) []Entry {
	if region < 0 || int(region) >= len(a.regions) || a.regions[region] == nil {
		return nil
	}
	return a.regions[region][block%_buckets]
}

// answers ranks the entry instances for each bucket by rendezvous hashing.
func answers(entries []Entry) *[_buckets][]Entry {
	type ranked struct {
		Entry
		rank uint64
	}
	hashes := make([]uint64, len(entries))
	for i, e := range entries {
		hashes[i] = xxhash.Sum64String(e.Address)
	}
	var buckets [_buckets][]Entry
	list := make([]ranked, len(entries))
	for bucket := range buckets {
		for i, e := range entries {
			list[i] = ranked{e, mix(hashes[i] ^ mix(uint64(bucket)))}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].rank > list[j].rank })
		answer := make([]Entry, min(len(list), AnswerSize))
		for i := range answer {
			answer[i] = list[i].Entry
		}
		buckets[bucket] = answer
	}
	return &buckets
}

// blockHash hashes the /24 of an IPv4 or the /48 of an IPv6 address.
func blockHash(addr netip.Addr) uint64 {
	if addr.Is4() {
		b := addr.As4()
		return mix(uint64(b[0])<<16 | uint64(b[1])<<8 | uint64(b[2]))
	}
	b := addr.As16()
	return mix(binary.BigEndian.Uint64(b[:8]) >> 16)
}

// mix is the finalizer of splitmix64, which distributes the bits of a hash evenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
