package quota

// Meter counts the slots in use per key. The limit is passed with each
// admission. The zero value is ready for use.
type Meter[K comparable] struct {
	used map[K]int
}

// Admit acquires a slot of a key if fewer than limit are in use, and reports
// whether it did.
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

// Used returns the number of slots of a key in use.
func (m *Meter[K]) Used(key K) int {
	return m.used[key]
}

// _baseDivisor divides a cap to give the part that idle holders keep, so that a
// shift can begin at once. The rest is assigned on demand.
const _baseDivisor = 4

// Base returns the number of slots that an idle holder keeps. rank is its
// position, from 0, among the given number of members.
func Base(limit, members, rank int) int {
	return Split(limit/_baseDivisor, members, rank)
}

// Split returns the part of a limit for the member with the given rank, counted
// from 0. The parts of all members add up to the limit. It returns zero if the
// rank is out of range.
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
