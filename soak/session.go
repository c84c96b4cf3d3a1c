package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/tailscale/hujson"

	"github.com/wigeonlock/wigeonlock/soak/fault"
	"github.com/wigeonlock/wigeonlock/soak/play"
)

// session runs schedules against one program.
type session struct {
	binary  string
	dir     string
	keepDir string
	length  time.Duration
	jobs    int

	mu  sync.Mutex
	out io.Writer
}

// row is a seed's row in the table.
type row struct {
	seed   uint64
	events int
	result play.Result
	err    error
}

// playSeeds plays seeds and prints a table. It returns errBroken if an invariant was
// violated or a seed was not played.
func (s *session) playSeeds(ctx context.Context, seeds []uint64) error {
	rows := make([]row, len(seeds))
	subnets := s.subnets()
	group := pool.New().WithMaxGoroutines(s.jobs)
	_, _ = fmt.Fprintln(s.out, "seed events requests served arrivals broken")
	for i, seed := range seeds {
		group.Go(func() {
			subnet := <-subnets
			defer func() { subnets <- subnet }()
			if ctx.Err() != nil {
				return
			}
			events := fault.Draw(seed, s.length, play.Topology())
			result, err := s.play(ctx, seed, subnet, events)
			rows[i] = row{seed, len(events), result, err}
			s.print(rows[i])
		})
	}
	group.Wait()
	return s.summarize(rows)
}

// subnets returns the loopback subnets for concurrent runs.
func (s *session) subnets() chan int {
	subnets := make(chan int, s.jobs)
	for subnet := range s.jobs {
		subnets <- subnet
	}
	return subnets
}

// print prints a row and, if invariants were violated, the schedule and violations.
func (s *session) print(r row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.err != nil {
		_, _ = fmt.Fprintf(s.out, "%d %d not played: %s\n", r.seed, r.events, r.err)
		return
	}
	share := 0.0
	if r.result.Calls > 0 {
		share = float64(r.result.Served) / float64(r.result.Calls)
	}
	_, _ = fmt.Fprintf(s.out, "%d %d %d %.3f %d %d\n", r.seed, r.events, r.result.Calls, share, r.result.Visits, len(r.result.Violations))
	if len(r.result.Violations) > 0 {
		for _, e := range fault.Draw(r.seed, s.length, play.Topology()) {
			_, _ = fmt.Fprintln(s.out, "  "+e.String())
		}
		s.printViolations(r.seed, seedDir(s.dir, r.seed), r.result)
	}
}

// summarize prints the totals and returns errBroken unless all seeds passed.
func (s *session) summarize(rows []row) error {
	played, broken := 0, 0
	for _, r := range rows {
		if r.err == nil {
			played++
		}
		if len(r.result.Violations) > 0 {
			broken++
		}
	}
	_, _ = fmt.Fprintf(s.out, "%d seeds played, %d of them violated an invariant, %d not played\n", played, broken, len(rows)-played)
	if broken > 0 || played < len(rows) {
		return errBroken
	}
	return nil
}

// play plays one schedule in a directory of its own, which is copied to keepDir if an
// invariant was violated.
func (s *session) play(ctx context.Context, seed uint64, subnet int, events []fault.Event) (play.Result, error) {
	dir := seedDir(s.dir, seed)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return play.Result{}, errors.Wrap(err, "create directory")
	}
	result, err := play.Run(ctx, play.Options{
		Binary: s.binary, Dir: dir, Seed: seed, Length: s.length, Events: events, Subnet: subnet,
	})
	if s.keepDir != "" && len(result.Violations) > 0 {
		if copyErr := os.CopyFS(seedDir(s.keepDir, seed), os.DirFS(dir)); copyErr != nil {
			return result, errors.Wrap(copyErr, "copy logs")
		}
	}
	return result, err
}

// regression is a seed that failed in the past.
type regression struct {
	Seed uint64 `json:"seed"`
	// Seconds is the length of the schedule.
	Seconds int `json:"seconds"`
	// Cause is why it failed.
	Cause string `json:"cause"`
}

//go:embed regressions.jsonc
var _regressions []byte

func readRegressions() ([]regression, error) {
	data, err := hujson.Standardize(_regressions)
	if err != nil {
		return nil, errors.Wrap(err, "parse regressions")
	}
	var list []regression
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrap(err, "decode regressions")
	}
	return list, nil
}

// regressions plays the seeds that failed in the past, each with the length at which
// it failed.
func (s *session) regressions(ctx context.Context) error {
	list, err := readRegressions()
	if err != nil {
		return err
	}
	var broken error
	for _, r := range list {
		s.length = time.Duration(r.Seconds) * time.Second
		_, _ = fmt.Fprintf(s.out, "seed %d: %s\n", r.Seed, r.Cause)
		if err := s.playSeeds(ctx, []uint64{r.Seed}); err != nil {
			broken = err
		}
	}
	return broken
}
