package main

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/wigeonlock/wigeonlock/soak/check"
	"github.com/wigeonlock/wigeonlock/soak/play"
	"github.com/wigeonlock/wigeonlock/soak/variant"
)

// _variantAttempts is how often a variant is played before it counts as missed.
const _variantAttempts = 3

// errMissed is returned when a variant was not caught.
var errMissed = errors.New("a broken variant was not caught")

// variants plays each broken variant whose name contains text until the violation of
// its invariant is detected.
func (s *session) variants(ctx context.Context, text string) error {
	list := slices.DeleteFunc(variant.All(), func(v variant.Variant) bool { return !strings.Contains(v.Name, text) })
	caught := make([]bool, len(list))
	subnets := s.subnets()
	group := pool.New().WithMaxGoroutines(s.jobs).WithErrors()
	for i, v := range list {
		group.Go(func() error {
			subnet := <-subnets
			defer func() { subnets <- subnet }()
			var err error
			caught[i], err = s.variant(ctx, v, i, subnet)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if slices.Contains(caught, false) {
		return errMissed
	}
	_, _ = fmt.Fprintf(s.out, "%d broken variants, all caught\n", len(list))
	return nil
}

// variant builds a variant, plays it up to _variantAttempts times and reports whether
// the violation of its invariant was detected.
func (s *session) variant(ctx context.Context, v variant.Variant, number, subnet int) (caught bool, err error) {
	tree := filepath.Join(s.dir, fmt.Sprintf("tree-%d", number))
	if err = copyTree(tree); err != nil {
		return false, err
	}
	if err = v.Apply(tree); err != nil {
		return false, err
	}
	binary, err := build(ctx, tree, filepath.Join(s.dir, fmt.Sprintf("wigeonlock-%d", number)))
	if err != nil {
		return false, errors.Wrap(err, v.Name)
	}
	for attempt := range _variantAttempts {
		dir := filepath.Join(s.dir, fmt.Sprintf("variant-%d-%d", number, attempt))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return false, errors.Wrap(err, "create directory")
		}
		result, err := play.Run(ctx, play.Options{
			Binary: binary, Dir: dir, Seed: uint64(number), Length: s.length, Events: v.Events, Subnet: subnet, StopOn: v.Invariant,
		})
		if err != nil {
			return false, errors.Wrap(err, v.Name)
		}
		if at := slices.IndexFunc(result.Violations, func(f check.Violation) bool { return f.Invariant == v.Invariant }); at >= 0 {
			s.mu.Lock()
			_, _ = fmt.Fprintf(s.out, "%s: caught as %s, run %d: %s\n", v.Name, v.Invariant, attempt+1, result.Violations[at].Detail)
			s.mu.Unlock()
			return true, nil
		}
	}
	s.mu.Lock()
	_, _ = fmt.Fprintf(s.out, "%s: not caught as %s\n", v.Name, v.Invariant)
	s.mu.Unlock()
	return false, nil
}

// copyTree copies the sources in the working directory to tree.
func copyTree(tree string) error {
	return filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != "." && (strings.HasPrefix(d.Name(), ".") || d.Name() == "journal" || d.Name() == "target") {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(tree, path), 0o700)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(tree, path), data, 0o600)
	})
}
