package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wigeonlock/wigeonlock/directory"
)

func member(name, region string) directory.Member {
	return directory.Member{Name: name, Address: name + ":80", Zone: region + "-a", Region: region, Started: 1}
}

func newDirectory() *directory.Directory {
	d := &directory.Directory{Self: member("self", "tunis"), Serving: true}
	for _, m := range []directory.Member{member("t2", "tunis"), member("s1", "sfax"), member("o1", "sousse")} {
		d.Put(m)
	}
	return d
}

func TestLocalRegionFirst(t *testing.T) {
	d := newDirectory()
	assert.Equal(t, []string{"self:80", "t2:80"}, d.Choose("tunis", nil))
	assert.Equal(t, []string{"s1:80"}, d.Choose("sfax", []string{"tunis"}), "the caller's region need not be a home region")
	d.Delete("s1", time.Time{})
	assert.Equal(t, []string{"o1:80", "self:80", "t2:80"}, d.Choose("sfax", nil))
	assert.Equal(t, []string{"self:80", "t2:80"}, d.Choose("sfax", []string{"tunis"}), "only home regions")
}

func TestLeavingInstanceIsNotSelected(t *testing.T) {
	d := newDirectory()
	d.Serving = false
	assert.Equal(t, []string{"t2:80"}, d.Choose("tunis", nil))
}

func TestTentativeDeletion(t *testing.T) {
	d := newDirectory()
	now := time.Unix(1000, 0)
	d.Delete("t2", now.Add(time.Second))
	d.Delete("s1", now.Add(time.Second))
	assert.Len(t, d.Names(), 4, "it may return")
	d.Put(member("t2", "tunis"))
	d.Sweep(now.Add(2 * time.Second))
	assert.Equal(t, []string{"o1", "self", "t2"}, d.Names())
	assert.Equal(t, 3, d.PeakInstances(), "shares do not grow when instances disappear")
}

func TestRegisteredIsThisIncarnation(t *testing.T) {
	d := newDirectory()
	assert.False(t, d.Registered())
	old := d.Self
	old.Started = 0
	d.Put(old)
	assert.False(t, d.Registered(), "the key of an earlier incarnation")
	d.Put(d.Self)
	assert.True(t, d.Registered())
	d.Delete("self", time.Unix(1, 0))
	assert.False(t, d.Registered())
}

// TestInstancesWithCapacityAreSelected has thirty instances with unequal links in two
// zones: a small link that served an equal part of the downloads was full.
func TestInstancesWithCapacityAreSelected(t *testing.T) {
	d := &directory.Directory{Self: member("self", "tunis")}
	large := map[string]bool{}
	for n := range 30 {
		m := member(fmt.Sprintf("m-%02d", n), "tunis")
		m.Zone = fmt.Sprint("tunis-", n%2)
		m.Capacity = 0.03
		if n%5 == 0 {
			m.Capacity = 0.6
			large[m.Address] = true
		}
		d.Put(m)
	}
	selected := d.Choose("tunis", nil)
	assert.Len(t, selected, directory.MaxPerRegion)
	for _, address := range selected {
		assert.True(t, large[address], address)
	}

	one := &directory.Directory{Self: member("self", "tunis")}
	for n := range 5 {
		m := member(fmt.Sprint("m-", n), "tunis")
		m.Capacity = 0.03
		if n == 0 {
			m.Capacity = 0.6
		}
		one.Put(m)
	}
	assert.Len(t, one.Choose("tunis", nil), 3, "the loss of one instance must be absorbed")
}

func TestMaxAddresses(t *testing.T) {
	d := &directory.Directory{Self: member("self", "tunis")}
	for n := range 100 {
		d.Put(member(fmt.Sprint("more-", n), fmt.Sprint("region-", n%20)))
	}
	assert.Len(t, d.Choose("nowhere", nil), directory.MaxAddresses)
}

// TestServes ranks an instance among the registered ones of its region: callers are sent
// to the strongest.
func TestServes(t *testing.T) {
	d := &directory.Directory{Self: directory.Member{Name: "self", Zone: "a", Region: "r", Capacity: 0.5}, Serving: true}
	assert.True(t, d.Serves())
	for n := range 2 * directory.MaxPerRegion {
		d.Put(directory.Member{Name: fmt.Sprint("weak-", n), Zone: "a", Region: "r", Capacity: 0.1})
		d.Put(directory.Member{Name: fmt.Sprint("elsewhere-", n), Zone: "b", Region: "q", Capacity: 2})
	}
	assert.True(t, d.Serves())
	for n := range directory.MaxPerRegion {
		d.Put(directory.Member{Name: fmt.Sprint("strong-", n), Zone: "a", Region: "r", Capacity: 1})
	}
	assert.False(t, d.Serves())
	assert.Len(t, d.ServingNeighbours(), directory.MaxPerRegion)
}
