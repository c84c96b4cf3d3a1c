// Package lookup answers which entry instances a caller should use.
//
// A Table maps blocks of client addresses to sites by longest prefix. A
// Fleet holds, for each site, the entry instances that may be answered. Each
// block gets three of them by rendezvous hashing, so that when an instance
// leaves, only the answers change that named it. Both are immutable and are
// swapped whole, so that look-ups take no lock.
//
// # Usage
//
//	table := lookup.NewTable(names, book)
//	fleet := lookup.NewFleet(instances)
//	site, block := table.Find(addr)
//	entries := gossip.Answer(site, block)
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
	// _slots is the number of precomputed answers of a site.
	_slots = 1024
)

// RegionIndex is a place that serves callers, by its index among all of them.
type RegionIndex int32

// UnknownRegion is the site of an address that is in no block.
const UnknownRegion RegionIndex = -1

// Entry is an entry instance in an answer.
type Entry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Weight is from 1 to 100.
	Weight int `json:"weight"`
}

// Table maps blocks of client addresses to sites.
type Table struct {
	blocks *bart.Table[RegionIndex]
}

// NewTable indexes the blocks of a book by the home regions of their
// customers. A site's index is the one of its region in names.
func NewTable(names []string, book *plan.Book) *Table {
	t := &Table{blocks: new(bart.Table[RegionIndex])}
	sites := make(map[string]RegionIndex, len(names))
	for i, name := range names {
		sites[name] = RegionIndex(i)
	}
	book.EachBlock(func(p netip.Prefix, tenant *plan.Tenant) {
		site, known := sites[tenant.HomeRegion]
		if !known {
			site = UnknownRegion
		}
		t.blocks.Insert(p, site)
	})
	return t
}

// With returns a table in which one block maps to another site. The table
// itself is not changed.
func (t *Table) With(block netip.Prefix, site RegionIndex) *Table {
	return &Table{blocks: t.blocks.InsertPersist(block, site)}
}

// Find returns the site of a client and a hash of its address block, a /24 or
// /48, so that clients near each other get the same answer.
func (t *Table) Find(addr netip.Addr) (RegionIndex, uint64) {
	addr = addr.Unmap()
	site, ok := t.blocks.Lookup(addr)
	if !ok {
		site = UnknownRegion
	}
	return site, blockHash(addr)
}

// Size returns the number of blocks.
func (t *Table) Size() int {
	return t.blocks.Size()
}

// Answers holds the precomputed answers of each site.
type Answers struct {
	sites []*[_slots][]Entry
}

// NewAnswers computes the answers from the entry instances of each site.
func NewAnswers(sites [][]Entry) *Answers {
	f := &Answers{sites: make([]*[_slots][]Entry, len(sites))}
	for i, entries := range sites {
		if len(entries) > 0 {
			f.sites[i] = answers(entries)
		}
	}
	return f
}

// Answer returns the entry instances for a block, best first. The slice is
// shared and must not be changed.
func (f *Answers) Answer(site RegionIndex, block uint64) []Entry {
	if site < 0 || int(site) >= len(f.sites) || f.sites[site] == nil {
		return nil
	}
	return f.sites[site][block%_slots]
}

func answers(entries []Entry) *[_slots][]Entry {
	type ranked struct {
		Entry
		rank uint64
	}
	hashes := make([]uint64, len(entries))
	for i, e := range entries {
		hashes[i] = xxhash.Sum64String(e.Address)
	}
	var slots [_slots][]Entry
	list := make([]ranked, len(entries))
	for slot := range slots {
		for i, e := range entries {
			list[i] = ranked{e, mix(hashes[i] ^ mix(uint64(slot)))}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].rank > list[j].rank })
		answer := make([]Entry, min(len(list), AnswerSize))
		for i := range answer {
			answer[i] = list[i].Entry
		}
		slots[slot] = answer
	}
	return &slots
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

// mix is the finalizer of splitmix64: it spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
