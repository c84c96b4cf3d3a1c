package quota

// Meter counts the slots in use of each key against a limit given at the
// time. Its zero value is ready for use.
type Meter[K comparable] struct {
	used map[K]int
}

// Admit takes a slot of a key if fewer than limit are in use.
func (m *Meter[K]) Admit(key K, limit int) bool {
	if m.used == nil {
		m.used = make(map[K]int)
	}
	if m.used[key] >= limit {
		return false
	}
	m.used[key]++
	return true
}

// Release frees a slot of a key.
func (m *Meter[K]) Release(key K) {
	if m.used[key] <= 1 {
		delete(m.used, key)
		return
	}
	m.used[key]--
}

// Used returns the slots in use of a key.
func (m *Meter[K]) Used(key K) int {
	return m.used[key]
}

// _baseShare is the part of a cap that idle holders keep, so that a shift can
// begin at once; the rest goes where it is needed.
const _baseShare = 4

// Base returns the share that the idle holder with the given rank keeps.
func Base(limit, members, rank int) int {
	return Split(limit/_baseShare, members, rank)
}

// Split returns the part of a limit that the member with the given rank may
// use. The parts of all members add up to the limit.
func Split(limit, members, rank int) int {
	if members <= 0 || rank < 0 || rank >= members {
		return 0
	}
	part := limit / members
	if rank < limit%members {
		part++
	}
	return part
}
