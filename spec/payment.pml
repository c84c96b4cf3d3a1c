/*
 * payment: claims of idempotency keys (package payment).
 *
 * Two entry instances make attempts on one key, because callers may retry at
 * any time. Before a payment is sent, its claim is written to the store by
 * compare-and-swap. Faults: swaps that are delayed or lost, or whose replies are
 * lost; instances that crash and restart without memory; claims released after
 * a refusal.
 *
 * Invariant atMostOnce: of all attempts, at most one runs the payment.
 *
 * MUTANT selects a faulty variant of the protocol; 0 selects the protocol itself.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define INSTANCES 2
#define ATTEMPTS 4 /* attempts over all instances */
#define NONE 0

/* The store: the attempt that holds the key, and the version of the record. */
byte owner = NONE;
byte version = 1;

byte attempts; /* attempts made so far; the number of an attempt identifies it */
byte runs; /* number of times that a worker ran the payment */

mtype = { idle, claiming, reading, granted, sent, releasing };

mtype state[INSTANCES] = idle;
byte attempt[INSTANCES];
byte readOwner[INSTANCES]; /* owner at the last read */
byte readVersion[INSTANCES]; /* version at the last read */
byte releaseAgain[INSTANCES]; /* attempt whose claim is released a second time */

/* Swaps in flight, at most two per instance: the current one and one that is
   delayed and may arrive after it. */
bool inFlight[INSTANCES];
bool delayed[INSTANCES];
byte swapOwner[INSTANCES], swapExpected[INSTANCES];
byte delayedOwner[INSTANCES], delayedExpected[INSTANCES];

inline swap(newOwner, expected, applied) {
	if
	:: version == expected && version < 14 -> owner = newOwner; version++; applied = true
	:: else -> applied = false
	fi
}

proctype instance(byte i) {
	bool applied;
	do
	/* receives a caller's request or its retry */
	:: atomic { state[i] == idle && attempts < ATTEMPTS ->
		attempts++; attempt[i] = attempts; state[i] = reading }

	/* reads the record */
	:: atomic { state[i] == reading ->
		readOwner[i] = owner; readVersion[i] = version;
		if
		:: readOwner[i] == NONE -> state[i] = claiming
		:: readOwner[i] == attempt[i] -> state[i] = granted
#if MUTANT == 2 /* sends although another attempt holds the key */
		:: readOwner[i] != NONE && readOwner[i] != attempt[i] -> state[i] = granted
#else
		/* answers with the recorded outcome, or that it is unknown */
		:: readOwner[i] != NONE && readOwner[i] != attempt[i] -> state[i] = idle
#endif
		fi }

	/* writes its claim */
	:: atomic { state[i] == claiming && !inFlight[i] ->
		inFlight[i] = true; swapOwner[i] = attempt[i]; swapExpected[i] = readVersion[i];
#if MUTANT == 3 /* sends before the claim is confirmed */
		state[i] = granted
#endif
		}
	:: atomic { inFlight[i] && state[i] == claiming ->
		inFlight[i] = false;
#if MUTANT == 4 /* writes without comparing the version */
		owner = swapOwner[i]; version++; applied = true;
#else
		swap(swapOwner[i], swapExpected[i], applied);
#endif
		if
		:: applied -> state[i] = granted
		:: !applied -> state[i] = reading
		:: applied -> state[i] = reading /* the reply is lost: reads the record back */
#if MUTANT == 5 /* treats a lost reply as success */
		:: !applied -> state[i] = granted
#endif
		fi }
	/* the swap is delayed: the instance reads the record and retries */
	:: atomic { inFlight[i] && state[i] == claiming && !delayed[i] ->
		inFlight[i] = false; delayed[i] = true; delayedOwner[i] = swapOwner[i];
		delayedExpected[i] = swapExpected[i];
		state[i] = reading }
	:: atomic { delayed[i] -> delayed[i] = false; swap(delayedOwner[i], delayedExpected[i], applied) }
	:: atomic { delayed[i] -> delayed[i] = false } /* the delayed swap is lost */

	/* sends the payment: the worker runs or refuses it */
	:: atomic { state[i] == granted -> state[i] = sent; runs++; assert(runs <= 1) /* atMostOnce */ }
	:: atomic { state[i] == granted -> state[i] = releasing }
#if MUTANT == 7 /* retries although the outcome of the first attempt is unknown */
	:: atomic { state[i] == sent -> runs++; assert(runs <= 1) }
#endif
#if MUTANT == 6 /* releases the claim at its deadline and still sends the payment */
	:: atomic { state[i] == granted && owner == attempt[i] -> owner = NONE; version++ }
#endif
	/* releases the claim, after reading the record */
	:: atomic { state[i] == releasing ->
		if
		:: owner == attempt[i] -> owner = NONE; version++
		:: else
		fi;
		releaseAgain[i] = attempt[i];
		state[i] = idle }
	/* repeats the release later */
	:: atomic { releaseAgain[i] != NONE ->
#if MUTANT == 1 /* releases the claim of any attempt */
		owner = NONE; version++;
#else
		if
		:: owner == releaseAgain[i] -> owner = NONE; version++
		:: else
		fi;
#endif
		releaseAgain[i] = NONE }
#if MUTANT == 8 /* releases the claim although the payment may have run */
	:: atomic { state[i] == sent -> state[i] = releasing }
#else
	:: atomic { state[i] == sent -> state[i] = idle }
#endif
#if MUTANT == 9 /* a claim expires while its payment may still run */
	:: atomic { owner != NONE -> owner = NONE; version++ }
#endif

	/* crashes and restarts without memory */
	:: atomic { state[i] != idle -> state[i] = idle; inFlight[i] = false }
	od
}

init {
	atomic {
		run instance(0);
		run instance(1)
	}
}
