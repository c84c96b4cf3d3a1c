// Command soak runs generated fault schedules against real processes of wigeonlock
// and evaluates invariants on what callers, workers and the operator observed.
//
// # Usage
//
//	go run ./soak --seeds 50
//	go run ./soak --seed 7 --shrink
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/wigeonlock/wigeonlock/explain"
	"github.com/wigeonlock/wigeonlock/soak/fault"
	"github.com/wigeonlock/wigeonlock/soak/play"
)

const (
	// _length is the default length of a schedule.
	_length = 16 * time.Second
	// _shrinkAttempts is how often a schedule is run before it counts as passing.
	_shrinkAttempts = 2
)

// errBroken is returned when an invariant was violated or a seed was not played.
var errBroken = errors.New("an invariant was violated or a seed was not played")

func main() {
	os.Exit(run())
}

// run runs the command line and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:  "soak",
		Usage: "run fault schedules against real processes and evaluate invariants",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "play only this `SEED`"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to play"},
			&cli.Uint64Flag{Name: "from", Usage: "first seed; 0 derives it from the time"},
			&cli.IntFlag{Name: "jobs", Value: 2, Usage: "number of schedules played concurrently"},
			&cli.DurationFlag{Name: "length", Value: _length, Usage: "length of a schedule"},
			&cli.StringFlag{Name: "binary", Usage: "program under test; built if empty"},
			&cli.StringFlag{Name: "keep", Usage: "`DIR` to which settings and logs of failed runs are copied"},
			&cli.BoolFlag{Name: "shrink", Usage: "shrink the schedule of the seed to the events that are needed to fail"},
			&cli.BoolFlag{Name: "regressions", Usage: "play the seeds that failed in the past"},
			&cli.BoolFlag{Name: "variants", Usage: "play the broken variants of the program, each of which must be caught"},
			&cli.StringFlag{Name: "variant", Usage: "play the broken variants whose `NAME` contains this text"},
		},
		Action: soak,
	}
	if err := command.Run(ctx, os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "soak: "+err.Error())
		return 1
	}
	return 0
}

// soak runs the mode that the flags select.
func soak(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &session{
		dir: dir, keepDir: c.String("keep"), length: c.Duration("length"), jobs: c.Int("jobs"), out: os.Stdout,
	}
	if c.Bool("variants") || c.IsSet("variant") {
		return s.variants(ctx, c.String("variant"))
	}
	if s.binary = c.String("binary"); s.binary == "" {
		if s.binary, err = build(ctx, ".", filepath.Join(dir, "wigeonlock")); err != nil {
			return err
		}
	}
	if s.binary, err = filepath.Abs(s.binary); err != nil {
		return err
	}
	switch {
	case c.Bool("regressions"):
		return s.regressions(ctx)
	case c.Bool("shrink"):
		return s.shrink(ctx, c.Uint64("seed"))
	}
	return s.playSeeds(ctx, seedsOf(c))
}

// seedsOf returns the seeds that the flags select.
func seedsOf(c *cli.Command) []uint64 {
	if c.IsSet("seed") {
		return []uint64{c.Uint64("seed")}
	}
	first := c.Uint64("from")
	if first == 0 {
		const spread = 1_000_000
		first = uint64(time.Now().Unix()) % spread
	}
	seeds := make([]uint64, c.Int("seeds"))
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// build builds the program of a source tree and returns target, the path of the
// binary.
func build(ctx context.Context, tree, target string) (string, error) {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", target, "./cmd/wigeonlock")
	cmd.Dir = tree
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return target, nil
}

// shrink plays a seed with fewer and fewer events and prints those that are needed to
// fail.
func (s *session) shrink(ctx context.Context, seed uint64) error {
	events := fault.Draw(seed, s.length, play.Topology())
	fails := func(list []fault.Event) bool {
		for range _shrinkAttempts {
			result, err := s.play(ctx, seed, 0, list)
			if err == nil && len(result.Violations) > 0 {
				return true
			}
		}
		return false
	}
	if !fails(events) {
		return errors.Errorf("seed %d violated no invariant in %d runs", seed, _shrinkAttempts)
	}
	for _, e := range fault.Shrink(events, fails) {
		_, _ = fmt.Fprintln(s.out, e)
	}
	return nil
}

// printViolations prints the violations of a seed and the timeline of the first one's
// request.
func (s *session) printViolations(seed uint64, dir string, result play.Result) {
	for _, v := range result.Violations {
		_, _ = fmt.Fprintf(s.out, "seed %d violated %s: %s %s\n", seed, v.Invariant, v.Request, v.Detail)
	}
	v := result.Violations[0]
	if v.Request == "" {
		return
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return
	}
	timeline, err := explain.Read(v.Request, logs, nil)
	if err == nil {
		err = timeline.Print(s.out)
	}
	if err != nil {
		_, _ = fmt.Fprintf(s.out, "timeline of %s: %s\n", v.Request, err)
	}
}

func seedDir(dir string, seed uint64) string {
	return filepath.Join(dir, "seed-"+strconv.FormatUint(seed, 10))
}
