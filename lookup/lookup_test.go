package lookup_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/lookup"
	"github.com/wigeonlock/wigeonlock/plan"
)

func index() *plan.Index {
	return plan.NewIndex(plan.Lists{Plans: []plan.Plan{{Name: "handel", Customers: []plan.CustomerEntry{
		{Name: "wide", HomeRegion: "alpen", Blocks: []string{"10.0.0.0/8", "2001:db8::/32"}},
		{Name: "narrow", HomeRegion: "nord", Blocks: []string{"10.1.0.0/16"}},
	}}}})
}

func TestLongestPrefixWins(t *testing.T) {
	table := lookup.NewTable([]string{"alpen", "nord", "west"}, index())
	for addr, want := range map[string]lookup.RegionIndex{
		"10.2.3.4": 0, "10.1.3.4": 1, "::ffff:10.1.3.4": 1, "2001:db8::1": 0, "192.0.2.1": lookup.UnknownRegion,
	} {
		region, _ := table.Find(netip.MustParseAddr(addr))
		assert.Equal(t, want, region, addr)
	}
}

func TestWithLeavesTableUnchanged(t *testing.T) {
	table := lookup.NewTable([]string{"alpen", "nord", "west"}, index())
	next := table.With(netip.MustParsePrefix("10.1.0.0/16"), 2)
	addr := netip.MustParseAddr("10.1.3.4")
	before, _ := table.Find(addr)
	after, _ := next.Find(addr)
	assert.Equal(t, lookup.RegionIndex(1), before)
	assert.Equal(t, lookup.RegionIndex(2), after)
}

func entries(n int) []lookup.Entry {
	list := make([]lookup.Entry, n)
	for i := range list {
		list[i] = lookup.Entry{Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Zone: "z", Weight: 100}
	}
	return list
}

// Answers are distributed evenly over the instances, and when one instance leaves,
// only the answers that contained it change.
func TestAnswersAreStable(t *testing.T) {
	const n, blocks = 60, 20_000
	all := entries(n)
	before := lookup.NewAnswers([][]lookup.Entry{all})
	after := lookup.NewAnswers([][]lookup.Entry{all[1:]})
	removed := all[0].Address
	first := make(map[string]int)
	moved := 0
	for b := range uint64(blocks) {
		old, now := before.Answer(0, b), after.Answer(0, b)
		require.Len(t, old, lookup.AnswerSize)
		first[old[0].Address]++
		if old[0].Address == now[0].Address {
			continue
		}
		moved++
		assert.Equal(t, removed, old[0].Address)
	}
	assert.InDelta(t, 1.0/n, float64(moved)/blocks, 0.01)
	for _, e := range all {
		assert.InDelta(t, blocks/n, first[e.Address], blocks/n, e.Address)
	}
}

func TestAnswerOfUnknownRegion(t *testing.T) {
	a := lookup.NewAnswers([][]lookup.Entry{nil})
	assert.Empty(t, a.Answer(0, 1))
	assert.Empty(t, a.Answer(lookup.UnknownRegion, 1))
}
