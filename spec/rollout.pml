/*
 * rollout: accepted lists (package rollout).
 *
 * Two operators edit concurrently. Two instances read the lists from the store
 * and from each other. Faults: lost replies of applied edits, delayed swaps,
 * stale reads, a store that is restored from a backup, instances that restart
 * without memory, and partitions (steps that do not occur).
 *
 * Invariants configForward: the active version of an instance never decreases
 * while it runs; a version has one content; an edit is reported as accepted only
 * if it is in the history.
 *
 * MUTANT selects a faulty variant of the protocol; 0 selects the protocol itself.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define EDITORS 2
#define INSTANCES 2
#define VERSIONS 4

/* The store: the version and editor of the head, and the store version of its key. */
byte headVersion = 1;
byte content[VERSIONS + 2]; /* editor of each version; zero means none */
byte storeVersion = 1;
byte backupAvailable = 1; /* 1 until the backup has been restored */
bool restored;

/* Editors. */
mtype = { idle, read, swapping, unknown };
mtype editor[EDITORS] = idle;
byte base[EDITORS];
byte baseStoreVersion[EDITORS];
bool accepted[EDITORS];
byte acceptedVersion[EDITORS];
bool delayed[EDITORS];

/* Instances. */
byte activeVersion[INSTANCES];
byte activeContent[INSTANCES];

inline swapHead(e, applied) {
#if MUTANT == 1 /* writes the head without comparing the store's version */
	applied = (headVersion < VERSIONS);
#else
	applied = (storeVersion == baseStoreVersion[e] && headVersion < VERSIONS);
#endif
	if
	:: applied -> headVersion = base[e] + 1; content[headVersion] = e + 1; storeVersion++
	:: else
	fi
}

proctype operator(byte e) {
	bool applied;
	do
	:: atomic { editor[e] == idle && !accepted[e] && base[e] == 0 ->
		base[e] = headVersion; baseStoreVersion[e] = storeVersion; editor[e] = swapping }
	:: atomic { editor[e] == swapping ->
		swapHead(e, applied);
		if
		:: applied -> accepted[e] = true; acceptedVersion[e] = base[e] + 1; editor[e] = idle
		:: applied -> editor[e] = unknown /* the reply is lost */
		:: !applied -> editor[e] = idle  /* the conflict is reported */
#if MUTANT == 2 /* reports an edit as accepted after a failed swap */
		:: !applied -> accepted[e] = true; acceptedVersion[e] = base[e] + 1; editor[e] = idle
#endif
		fi }
	/* the swap is delayed, and may arrive after others */
	:: atomic { editor[e] == swapping && !delayed[e] -> delayed[e] = true; editor[e] = unknown }
	:: atomic { delayed[e] -> delayed[e] = false; swapHead(e, applied) }
	/* reads the head back and looks for its own edit in the history */
	:: atomic { editor[e] == unknown ->
		if
		:: headVersion > base[e] && content[base[e] + 1] == e + 1 ->
			accepted[e] = true; acceptedVersion[e] = base[e] + 1; editor[e] = idle
		:: headVersion > base[e] && content[base[e] + 1] != e + 1 -> editor[e] = idle
		:: headVersion <= base[e] -> editor[e] = swapping /* retries the same swap */
		fi }
	od
}

inline install(i, v, c) {
#if MUTANT == 3 /* installs any version that differs */
	if
	:: v != activeVersion[i] && v > 0 -> assert(v > activeVersion[i]); activeVersion[i] = v;
		activeContent[i] = c
#else
	if
	:: v > activeVersion[i] -> activeVersion[i] = v; activeContent[i] = c
#endif
	/* a version has one content */
	:: else -> assert(v != activeVersion[i] || v == 0 || c == activeContent[i])
	fi
}

proctype instance(byte i) {
	byte other = 1 - i;
	do
	/* reads the current head, or the previous one in a stale read */
	:: atomic { install(i, headVersion, content[headVersion]) }
	:: atomic { headVersion > 1 && !restored -> install(i, (headVersion - 1), content[headVersion - 1]) }
	/* receives lists from a peer */
	:: atomic { activeVersion[other] > 0 -> install(i, activeVersion[other], activeContent[other]) }
	/* restarts without memory: not ready until it has lists again */
	:: atomic { activeVersion[i] > 0 -> activeVersion[i] = 0; activeContent[i] = 0 }
	/* writes its lists back after the store was restored to older ones */
	:: atomic { restored && activeVersion[i] > headVersion ->
		headVersion = activeVersion[i]; content[headVersion] = activeContent[i]; storeVersion++;
		restored = false }
	od
}

proctype platform() {
	/* A backup of the previous version is restored at most once, while no edit
	   is in progress. The lists are written back before the next edit. */
	do
	:: atomic { !restored && backupAvailable == 1 && headVersion > 1 &&
		editor[0] == idle && editor[1] == idle && !delayed[0] && !delayed[1] &&
		(activeVersion[0] == headVersion || activeVersion[1] == headVersion) &&
		(base[0] != 0 && base[1] != 0) ->
		backupAvailable = 0; headVersion--; storeVersion++; restored = true }
	od
}

init {
	atomic {
		content[1] = 9;
		run operator(0); run operator(1);
		run instance(0); run instance(1);
		run platform()
	}
}

/* An edit reported as accepted is the content of its version. */
#define preserved0 (!accepted[0] || content[acceptedVersion[0]] == 1)
#define preserved1 (!accepted[1] || content[acceptedVersion[1]] == 2)
active proctype monitor() {
	do
	:: atomic { !preserved0 || !preserved1 -> assert(false) }
	od
}
