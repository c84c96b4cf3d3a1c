/*
 * permit: who issues the permits of a worker's limit (package permit).
 *
 * Two instances may issue the permits of one worker; by the list of the store the first one
 * does while it is listed. The store turns an instance away or serves it, and removes the key
 * of one that did not renew its lease for LEASE ticks. An instance that is turned away keeps the
 * list that it read last. One that is served reads the list late, by up to DELAY ticks.
 *
 * Time passes in ticks. In a tick the issuer at the full rate issues FULL permits, and one that
 * may have been replaced PART. Times are shorter than in the code and in proportion to it.
 *
 * Invariant limit: within a window of WINDOW ticks no more than ALLOWED permits are issued, one
 * and a half times what the limit allows. Invariant floor: an instance that counts itself
 * as the issuer issues at least PART.
 *
 * MUTANT selects a faulty variant of the protocol; 0 selects the protocol itself.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define INSTANCES 2
#define LEASE 4
#define MARGIN 1
#define DELAY 1
#define TAKEOVER 3
#define WINDOW 4
#define FULL 4
#define PART 1
#define ALLOWED 24 /* 1.5 * WINDOW * FULL */

bool served[INSTANCES]; /* the store takes the calls of the instance */
bool key[INSTANCES]; /* the store lists the instance */
byte age[INSTANCES]; /* ticks since the last renewal, as the store counts */
byte held[INSTANCES]; /* ticks for which the instance counts its lease as held */
byte since[INSTANCES]; /* ticks since it is registered without a gap, up to TAKEOVER */
bool seesFirst[INSTANCES]; /* the list of the instance names the first one */
byte late[INSTANCES]; /* ticks for which its list differs from that of the store */
byte rate[INSTANCES];
byte issued[WINDOW]; /* permits of the last ticks */
byte slot;
byte turns; /* how often the store changed whom it serves */

/* An instance is the issuer by its own list. */
#define issues(i) (i == 0 -> seesFirst[0] : !seesFirst[1])

inline renew(i) {
	if
	:: served[i] -> key[i] = true; age[i] = 0; held[i] = LEASE
	:: !served[i] && age[i] < LEASE -> age[i]++
	:: else
	fi;
	if
	:: !served[i] && held[i] > 0 -> held[i]--
	:: else
	fi;
	if
	:: held[i] == 0 -> since[i] = 0
	:: held[i] > 0 && since[i] < TAKEOVER -> since[i]++
	:: else
	fi;
#if MUTANT == 2 /* the key goes before the instance counts its lease as ended */
	if
	:: age[i] >= LEASE - 2 && !served[i] -> key[i] = false
	:: else
	fi
#else
	if
	:: age[i] >= LEASE -> key[i] = false
	:: else
	fi
#endif
}

/* An instance that is served reads the list, at the latest after DELAY ticks. */
inline read(i) {
	if
	:: served[i] && seesFirst[i] != key[0] ->
		if
		:: late[i] < DELAY -> late[i]++
		:: true -> seesFirst[i] = key[0]; late[i] = 0
		fi
	:: seesFirst[i] == key[0] -> late[i] = 0
	:: else
	fi
}

inline setRate(i) {
	rate[i] = 0;
	if
	:: issues(i) ->
#if MUTANT == 1 /* goes on at the full rate past its lease */
		rate[i] = FULL
#elif MUTANT == 3 /* issues at the full rate as soon as it is registered again */
		rate[i] = (held[i] > MARGIN -> FULL : PART)
#elif MUTANT == 4 /* issues nothing past its lease */
		rate[i] = ((held[i] > MARGIN && since[i] >= TAKEOVER) -> FULL : 0)
#else
		rate[i] = ((held[i] > MARGIN && since[i] >= TAKEOVER) -> FULL : PART)
#endif
	:: else
	fi;
	assert(!issues(i) || rate[i] >= PART) /* floor */
}

active proctype tick() {
	atomic {
		served[0] = true; served[1] = true; key[0] = true; key[1] = true;
		held[0] = LEASE; held[1] = LEASE; since[0] = TAKEOVER; since[1] = TAKEOVER;
		seesFirst[0] = true; seesFirst[1] = true
	};
	do
	:: atomic {
		if
		:: turns < 4 -> turns++; served[0] = !served[0]
		:: turns < 4 -> turns++; served[1] = !served[1]
		:: true
		fi;
		renew(0); renew(1);
		read(0); read(1);
		setRate(0); setRate(1);
		issued[slot] = rate[0] + rate[1];
		slot = (slot + 1) % WINDOW;
		assert(issued[0] + issued[1] + issued[2] + issued[3] <= ALLOWED) /* limit */
	}
	od
}
