package plan_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wigeonlock/wigeonlock/findings"
	"github.com/wigeonlock/wigeonlock/plan"
)

func parseFiles(t testing.TB, name string) (plan.Lists, error) {
	t.Helper()
	plans, err := os.ReadFile(filepath.Join("testdata", name+"-plans.jsonc"))
	require.NoError(t, err)
	allowances, err := os.ReadFile(filepath.Join("testdata", name+"-allowances.jsonc"))
	require.NoError(t, err)
	return plan.Parse("plans.jsonc", plans, "allowances.jsonc", allowances)
}

func TestParseFindings(t *testing.T) {
	for _, name := range []string{"bad", "mistyped"} {
		t.Run(name, func(t *testing.T) {
			_, err := parseFiles(t, name)
			var problems *findings.Error
			require.ErrorAs(t, err, &problems)
			goldie.New(t).Assert(t, name, []byte(problems.Error()+"\n"))
		})
	}
}

func TestIndex(t *testing.T) {
	lists, err := parseFiles(t, "good")
	require.NoError(t, err)
	index := plan.NewIndex(lists)
	customer, ok := index.Customer("brunnthaler")
	require.True(t, ok)
	assert.Equal(t, "eu-alpen", customer.HomeRegion)
	assert.Equal(t, 20, customer.Plan.ShiftSlots)
	assert.Equal(t, 40, index.Allowance(plan.AllowanceKey{Plan: "handel", Region: "eu-alpen", Service: "katalog"}).Slots)
	assert.Zero(t, index.Allowance(plan.AllowanceKey{Plan: "handel", Region: "eu-nord", Service: "katalog"}).Slots)
}

func manyCustomers(n int) plan.Lists {
	lists := plan.Lists{}
	for p := range 10 {
		item := plan.Plan{Name: fmt.Sprintf("plan-%d", p), Priority: 1 + p, ShiftSlots: 10}
		for i := range n / 10 {
			id := p*n/10 + i
			item.Customers = append(item.Customers, plan.CustomerEntry{
				Name: fmt.Sprintf("customer-%d", id), HomeRegion: "eu-alpen",
				Blocks: []string{fmt.Sprintf("10.%d.%d.0/24", id/256%256, id%256)},
			})
		}
		lists.Plans = append(lists.Plans, item)
	}
	return lists
}

func TestSplitAndJoin(t *testing.T) {
	lists := manyCustomers(1000)
	parts := plan.Split(lists)
	var data [][]byte
	for _, p := range parts {
		data = append(data, p.Data)
	}
	joined, err := plan.Join(data)
	require.NoError(t, err)
	assert.Empty(t, plan.Diff(lists, joined))
}

// An edit of one customer changes a single part, and parts stay small.
func TestSplitChangesOnePart(t *testing.T) {
	lists := manyCustomers(130_000)
	before := plan.Split(lists)
	lists.Plans[3].Customers[7].HomeRegion = "eu-nord"
	after := plan.Split(lists)
	changed := 0
	for i := range before {
		if before[i].Digest != after[i].Digest {
			changed++
		}
		assert.Less(t, len(after[i].Data), 1<<20/2, "part %d", i)
	}
	assert.Equal(t, 1, changed)
}

func TestDiff(t *testing.T) {
	from := manyCustomers(20)
	to := manyCustomers(20)
	to.Plans[0].ShiftSlots = 99
	to.Plans[1].Customers = to.Plans[1].Customers[:1]
	to.Allowances = []plan.Allowance{{Plan: "plan-0", Region: "eu-alpen", Service: "katalog", Slots: 1}}
	var texts []string
	for _, c := range plan.Diff(from, to) {
		texts = append(texts, c.String())
	}
	assert.Equal(t, strings.Join([]string{
		`added allowance of plan "plan-0" for "katalog" in "eu-alpen"`,
		`removed customer "customer-3" of plan "plan-1"`,
		`changed plan "plan-0"`,
	}, "\n"), strings.Join(texts, "\n"))
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"good", "bad", "mistyped"} {
		plans, err := os.ReadFile(filepath.Join("testdata", name+"-plans.jsonc"))
		require.NoError(f, err)
		allowances, err := os.ReadFile(filepath.Join("testdata", name+"-allowances.jsonc"))
		require.NoError(f, err)
		f.Add(plans, allowances)
	}
	f.Fuzz(func(t *testing.T, plans, allowances []byte) {
		lists, err := plan.Parse("plans.jsonc", plans, "allowances.jsonc", allowances)
		var problems *findings.Error
		if err != nil {
			if !errors.As(err, &problems) {
				t.Fatalf("error is not findings: %v", err)
			}
			return
		}
		var data [][]byte
		for _, p := range plan.Split(lists) {
			data = append(data, p.Data)
		}
		joined, err := plan.Join(data)
		if err != nil {
			t.Fatalf("accepted lists cannot be joined: %v", err)
		}
		if changes := plan.Diff(lists, joined); len(changes) > 0 {
			t.Fatalf("lists changed by split and join: %v", changes)
		}
	})
}
