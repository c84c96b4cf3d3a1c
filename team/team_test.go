package team_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/team"
)

func TestRoster(t *testing.T) {
	long := strings.Repeat("k", 1000)
	r := team.NewRoster([]team.Entry{
		{Place: "0", Team: team.Team{Name: "office"}, Keys: []string{"a", "a", "", "both", long}},
		{Place: "1", Team: team.Team{Name: "site"}, Keys: []string{"b", "both"}},
		{Place: "2", Team: team.Team{Name: "office"}, Keys: []string{"c"}},
		{Place: "3", Team: team.Team{Name: ""}, Keys: []string{"d"}},
		{Place: "4", Team: team.Team{Name: "a\r\nb"}, Keys: []string{"e"}},
		{Place: "5", Team: team.Team{Name: "odd"}, Keys: []string{"f", "b"}, Problem: "homes are no list"},
		{Place: "6", Team: team.Team{Name: "lax"}, Keys: []string{"g"}, Remarks: []string{"rate is negative"}},
	})
	for key, name := range map[string]string{"a": "office", long: "office", "g": "lax"} {
		require.NotNil(t, r.Find(key), name)
		assert.Equal(t, name, r.Find(key).Name)
	}
	for _, key := range []string{"", "both", "b", "c", "d", "e", "f", "A", " a", "a,b"} {
		assert.Nil(t, r.Find(key), "key %q", key)
	}
	var findings []string
	for _, f := range r.Findings() {
		findings = append(findings, f.String())
	}
	assert.Equal(t, []string{
		"0: key 2 is empty", "1: key 1 is also one of 0", "2: has the name of another team", "3: has no name",
		"4: has a name that no header field can hold", "5: homes are no list", "5: key 1 is also one of 1", "6: rate is negative",
	}, findings)
	assert.Len(t, r.Teams(), 3)
	assert.Equal(t, 3, r.Keys())
}

func TestFindingsAreLimited(t *testing.T) {
	r := team.NewRoster([]team.Entry{{Place: "0", Team: team.Team{Name: "office"}, Keys: make([]string, 50)}})
	assert.Len(t, r.Findings(), 21)
	assert.Equal(t, "teams: 30 more findings", r.Findings()[20].String())
}

func TestWithdrawnKeys(t *testing.T) {
	first := team.NewRoster([]team.Entry{{Team: team.Team{Name: "office"}, Keys: []string{"a", "b", "c"}}})
	second := team.NewRoster([]team.Entry{{Team: team.Team{Name: "office"}, Keys: []string{"b", "c"}}}).After(first)
	third := team.NewRoster([]team.Entry{{Team: team.Team{Name: "site"}, Keys: []string{"c"}}}).After(second)
	for _, key := range []string{"a", "b"} {
		require.NotNil(t, third.Withdrawn(key))
		assert.Equal(t, "office", third.Withdrawn(key).Name)
		assert.Nil(t, third.Find(key))
	}
	assert.Nil(t, third.Withdrawn("c"))
	assert.Equal(t, "site", third.Find("c").Name)
	assert.Nil(t, third.Withdrawn("never"))
	assert.Nil(t, first.Withdrawn("a"))
	assert.Equal(t, "office", first.Find("a").Name, "the earlier roster stays as it is")
	var none *team.Roster
	assert.Nil(t, none.After(third))
	assert.Same(t, first, first.After(none))
}

func TestUsage(t *testing.T) {
	var u team.Usage
	for i := range 5000 {
		u.Admit(fmt.Sprint("team", i))
	}
	for range 3 {
		u.Admit("team7")
	}
	u.Refuse("team9")
	largest, rest := u.Largest(2)
	assert.Equal(t, []team.Count{{Team: "team7", Admitted: 4}, {Team: "team9", Admitted: 1, Withdrawn: 1}}, largest)
	assert.EqualValues(t, 4998, rest.Admitted)
	assert.Zero(t, rest.Withdrawn)
}

func TestHomesAndRank(t *testing.T) {
	bound := team.Team{Homes: []string{"north"}, Rank: 0, HasRank: true}
	assert.True(t, bound.MayServe("north"))
	assert.False(t, bound.MayServe("south"))
	assert.True(t, (&team.Team{}).MayServe("south"))
	assert.Equal(t, 0, bound.RankOf(3))
	assert.Equal(t, 3, (&team.Team{}).RankOf(3))
}

func BenchmarkFind(b *testing.B) {
	entries := make([]team.Entry, 100)
	var keys []string
	for i := range entries {
		entries[i] = team.Entry{Team: team.Team{Name: fmt.Sprint("team", i)}}
		for n := range 100 {
			key := fmt.Sprintf("7qdqiqrh4jcda9rg%02d%02d", i, n)
			entries[i].Keys, keys = append(entries[i].Keys, key), append(keys, key)
		}
	}
	r := team.NewRoster(entries)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if r.Find(keys[i%len(keys)]) == nil {
			b.Fatal("the key is not known")
		}
	}
}
