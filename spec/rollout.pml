/*
 * rollout: accepted lists (package rollout).
 *
 * Two operators edit at the same time; two instances follow the store and each
 * other. Faults: replies of applied edits that are lost, swaps that arrive
 * late, reads that lag, a store that is restored from a backup, instances that
 * restart without memory, and partitions (steps that do not happen).
 *
 * Invariants configForward: the version that an instance has in force never
 * falls while it runs; a version has one content; an edit is reported accepted
 * only if it is in the history.
 *
 * MUTANT selects one faulty variant; 0 is the protocol.
 */
#ifndef MUTANT
#define MUTANT 0
#endif

#define EDITORS 2
#define INSTANCES 2
#define VERSIONS 4

/* The store: the head's version and editor, and the store's own version of the key. */
byte version = 1;
byte content[VERSIONS + 2]; /* editor of each version; zero is none */
byte stored = 1;
byte backup = 1; /* version in the backup */
bool restored;

/* Editors. */
mtype = { idle, read, swapping, unsure };
mtype editor[EDITORS] = idle;
byte base[EDITORS];
byte baseStored[EDITORS];
bool accepted[EDITORS];
byte acceptedAs[EDITORS];
bool late[EDITORS];

/* Instances. */
byte force[INSTANCES];
byte contentOf[INSTANCES];

inline tryHead(e, done) {
#if MUTANT == 1 /* writes the head without comparing the store's version */
	done = (version < VERSIONS);
#else
	done = (stored == baseStored[e] && version < VERSIONS);
#endif
	if
	:: done -> version = base[e] + 1; content[version] = e + 1; stored++
	:: else
	fi
}

proctype operator(byte e) {
	bool done;
	do
	:: atomic { editor[e] == idle && !accepted[e] && base[e] == 0 ->
		base[e] = version; baseStored[e] = stored; editor[e] = swapping }
	:: atomic { editor[e] == swapping ->
		tryHead(e, done);
		if
		:: done -> accepted[e] = true; acceptedAs[e] = base[e] + 1; editor[e] = idle
		:: done -> editor[e] = unsure /* the reply is lost */
		:: !done -> editor[e] = idle  /* told of the conflict */
#if MUTANT == 2 /* reports an edit accepted without knowing */
		:: !done -> accepted[e] = true; acceptedAs[e] = base[e] + 1; editor[e] = idle
#endif
		fi }
	/* the swap is late, and may arrive after others */
	:: atomic { editor[e] == swapping && !late[e] -> late[e] = true; editor[e] = unsure }
	:: atomic { late[e] -> late[e] = false; tryHead(e, done) }
	/* reads the head back and looks for its own edit in the history */
	:: atomic { editor[e] == unsure ->
		if
		:: version > base[e] && content[base[e] + 1] == e + 1 ->
			accepted[e] = true; acceptedAs[e] = base[e] + 1; editor[e] = idle
		:: version > base[e] && content[base[e] + 1] != e + 1 -> editor[e] = idle
		:: version <= base[e] -> editor[e] = swapping /* the same swap again */
		fi }
	od
}

inline take(i, v, c) {
#if MUTANT == 3 /* takes any version that differs */
	if
	:: v != force[i] && v > 0 -> assert(v > force[i]); force[i] = v; contentOf[i] = c
#else
	if
	:: v > force[i] -> force[i] = v; contentOf[i] = c
#endif
	:: else -> assert(v != force[i] || v == 0 || c == contentOf[i]) /* a version has one content */
	fi
}

proctype instance(byte i) {
	byte other = 1 - i;
	do
	/* reads the head, now or as it was a version ago */
	:: atomic { take(i, version, content[version]) }
	:: atomic { version > 1 && !restored -> take(i, (version - 1), content[version - 1]) }
	/* hears a peer */
	:: atomic { force[other] > 0 -> take(i, force[other], contentOf[other]) }
	/* restarts without memory: unready until it has lists again */
	:: atomic { force[i] > 0 -> force[i] = 0; contentOf[i] = 0 }
	/* writes its lists back when the store was restored to older ones */
	:: atomic { restored && force[i] > version ->
		version = force[i]; content[version] = contentOf[i]; stored++; restored = false }
	od
}

proctype platform() {
	/* A backup is restored at most once, to the version before, and while no
	   edit is under way; the lists are written back before the next edit. */
	do
	:: atomic { !restored && backup == 1 && version > 1 && editor[0] == idle && editor[1] == idle &&
		!late[0] && !late[1] && (force[0] == version || force[1] == version) && (base[0] != 0 && base[1] != 0) ->
		backup = 0; version--; stored++; restored = true }
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

/* An edit that was reported accepted is the content of its version. */
#define kept0 (!accepted[0] || content[acceptedAs[0]] == 1)
#define kept1 (!accepted[1] || content[acceptedAs[1]] == 2)
active proctype watch() {
	do
	:: atomic { !kept0 || !kept1 -> assert(false) }
	od
}
