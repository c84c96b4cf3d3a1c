/*
 * quota: shares of a plan's shift cap among holders (package quota).
 *
 * Events of the environment and of the holders interleave freely. Faults:
 * swaps that are delayed or lost, or whose replies are lost; holders that
 * pause, lose their lease, crash and restart without memory; caps that are
 * lowered and raised; holders that receive a version of the lists late or not
 * at all.
 *
 * Invariants. shiftCap: the slots in use never exceed the largest cap that may
 * still be active. A replaced cap is no longer active once every holder has the
 * newest version or has no valid confirmation, and the requests admitted before
 * have ended. newCap: while all holders have the newest version, no request is
 * admitted beyond its cap, even if requests from before are still open.
 *
 * MUTANT selects a faulty variant of the protocol; 0 selects the protocol itself.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define HOLDERS 2
#define VERSIONS 3 /* versions of the lists */
#ifndef WRITES
#define WRITES 3 /* writes of the record */
#endif
#ifndef FAULTS
#define FAULTS 1 /* lost or delayed replies and pauses, in total */
#endif
#ifndef HIGH
#define HIGH 2 /* cap of the first and the third version */
#define LOW 1 /* cap of the second version */
#endif

byte caps[VERSIONS + 1];
byte newest = 1; /* newest accepted version */
byte maxActiveCap; /* largest cap that may still be active */

/* The record in the store. */
byte storedVersion = 1;
byte storedCap;
byte storedSlots[HOLDERS];
byte storedDraining[HOLDERS];
byte storeVersion = 1;

byte faults;

/* The state of a holder. */
byte configured[HOLDERS]; /* configured version of the lists */
bool confirmed[HOLDERS]; /* its lists were recently confirmed to be the newest */
bool sessionValid[HOLDERS]; /* the holder considers its session valid */
bool lease[HOLDERS]; /* its lease exists in the store */
bool recordKnown[HOLDERS]; /* its copy of the record is usable */
byte knownVersion[HOLDERS];
byte knownCap[HOLDERS];
byte knownSlots[HOLDERS * HOLDERS]; /* copy of the record by holder */
byte knownDraining[HOLDERS * HOLDERS];
byte knownStoreVersion[HOLDERS];
bool fenced[HOLDERS];
byte fenceSlots[HOLDERS];
byte fenceExpected[HOLDERS];

/* The swap in flight, at most one per holder. */
bool inFlight[HOLDERS];
bool processed[HOLDERS];
bool applied[HOLDERS];
bool awaitingReply[HOLDERS];
byte proposedVersion[HOLDERS];
byte proposedCap[HOLDERS];
byte proposedSlots[HOLDERS * HOLDERS];
byte proposedDraining[HOLDERS * HOLDERS];
byte proposedExpected[HOLDERS];

byte inUse[HOLDERS]; /* open requests admitted by the holder */
byte oldInUse[HOLDERS]; /* open requests admitted under an older version than the newest */

#define KNOWN(h, i) knownSlots[(h) * HOLDERS + (i)]
#define KNOWN_DRAINING(h, i) knownDraining[(h) * HOLDERS + (i)]
#define PROPOSED(h, i) proposedSlots[(h) * HOLDERS + (i)]
#define PROPOSED_DRAINING(h, i) proposedDraining[(h) * HOLDERS + (i)]

#define occupied(h) (KNOWN(h, 0) + KNOWN_DRAINING(h, 0) + KNOWN(h, 1) + KNOWN_DRAINING(h, 1))
#define totalInUse (inUse[0] + inUse[1])

#if MUTANT == 1 /* ignores the fence of a swap that may still be applied */
#define usable(h) KNOWN(h, h)
#else
#define usable(h) ((fenced[h] && fenceSlots[h] < KNOWN(h, h)) -> fenceSlots[h] : KNOWN(h, h))
#endif

#if MUTANT == 2 /* admits while slots of the lowered cap are still draining */
#define fitsCap(h) true
#else
#define fitsCap(h) (occupied(h) <= knownCap[h])
#endif

#if MUTANT == 3 /* admits without a confirmation of its lists */
#define listsConfirmed(h) true
#else
#define listsConfirmed(h) confirmed[h]
#endif

#if MUTANT == 4 /* uses the session after it has expired */
#define inSession(h) true
#else
#define inSession(h) sessionValid[h]
#endif

#if MUTANT == 5 /* admits under a record of another version of the lists */
#define sameVersion(h) true
#else
#define sameVersion(h) (knownVersion[h] == configured[h])
#endif

#define mayAdmit(h) (listsConfirmed(h) && inSession(h) && recordKnown[h] && \
	sameVersion(h) && fitsCap(h) && inUse[h] < usable(h))

inline copyRecord(h) {
	knownVersion[h] = storedVersion;
	knownCap[h] = storedCap;
	KNOWN(h, 0) = storedSlots[0]; KNOWN(h, 1) = storedSlots[1];
	KNOWN_DRAINING(h, 0) = storedDraining[0]; KNOWN_DRAINING(h, 1) = storedDraining[1];
	knownStoreVersion[h] = storeVersion;
	recordKnown[h] = true;
	if
	:: fenced[h] && storeVersion > fenceExpected[h] -> fenced[h] = false
	:: else
	fi
}

inline copyToProposal(h) {
	proposedVersion[h] = knownVersion[h];
	proposedCap[h] = knownCap[h];
	PROPOSED(h, 0) = KNOWN(h, 0); PROPOSED(h, 1) = KNOWN(h, 1);
	PROPOSED_DRAINING(h, 0) = KNOWN_DRAINING(h, 0); PROPOSED_DRAINING(h, 1) = KNOWN_DRAINING(h, 1);
	proposedExpected[h] = knownStoreVersion[h]
}

inline startSwap(h) {
	inFlight[h] = true;
	processed[h] = false;
	awaitingReply[h] = true;
	if
	:: fenced[h] -> fenceSlots[h] = (PROPOSED(h, h) < fenceSlots[h] -> PROPOSED(h, h) : fenceSlots[h])
	:: else -> fenced[h] = true; fenceSlots[h] = PROPOSED(h, h)
	fi;
	fenceExpected[h] = knownStoreVersion[h]
}

#define canPropose(h) (sessionValid[h] && recordKnown[h] && !awaitingReply[h] && \
	!inFlight[h] && knownVersion[h] <= configured[h])

/* Shrinks the share of a holder to a lower cap. The difference may still be
   occupied and becomes draining. */
inline shrinkShare(h, i) {
#if MUTANT == 6 /* does not record the difference as draining */
	PROPOSED(h, i) = PROPOSED(h, i) * proposedCap[h] / knownCap[h]
#else
	PROPOSED_DRAINING(h, i) = PROPOSED_DRAINING(h, i) + PROPOSED(h, i) - PROPOSED(h, i) * proposedCap[h] / knownCap[h];
	PROPOSED(h, i) = PROPOSED(h, i) * proposedCap[h] / knownCap[h]
#endif
}

proctype holder(byte h) {
	byte other = 1 - h;
	do
	/* receives the newest lists, possibly having missed a version */
	:: atomic { configured[h] < newest && sessionValid[h] -> configured[h] = newest;
		confirmed[h] = true; recordKnown[h] = false }
	:: atomic { configured[h] == newest && !confirmed[h] -> confirmed[h] = true }
#if MUTANT == 7 /* installs an older version of the lists */
	:: atomic { configured[h] > 1 -> configured[h] = configured[h] - 1; confirmed[h] = true;
		recordKnown[h] = false }
#endif

	/* admits and ends requests */
	:: atomic { mayAdmit(h) && inUse[h] < 2 -> inUse[h]++;
		if
		:: configured[h] < newest -> oldInUse[h]++
		:: else
		fi;
		assert(totalInUse <= maxActiveCap); /* shiftCap */
		assert(configured[h] != newest || configured[other] != newest || totalInUse <= caps[newest]) /* newCap */ }
	:: atomic { inUse[h] > oldInUse[h] -> inUse[h]-- }
	:: atomic { oldInUse[h] > 0 -> oldInUse[h]--; inUse[h]-- }

	/* reads the record */
	:: atomic { sessionValid[h] && !awaitingReply[h] &&
		(!recordKnown[h] || storeVersion > knownStoreVersion[h]) -> copyRecord(h) }

	/* raises its share */
	:: atomic { canPropose(h) && knownVersion[h] == configured[h] && occupied(h) < knownCap[h] ->
		copyToProposal(h); PROPOSED(h, h)++; startSwap(h);
#if MUTANT == 8 /* raises before the swap is confirmed */
		KNOWN(h, h)++; fenced[h] = false
#endif
		}
	/* returns an unused slot */
	:: atomic { canPropose(h) && KNOWN(h, h) > inUse[h] -> copyToProposal(h); PROPOSED(h, h)--; startSwap(h);
#if MUTANT == 9 /* continues to use the slot that it returns */
		fenced[h] = false
#endif
		}
	/* rescales the record to the cap of its lists */
	:: atomic { canPropose(h) && knownVersion[h] < configured[h] ->
		copyToProposal(h); proposedVersion[h] = configured[h]; proposedCap[h] = caps[configured[h]];
		if
		:: proposedCap[h] < knownCap[h] -> shrinkShare(h, 0); shrinkShare(h, 1)
		:: else
		fi;
		startSwap(h) }
	/* returns draining slots after requests admitted under a higher cap have ended */
	:: atomic { canPropose(h) && knownVersion[h] == configured[h] && KNOWN_DRAINING(h, h) > 0 &&
		inUse[h] < KNOWN(h, h) + KNOWN_DRAINING(h, h) ->
		copyToProposal(h);
		PROPOSED_DRAINING(h, h) = (inUse[h] > KNOWN(h, h) -> inUse[h] - KNOWN(h, h) : 0);
		startSwap(h) }
	/* reclaims the share of an expired session after its requests have ended */
#if MUTANT == 10 /* reclaims when the lease expires, without waiting for open requests */
	:: atomic { canPropose(h) && !lease[other] && KNOWN(h, other) + KNOWN_DRAINING(h, other) > 0 ->
		copyToProposal(h); PROPOSED(h, other) = 0; PROPOSED_DRAINING(h, other) = 0; startSwap(h) }
#else
	:: atomic { canPropose(h) && !lease[other] && inUse[other] == 0 && !sessionValid[other] &&
		KNOWN(h, other) + KNOWN_DRAINING(h, other) > 0 ->
		copyToProposal(h); PROPOSED(h, other) = 0; PROPOSED_DRAINING(h, other) = 0; startSwap(h) }
#endif

	/* the swap reaches the store */
	:: atomic { inFlight[h] && !processed[h] ->
		processed[h] = true;
		if
		:: proposedExpected[h] == storeVersion && storeVersion <= WRITES ->
			storedVersion = proposedVersion[h]; storedCap = proposedCap[h];
			storedSlots[0] = PROPOSED(h, 0); storedSlots[1] = PROPOSED(h, 1);
			storedDraining[0] = PROPOSED_DRAINING(h, 0); storedDraining[1] = PROPOSED_DRAINING(h, 1);
			storeVersion++;
			applied[h] = true
		:: else -> applied[h] = false
		fi }
	/* the reply reaches the holder */
	:: atomic { processed[h] && awaitingReply[h] ->
		awaitingReply[h] = false; inFlight[h] = false; processed[h] = false;
		if
		:: applied[h] ->
			knownVersion[h] = proposedVersion[h]; knownCap[h] = proposedCap[h];
			KNOWN(h, 0) = PROPOSED(h, 0); KNOWN(h, 1) = PROPOSED(h, 1);
			KNOWN_DRAINING(h, 0) = PROPOSED_DRAINING(h, 0); KNOWN_DRAINING(h, 1) = PROPOSED_DRAINING(h, 1);
			knownStoreVersion[h] = proposedExpected[h] + 1;
			fenced[h] = false
		:: else
		fi }
	/* the reply is lost or delayed: the swap may still reach the store */
	:: atomic { awaitingReply[h] && faults < FAULTS -> faults++; awaitingReply[h] = false;
#if MUTANT == 11 /* treats a lost reply as success */
		KNOWN(h, h) = PROPOSED(h, h); fenced[h] = false
#elif MUTANT == 12 /* treats a lost reply as a swap that cannot be applied later */
		fenced[h] = false
#endif
		}
	:: atomic { inFlight[h] && !awaitingReply[h] && processed[h] -> inFlight[h] = false;
		processed[h] = false }
	/* the swap is lost */
	:: atomic { inFlight[h] && !awaitingReply[h] && !processed[h] -> inFlight[h] = false }

	/* pauses: the session is not valid until it recovers, or its lease expires */
	:: atomic { sessionValid[h] && faults < FAULTS -> faults++; sessionValid[h] = false;
		awaitingReply[h] = false }
	:: atomic { !sessionValid[h] && lease[h] -> sessionValid[h] = true }
	:: atomic { !sessionValid[h] && lease[h] -> lease[h] = false }
	/* restarts without memory in a new session, after its share was reclaimed */
	:: atomic { !lease[h] && !sessionValid[h] && !inFlight[h] && inUse[h] == 0 &&
		storedSlots[h] + storedDraining[h] == 0 ->
		lease[h] = true; sessionValid[h] = true; recordKnown[h] = false; fenced[h] = false;
		configured[h] = newest; confirmed[h] = true }
	od
}

proctype operators() {
	do
	/* an edit is accepted */
	:: atomic { newest < VERSIONS ->
		newest++;
		oldInUse[0] = inUse[0]; oldInUse[1] = inUse[1];
		if
		:: caps[newest] > maxActiveCap -> maxActiveCap = caps[newest]
		:: else
		fi }
	/* the confirmation of a holder without the newest version expires */
	:: atomic { configured[0] < newest && confirmed[0] -> confirmed[0] = false }
	:: atomic { configured[1] < newest && confirmed[1] -> confirmed[1] = false }
	/* the replaced caps are no longer active */
	:: atomic { maxActiveCap > caps[newest] && oldInUse[0] + oldInUse[1] == 0 &&
		(configured[0] == newest || !confirmed[0]) && (configured[1] == newest || !confirmed[1]) ->
		maxActiveCap = caps[newest];
		assert(totalInUse <= maxActiveCap) /* shiftCap */ }
	od
}

init {
	atomic {
		caps[1] = HIGH; caps[2] = LOW; caps[3] = HIGH;
		storedCap = HIGH;
		maxActiveCap = HIGH;
		storedSlots[0] = HIGH / 2; storedSlots[1] = HIGH / 2;
		configured[0] = 1; configured[1] = 1;
		confirmed[0] = true; confirmed[1] = true;
		sessionValid[0] = true; sessionValid[1] = true;
		lease[0] = true; lease[1] = true;
		run operators();
		run holder(0);
		run holder(1)
	}
}
