package measure

import (
	"context"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Table is a table of the capacity page.
type Table struct {
	// Name is the name in the page's markers <!-- begin NAME --> and <!-- end NAME -->.
	Name     string
	Markdown string
}

// Capacity measures the costs from which the capacity page is calculated.
func Capacity(ctx context.Context, o Options) ([]Table, error) {
	control, err := Control(ctx, o)
	if err != nil {
		return nil, err
	}
	lookups, err := Lookup(ctx, o)
	if err != nil {
		return nil, err
	}
	forward, err := Forward(ctx, o)
	if err != nil {
		return nil, err
	}
	claims, err := Payment(ctx, o)
	if err != nil {
		return nil, err
	}
	return []Table{controlTable(control), lookupTable(lookups), forwardTable(forward), paymentTable(claims)}, nil
}

// Rewrite returns the page with its marked tables replaced. It fails if a marker
// is missing.
func Rewrite(page string, tables []Table) (string, error) {
	for _, t := range tables {
		begin, end := "<!-- begin "+t.Name+" -->\n", "<!-- end "+t.Name+" -->"
		before, remaining, ok := strings.Cut(page, begin)
		if !ok {
			return "", errors.Errorf("page has no marker %q", strings.TrimSpace(begin))
		}
		_, after, ok := strings.Cut(remaining, end)
		if !ok {
			return "", errors.Errorf("page has no marker %q", end)
		}
		page = before + begin + t.Markdown + end + after
	}
	return page, nil
}

func markdown(header []string, rows [][]string) string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(header)
	line(strings.Split(strings.Repeat("---,", len(header)-1)+"---", ","))
	for _, row := range rows {
		line(row)
	}
	return b.String()
}

func controlTable(r ControlResult) Table {
	var rows [][]string
	for _, p := range r.Points {
		rows = append(rows, []string{
			fmt.Sprint(p.Instances), fmt.Sprint(p.Zones), fmt.Sprintf("%.1f", p.MessagesPerInstance),
			fmt.Sprintf("%.0f", p.PayloadPerInstance), fmt.Sprintf("%.0f", p.BytesPerInstance),
			fmt.Sprintf("%.0f", p.BusiestInstance), fmt.Sprintf("%.3f %%", p.CPUShare*100),
			fmt.Sprintf("%.0f", p.FullMeshBytes), fmt.Sprintf("%.1f", float64(p.DetectionMs)/_kilo),
		})
	}
	return Table{"control", markdown([]string{
		"instances", "zones", "messages/s", "payload B/s", "with calls B/s", "busiest node payload B/s",
		"core", "full mesh B/s", "dead left out after s",
	}, rows)}
}

func lookupTable(r LookupResult) Table {
	rows := [][]string{
		{"look-ups per second of one goroutine", fmt.Sprintf("%.1f million", r.PerCoreSecond/_mega)},
		{"time to index 130,000 blocks", fmt.Sprintf("%.0f ms", r.BuildMs)},
		{"time to compute the answers of 63 sites", fmt.Sprintf("%.0f ms", r.AnswersMs)},
		{"memory of table and answers", fmt.Sprintf("%.0f MB", r.MemoryMB)},
		{"time to apply one changed block", fmt.Sprintf("%.0f us", r.UpdateMicros)},
		{"p99.9 of a look-up during changes", fmt.Sprintf("%.1f us", r.UpdateP999Micros)},
		{"share of blocks that move when one of 540 leaves", fmt.Sprintf("%.5f (1/540 is %.5f)", r.MovedShare, r.IdealShare)},
		{"HTTP look-ups per second, callers and instance on 8 cores", fmt.Sprintf("%.0f", r.HTTPPerSecond)},
		{"the same per core, callers and instance together", fmt.Sprintf("%.0f", r.HTTPPerCoreSecond)},
	}
	return Table{"lookup", markdown([]string{"figure", "measured"}, rows)}
}

func forwardTable(r ForwardResult) Table {
	var rows [][]string
	for _, p := range r.Paths {
		rows = append(rows, []string{
			p.Path, fmt.Sprintf("%.0f", p.RequestsPerSecond), fmt.Sprintf("%.3f", p.P50Ms), fmt.Sprintf("%.3f", p.P99Ms),
			fmt.Sprintf("%.3f", p.AddedP50Ms), fmt.Sprintf("%.3f", p.AddedP99Ms),
			fmt.Sprintf("%.0f", p.CPUMicros), fmt.Sprintf("%.0f", p.Allocations),
		})
	}
	return Table{"forward", markdown([]string{
		"path", "most requests/s", "p50 ms", "p99 ms", "added p50 ms", "added p99 ms", "added CPU us", "added allocations",
	}, rows)}
}

func paymentTable(r PaymentResult) Table {
	var rows [][]string
	for _, p := range r.Runs {
		rows = append(rows, []string{
			p.Strategy, fmt.Sprint(p.Callers), fmt.Sprintf("%.0f", p.PaymentsPerSecond), fmt.Sprintf("%.0f", p.WritesPerSecond),
			fmt.Sprintf("%.1f", p.PaymentsPerWrite), fmt.Sprintf("%.0f", p.P50Ms), fmt.Sprintf("%.0f", p.P99Ms),
		})
	}
	return Table{"payment", markdown([]string{
		"way", "callers", "payments/s", "store writes/s", "payments per write", "p50 ms", "p99 ms",
	}, rows)}
}
