//go:build review

package rig3

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"time"
)

// Dose of the trouble "garble" on the small sites: the share of the workers that spoil answers, the
// share of their answers, and for how long.
const (
	GarbleWorkers = 0.5
	GarbleAnswers = 0.05
	GarbleTime    = 5 * time.Second
)

// IsGarbled reports whether a worker spoils its answer to a request while it is in trouble.
func IsGarbled(id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return float64(h.Sum32()%10000) < GarbleAnswers*10000
}

// PlayGarble plays a deployment whose workers are in trouble for GarbleTime, and calls judge with
// all that was sent and run. Half of the workers then send what spoil returns in place of a share
// of their answers.
func PlayGarble(spoil func(a Arrival, head http.Header, body string) []byte) (arrivals map[string]Arrival, sent []Sent, err error) {
	d, err := Deploy()
	if err != nil {
		return nil, nil, err
	}
	defer d.Close()
	from := time.Now().Add(8 * time.Second)
	until := from.Add(GarbleTime)
	for _, w := range d.Workers[:int(GarbleWorkers*float64(len(d.Workers)))] {
		w.SetSpoil(func(a Arrival, head http.Header, body string) []byte {
			if a.At.Before(from) || a.At.After(until) || !IsGarbled(a.ID) {
				return nil
			}
			return spoil(a, head, body)
		})
	}
	callers := d.Look()
	callers.Pause = 80 * time.Millisecond
	time.Sleep(4 * time.Second)
	callers.Start()
	time.Sleep(time.Until(until.Add(3 * time.Second)))
	sent = callers.Stop()
	arrivals = make(map[string]Arrival)
	for _, w := range d.Workers {
		for _, a := range w.Arrivals() {
			// Of the runs of a request, the last is the one that may be answered.
			if known, ok := arrivals[a.ID]; a.Ran && (!ok || a.At.After(known.At)) {
				arrivals[a.ID] = a
			}
		}
	}
	return arrivals, sent, nil
}

// Record writes what was sent, run and answered to a file, one line a request, and the verdict.
func Record(file string, sent []Sent, arrivals map[string]Arrival, broken func(s Sent, a Arrival) string) (code int, err error) {
	out, err := os.Create(file)
	if err != nil {
		return 2, err
	}
	defer func() { _ = out.Close() }()
	statuses, spoiled, wrong := make(map[int]int), 0, 0
	for _, s := range sent {
		a := arrivals[s.ID]
		statuses[s.Status]++
		if a.Spoiled {
			spoiled++
		}
		fault := broken(s, a)
		if fault != "" {
			wrong++
			fault = " BROKEN: " + fault
		}
		fmt.Fprintf(out, "%s sent, last run answered with %q (spoiled %v), caller got status %d stamped %v body %q whole %v%s\n",
			s.ID, a.Body, a.Spoiled, s.Status, s.Stamped, s.Body, s.Whole, fault)
	}
	verdict := "held"
	if wrong > 0 {
		verdict, code = "BROKEN", 1
	}
	line := fmt.Sprintf("MIXED %s: %d of %d callers' requests got a wrong success; %d last runs were spoiled; answers by status %v\n",
		verdict, wrong, len(sent), spoiled, statuses)
	fmt.Fprint(out, line)
	fmt.Print(line)
	return code, nil
}
