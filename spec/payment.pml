/*
 * payment: claims of idempotency keys (package payment).
 *
 * Two entry instances make attempts on one key, for caller retries that may
 * come at any time. A claim enters the store by compare-and-swap before the
 * payment is sent. Faults: swaps that are delayed, whose replies are lost, or
 * that never arrive; instances that crash and restart without memory; claims
 * given back after a refusal.
 *
 * Invariant atMostOnce: of all attempts, at most one runs.
 *
 * MUTANT selects one faulty variant; 0 is the protocol.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define N 2         /* instances */
#define ATTEMPTS 4  /* attempts over all instances */
#define NONE 0

/* The store: who has the key, and the version of the record. */
byte owner = NONE;
byte stored = 1;

byte attempts;  /* attempts made so far; an attempt's number is its identity */
byte runs;      /* times that a worker ran the payment */

mtype = { idle, claiming, reading, granted, sent, releasing };

mtype state[N] = idle;
byte attempt[N];
byte copy[N];       /* owner as last read */
byte copyStored[N]; /* version as last read */
byte again[N];      /* attempt whose claim is given back once more */

/* A swap under way, at most two for each instance: a late one may be overtaken. */
bool open[N];
bool late[N];
byte openOwner[N], openStored[N];
byte lateOwner[N], lateStored[N];

inline swap(ownerNext, expected, done) {
	if
	:: stored == expected && stored < 14 -> owner = ownerNext; stored++; done = true
	:: else -> done = false
	fi
}

proctype instance(byte i) {
	bool done;
	do
	/* a caller's request, or its retry */
	:: atomic { state[i] == idle && attempts < ATTEMPTS ->
		attempts++; attempt[i] = attempts; state[i] = reading }

	/* reads the record */
	:: atomic { state[i] == reading ->
		copy[i] = owner; copyStored[i] = stored;
		if
		:: copy[i] == NONE -> state[i] = claiming
		:: copy[i] == attempt[i] -> state[i] = granted
#if MUTANT == 2 /* runs although another attempt has the key */
		:: copy[i] != NONE && copy[i] != attempt[i] -> state[i] = granted
#else
		:: copy[i] != NONE && copy[i] != attempt[i] -> state[i] = idle /* answers the recorded outcome, or unknown */
#endif
		fi }

	/* writes its claim */
	:: atomic { state[i] == claiming && !open[i] ->
		open[i] = true; openOwner[i] = attempt[i]; openStored[i] = copyStored[i];
#if MUTANT == 3 /* sends before the claim is confirmed */
		state[i] = granted
#endif
		}
	:: atomic { open[i] && state[i] == claiming ->
		open[i] = false;
#if MUTANT == 4 /* writes without comparing the version */
		owner = openOwner[i]; stored++; done = true;
#else
		swap(openOwner[i], openStored[i], done);
#endif
		if
		:: done -> state[i] = granted
		:: !done -> state[i] = reading
		:: done -> state[i] = reading /* the reply is lost: read back */
#if MUTANT == 5 /* treats a lost reply as success */
		:: !done -> state[i] = granted
#endif
		fi }
	/* the swap is late: the instance reads and tries again meanwhile */
	:: atomic { open[i] && state[i] == claiming && !late[i] ->
		open[i] = false; late[i] = true; lateOwner[i] = openOwner[i]; lateStored[i] = openStored[i];
		state[i] = reading }
	:: atomic { late[i] -> late[i] = false; swap(lateOwner[i], lateStored[i], done) }
	:: atomic { late[i] -> late[i] = false } /* it never arrives */

	/* sends the payment: the worker runs it, or refuses it */
	:: atomic { state[i] == granted -> state[i] = sent; runs++; assert(runs <= 1) /* atMostOnce */ }
	:: atomic { state[i] == granted -> state[i] = releasing }
#if MUTANT == 7 /* sends once more when the outcome of the first is unknown */
	:: atomic { state[i] == sent -> runs++; assert(runs <= 1) }
#endif
#if MUTANT == 6 /* gives the claim back at its deadline and sends all the same */
	:: atomic { state[i] == granted && owner == attempt[i] -> owner = NONE; stored++ }
#endif
	/* gives the claim back, reading first */
	:: atomic { state[i] == releasing ->
		if
		:: owner == attempt[i] -> owner = NONE; stored++
		:: else
		fi;
		again[i] = attempt[i];
		state[i] = idle }
	/* the same once more, late */
	:: atomic { again[i] != NONE ->
#if MUTANT == 1 /* gives back whatever claim the key has by then */
		owner = NONE; stored++;
#else
		if
		:: owner == again[i] -> owner = NONE; stored++
		:: else
		fi;
#endif
		again[i] = NONE }
#if MUTANT == 8 /* gives the claim back although the payment may have run */
	:: atomic { state[i] == sent -> state[i] = releasing }
#else
	:: atomic { state[i] == sent -> state[i] = idle }
#endif
#if MUTANT == 9 /* a claim expires while its payment may still run */
	:: atomic { owner != NONE -> owner = NONE; stored++ }
#endif

	/* crashes and restarts without memory */
	:: atomic { state[i] != idle -> state[i] = idle; open[i] = false }
	od
}

init {
	atomic {
		run instance(0);
		run instance(1)
	}
}
