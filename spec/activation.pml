/*
 * Activation of an expert map in a group of 3 ranks by 2 coordinators. Coordinator 0 holds the first lease and, isolated,
 * may continue as a stale coordinator after coordinator 1 has acquired the next one. One rank may restart once; orders may
 * be delayed.
 * Proves: all ranks that take part in a step use the same map, and an aborted map is never used.
 */
// search-depth: 2000000
// fault: FENCING_IGNORED
// fault: DECIDE_WITHOUT_POLL
// fault: ARMED_STEPS_ON
// fault: ABORT_THOUGH_ACTIVE

#define RANKS 3
#define STEPS 3

/* Map 0 is in force initially; coordinator c plans map c + 1. */
#define NONE 9

byte fencing[RANKS];      /* highest fencing number seen */
byte pending[RANKS];      /* prepared map, or NONE */
byte armedAt[RANKS];      /* step the rank does not begin before the decision, or NONE */
byte version[RANKS];      /* newest activated map */
byte fromStep[RANKS];     /* first step that uses it */
byte previous[RANKS];     /* map used before that step */
byte begun[RANKS];        /* number of steps begun */
bool member[RANKS];       /* false after a restart, when the rank belongs to no formation */
byte closed[RANKS];       /* highest aborted map */
byte used[STEPS];         /* map used in each step, or NONE */
bool aborted[3];
byte newestLease = 1;
bool restarted = false;

inline checkStep(r) {
	d_step {
		byte_used = (begun[r] >= fromStep[r] -> version[r] : previous[r]);
		assert(used[begun[r]] == NONE || used[begun[r]] == byte_used);
		assert(!aborted[byte_used]);
		used[begun[r]] = byte_used;
		begun[r]++;
		byte_used = 0;
	}
}

/* Whether all ranks have begun at least as many steps as rank r, so that r may begin its next step. */
#define together(r) (member[0] && member[1] && member[2] && begun[0] >= begun[r] && begun[1] >= begun[r] && begun[2] >= begun[r])

#ifdef ARMED_STEPS_ON
#define held(r) false
#else
#define held(r) (armedAt[r] != NONE && begun[r] >= armedAt[r])
#endif

#ifdef FENCING_IGNORED
#define admits(r, f) (member[r])
#else
#define admits(r, f) (member[r] && f >= fencing[r])
#endif

proctype Rank(byte r) {
	byte byte_used = 0;
end:	do
	:: atomic { begun[r] < STEPS && !held(r) && together(r) -> checkStep(r) }
	:: atomic { !restarted && member[r] ->
		restarted = true; member[r] = false; fencing[r] = 0; pending[r] = NONE; armedAt[r] = NONE }
	od
}

inline see(r) { fencing[r] = (f > fencing[r] -> f : fencing[r]) }

/* Each order is delivered to one rank in a separate atomic step; a rank that refuses it does not increment done. */
inline prepare(r) {
	atomic {
		if
		:: admits(r, f) && pending[r] == NONE && m > closed[r] && m > version[r] -> see(r); pending[r] = m; done = done + 1
		:: else -> failed = true
		fi
	}
}

inline arm(r) {
	atomic {
		if
		:: admits(r, f) && pending[r] == m && begun[r] <= at -> see(r); armedAt[r] = at; done = done + 1
		:: else -> failed = true
		fi
	}
}

inline activate(r) {
	atomic {
		if
		:: admits(r, f) && pending[r] == m && armedAt[r] == at ->
			see(r); previous[r] = version[r]; version[r] = m; fromStep[r] = at; pending[r] = NONE; armedAt[r] = NONE
		:: else -> skip
		fi
	}
}

inline abort(r) {
	atomic {
		if
		:: admits(r, f) && version[r] < m -> see(r); closed[r] = m;
			if
			:: pending[r] == m -> pending[r] = NONE; armedAt[r] = NONE
			:: else -> skip
			fi
		:: else -> skip
		fi
	}
}

/* A poll raises the fencing number, so that the rank refuses the previous coordinator. */
inline poll(r) {
	atomic {
		admits(r, f) -> see(r);
		if
		:: version[r] > m -> m = version[r]; at = fromStep[r]
		:: else -> skip
		fi;
		if
		:: pending[r] != NONE -> open = pending[r]
		:: else -> skip
		fi
	}
}

/* The first lease holder: plans map 1. It may stop at any point, or continue after its lease has expired. */
proctype First() {
	byte f = 1;
	byte m = 1;
	byte at = 0;
	byte done = 0;
	bool failed = false;
	prepare(0); prepare(1); prepare(2);
	if
	:: done == RANKS -> skip
	:: else -> goto giveUp
	fi;
	done = 0;
	atomic { at = begun[0] + 1 };
	arm(0); arm(1); arm(2);
	if
	:: done == RANKS ->
		activate(0); activate(1); activate(2);
		goto finished
	:: else -> skip
	fi;
giveUp:
	/* Only the holder of the newest lease knows that its abort reaches all ranks, so only then does the map count as aborted. */
	abort(0); abort(1); abort(2);
	atomic {
		if
		:: newestLease == 1 && member[0] && member[1] && member[2] && version[0] == 0 && version[1] == 0 && version[2] == 0 -> aborted[1] = true
		:: else -> skip
		fi
	}
finished:
	skip
}

/* The next lease holder: polls all ranks, completes the map if any rank has activated it, aborts it if none has, then plans map 2. */
proctype Second() {
	byte f = 2;
	byte m = 0;
	byte at = 0;
	byte open = NONE;
	byte done = 0;
	bool failed = false;
	newestLease = 2;
#ifndef DECIDE_WITHOUT_POLL
	/* A restarted rank belongs to no formation, so the group must be formed again, which this model does not cover. */
endPoll0: poll(0);
endPoll1: poll(1);
endPoll2: poll(2);
#else
endPoll: poll(0);
#endif
	if
#ifdef ABORT_THOUGH_ACTIVE
	:: open != NONE || m == 1 -> m = 1;
#else
	:: m == 1 ->
		activate(0); activate(1); activate(2)
	:: m == 0 && open != NONE -> m = open;
#endif
		abort(0); abort(1); abort(2);
		aborted[1] = true
	:: else -> skip
	fi;
	m = 2;
	prepare(0); prepare(1); prepare(2);
	if
	:: done == RANKS -> skip
	:: else -> goto finished
	fi;
	done = 0;
	/* A rank is not armed until its newest map is in use. */
endInUse: begun[0] > fromStep[0] && begun[1] > fromStep[1] && begun[2] > fromStep[2];
	atomic { at = begun[1] + 1 };
	arm(0); arm(1); arm(2);
	if
	:: done == RANKS -> activate(0); activate(1); activate(2)
	:: else -> skip
	fi;
finished:
	skip
}

init {
	byte r = 0;
	atomic {
		do
		:: r < RANKS -> pending[r] = NONE; armedAt[r] = NONE; member[r] = true; used[r] = NONE; r++
		:: else -> break
		od;
		run Rank(0); run Rank(1); run Rank(2); run First(); run Second();
	}
}
