//go:build review

package rig3

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// Dose of the trouble "garble" on the small sites: the share of the workers that spoil answers, the
// share of their answers, and for how long.
const (
	GarbleWorkers = 0.5
	GarbleAnswers = 0.05
	GarbleTime    = 5 * time.Second
)

// Garbled is what was played.
type Garbled struct {
	// Runs are the runs of each request, Sent what callers sent.
	Runs map[string][]Arrival
	Sent []Sent
	// Troubled is the number of workers in trouble, of Workers, Spoiled that of the answers which they
	// spoiled, of Answers that they gave meanwhile.
	Troubled, Workers, Spoiled, Answers int
}

// PlayGarble plays a deployment whose workers are in trouble for GarbleTime. At most half of the workers then
// send what spoil returns in place of one answer in twenty: each its 20th, 40th and so on.
func PlayGarble(spoil func(a Arrival, head http.Header, body string) []byte) (*Garbled, error) {
	d, err := Deploy()
	if err != nil {
		return nil, err
	}
	defer d.Close()
	from := time.Now().Add(8 * time.Second)
	until := from.Add(GarbleTime)
	g := &Garbled{Runs: make(map[string][]Arrival), Troubled: int(GarbleWorkers * float64(len(d.Workers))), Workers: len(d.Workers)}
	every := int(1 / GarbleAnswers)
	var mu sync.Mutex
	for _, w := range d.Workers[:g.Troubled] {
		answers := 0
		w.SetSpoil(func(a Arrival, head http.Header, body string) []byte {
			if a.At.Before(from) || a.At.After(until) {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			g.Answers++
			if answers++; answers%every != 0 {
				return nil
			}
			g.Spoiled++
			return spoil(a, head, body)
		})
	}
	callers := d.Look()
	callers.Pause = 80 * time.Millisecond
	time.Sleep(4 * time.Second)
	callers.Start()
	time.Sleep(time.Until(until.Add(3 * time.Second)))
	g.Sent = callers.Stop()
	for _, w := range d.Workers {
		for _, a := range w.Arrivals() {
			if a.Ran {
				g.Runs[a.ID] = append(g.Runs[a.ID], a)
			}
		}
	}
	return g, nil
}

// IsWhole reports whether a body is that of a worker's answer to the request.
func IsWhole(body string, runs []Arrival) bool {
	return slices.ContainsFunc(runs, func(a Arrival) bool { return a.Body == body })
}

// Record writes what was sent, run and answered to a file, one line a request, and the verdict.
func (g *Garbled) Record(file string, broken func(s Sent, runs []Arrival) string) (code int, err error) {
	out, err := os.Create(file)
	if err != nil {
		return 2, err
	}
	defer func() { _ = out.Close() }()
	statuses, wrong := make(map[int]int), 0
	for _, s := range g.Sent {
		statuses[s.Status]++
		fault := broken(s, g.Runs[s.ID])
		if fault != "" {
			wrong++
			fault = " BROKEN: " + fault
		}
		fmt.Fprintf(out, "%s sent; runs:", s.ID)
		for _, a := range g.Runs[s.ID] {
			fmt.Fprintf(out, " %q (spoiled %v)", a.Body, a.Spoiled)
		}
		fmt.Fprintf(out, "; caller got status %d stamped %v body %q whole %v%s\n", s.Status, s.Stamped, s.Body, s.Whole, fault)
	}
	dose := fmt.Sprintf("%d of %d workers sent %d of their %d answers in %.0f s otherwise", g.Troubled, g.Workers, g.Spoiled, g.Answers, GarbleTime.Seconds())
	verdict := "held"
	switch {
	case g.Spoiled == 0 || float64(g.Spoiled) > GarbleAnswers*float64(g.Answers):
		verdict, code = "not tried, by the dose", 2
	case wrong > 0:
		verdict, code = "BROKEN", 1
	}
	line := fmt.Sprintf("MIXED %s: %d of %d callers' requests got a wrong success; %s; answers by status %v\n", verdict, wrong, len(g.Sent), dose, statuses)
	fmt.Fprint(out, line)
	fmt.Print(line)
	return code, nil
}
