package store

import "strconv"

// Era counts how often the store was restored from an earlier copy of its data. It is
// zero if the store names none.
type Era uint32

// MaxEra is the highest era that a Revision can hold.
const MaxEra Era = 1<<(64-_numberBits) - 1

// Revision is a position in the changes of the whole store. A restored store reuses
// numbers, so a revision also holds the era in which the number was given out.
// Revisions of a later era are higher.
type Revision uint64

// _numberBits is the number of low bits of a Revision that hold its number; the era is
// in the bits above.
const _numberBits = 40

// RevisionOf returns the revision with a number in an era.
func RevisionOf(era Era, number uint64) Revision {
	return Revision(uint64(min(era, MaxEra))<<_numberBits | number&(1<<_numberBits-1))
}

// Era returns the era in which the revision was given out.
func (r Revision) Era() Era {
	return Era(r >> _numberBits)
}

// Number returns the revision as the store counts it.
func (r Revision) Number() uint64 {
	return uint64(r & (1<<_numberBits - 1))
}

// String formats a revision as its number, after the era if the store names one.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + number
}
