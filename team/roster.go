package team

import (
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"strings"
)

const (
	// _secretBytes is the size of the secret in bytes. A usual key together with it takes one
	// block of the hash.
	_secretBytes = 16
	// _stackBytes is the size in bytes up to which a secret and a key are hashed without an
	// allocation.
	_stackBytes = 256
	// _maxWithdrawn limits the withdrawn keys that a roster remembers.
	_maxWithdrawn = 10_000
	// _maxFindings limits the findings of a roster: a faulty list may have one for each key.
	_maxFindings = 20
)

// _secret makes fingerprints useless outside the process.
var _secret = newSecret()

func newSecret() (secret [_secretBytes]byte) {
	// Read never returns an error.
	_, _ = rand.Read(secret[:])
	return secret
}

// fingerprint stands for a key. Nobody can find a key with the fingerprint of another.
type fingerprint [sha256.Size]byte

func fingerprintOf(key string) fingerprint {
	var stack [_stackBytes]byte
	data := append(stack[:0], _secret[:]...)
	data = append(data, key...)
	return sha256.Sum256(data)
}

// Entry is a team as a configuration lists it.
type Entry struct {
	// Place is where the configuration lists it, for findings.
	Place string
	Team  Team
	Keys  []string
	// Problem, if set, is why the team cannot be used. Its keys are then refused.
	Problem string
	// Remarks are problems of parts of the entry, which are left out.
	Remarks []string
}

// Finding is a problem of a list of teams. It contains no key.
type Finding struct {
	Place   string
	Problem string
}

// String returns the finding as place: problem.
func (f Finding) String() string {
	return f.Place + ": " + f.Problem
}

// Error returns the finding as an error message.
func (f Finding) Error() string {
	return f.String()
}

// Roster is all teams of one configuration. It is immutable.
type Roster struct {
	teams    []*Team
	byKey    map[fingerprint]*Team
	findings []Finding
	omitted  int
	// withdrawn are keys that teams held in earlier configurations.
	withdrawn map[fingerprint]*Team
}

// NewRoster builds a roster. What would admit a caller that no single team answers for is left
// out and reported as a finding: an empty key, a key of two teams, and a team without a name or
// with the name of another.
func NewRoster(entries []Entry) *Roster {
	r := &Roster{byKey: make(map[fingerprint]*Team)}
	named := make(map[string]struct{}, len(entries))
	// holders are the entries that list a key, also those that cannot be used.
	holders := make(map[fingerprint]int)
	shared := make(map[fingerprint]struct{})
	for i := range entries {
		e := &entries[i]
		t := &e.Team
		if problem := e.problem(named); problem != "" {
			r.add(e.Place, problem)
			t = nil
		} else {
			named[e.Team.Name] = struct{}{}
			r.teams = append(r.teams, t)
		}
		for _, remark := range e.Remarks {
			r.add(e.Place, remark)
		}
		for n, key := range e.Keys {
			if key == "" {
				r.add(e.Place, fmt.Sprintf("key %d is empty", n))
				continue
			}
			f := fingerprintOf(key)
			if holder, held := holders[f]; held && holder != i {
				r.add(e.Place, fmt.Sprintf("key %d is also one of %s", n, entries[holder].Place))
				shared[f] = struct{}{}
				continue
			}
			holders[f] = i
			if t != nil {
				r.byKey[f] = t
			}
		}
	}
	for f := range shared {
		delete(r.byKey, f)
	}
	return r
}

// problem returns why the team of an entry cannot be used, or an empty string.
func (e *Entry) problem(named map[string]struct{}) string {
	if e.Problem != "" {
		return e.Problem
	}
	if e.Team.Name == "" {
		return "has no name"
	}
	if strings.ContainsFunc(e.Team.Name, func(c rune) bool { return c < ' ' || c == 0x7f }) || strings.TrimSpace(e.Team.Name) != e.Team.Name {
		return "has a name that no header field can hold"
	}
	if _, twice := named[e.Team.Name]; twice {
		return "has the name of another team"
	}
	return ""
}

func (r *Roster) add(place, problem string) {
	if len(r.findings) >= _maxFindings {
		r.omitted++
		return
	}
	r.findings = append(r.findings, Finding{Place: place, Problem: problem})
}

// Find returns the team that holds a key, or nil.
func (r *Roster) Find(key string) *Team {
	if key == "" {
		return nil
	}
	return r.byKey[fingerprintOf(key)]
}

// After returns the roster with knowledge of the keys that are withdrawn since an earlier
// roster, which may be nil. They are not admitted.
func (r *Roster) After(earlier *Roster) *Roster {
	if r == nil || earlier == nil {
		return r
	}
	next := *r
	next.withdrawn = make(map[fingerprint]*Team)
	for _, known := range []map[fingerprint]*Team{earlier.byKey, earlier.withdrawn} {
		for f, t := range known {
			if r.byKey[f] == nil && len(next.withdrawn) < _maxWithdrawn {
				next.withdrawn[f] = t
			}
		}
	}
	return &next
}

// Withdrawn returns the team that held a key in an earlier configuration, or nil.
func (r *Roster) Withdrawn(key string) *Team {
	if len(r.withdrawn) == 0 || key == "" {
		return nil
	}
	return r.withdrawn[fingerprintOf(key)]
}

// Teams returns the teams in the order of the configuration. The caller must not modify them.
// A nil roster has none.
func (r *Roster) Teams() []*Team {
	if r == nil {
		return nil
	}
	return r.teams
}

// Keys returns the number of keys that are admitted.
func (r *Roster) Keys() int {
	if r == nil {
		return 0
	}
	return len(r.byKey)
}

// Findings returns the problems of the list.
func (r *Roster) Findings() []Finding {
	if r == nil {
		return nil
	}
	if r.omitted == 0 {
		return r.findings
	}
	more := Finding{Place: "teams", Problem: fmt.Sprintf("%d more findings", r.omitted)}
	return append(r.findings[:len(r.findings):len(r.findings)], more)
}
