/*
 * Map switch in a group whose engines execute delayed orders and do not check fencing numbers: a coordinator that may stop
 * or stall at any point, the agent of the holding rank that takes over, and passes that begin whenever the hold permits.
 * Proves: no pass begins with ranks on different maps, and no rank is armed once the group is released after an abandoned
 * switch.
 * An agent may become silent at any time; orders then bypass it and go to its engine without a fence until the coordinator's
 * time limit. The holding agent takes over after that limit; it completes the switch if all ranks can still be armed.
 */
// search-depth: 200000
// fault: NO_HOLD
// fault: NO_FENCE
// fault: NO_SUPERSEDE
// fault: RELEASES_UNSEEN
// fault: UNDOES_WITHOUT_TIME_LIMIT

#define RANKS 3
#define AIM 2

byte step = 0;
byte held = 0;
byte map[RANKS];
byte prepared[RANKS];
byte armed[RANKS];
byte fence[RANKS];
byte lateArms[RANKS];
bool silent[RANKS];
bool isLateGo = false;
bool isTakenOver = false;

#ifdef UNDOES_WITHOUT_TIME_LIMIT
#define hasTime true
#define canComplete (seen == RANKS)
#else
#define hasTime (!isTakenOver)
#define canComplete (seen > 0 && fit == RANKS)
#endif

inline takeArm(r) {
	if
	:: prepared[r] == 1 && armed[r] == 0 && step < AIM -> armed[r] = 1
	:: else -> skip
	fi
}

inline release() {
	if
	:: held == AIM -> held = 0
	:: else -> skip
	fi
}

/* An agent that answers refuses fenced-off orders; for orders that bypass a silent agent there is only the time limit. */
inline stopIfShutOut(r) {
#ifndef NO_FENCE
	if
	:: !silent[r] && fence[r] > 1 -> goto stopped
	:: silent[r] && !hasTime -> goto stopped
	:: else -> skip
	fi
#else
	skip
#endif
}

/* A pass may begin whenever the group is not held before it; an idle group may begin none for any length of time. */
active proctype Passes() {
	byte r;
end:	do
	:: d_step { step < 4 && held != step + 1 ->
		step++;
		r = 0;
		do
		:: r < RANKS ->
			if
			:: armed[r] == 1 && step == AIM -> map[r] = 1; armed[r] = 0; prepared[r] = 0
			:: else -> skip
			fi;
			r++
		:: else -> break
		od;
		assert(map[0] == map[1] && map[1] == map[2]);
		r = 0
	}
	od
}

/* Unanswered orders may be executed at any later time. */
active proctype LateOrders() {
end:	do
	:: atomic { lateArms[0] > 0 -> lateArms[0]--; takeArm(0) }
	:: atomic { lateArms[1] > 0 -> lateArms[1]--; takeArm(1) }
	:: atomic { lateArms[2] > 0 -> lateArms[2]--; takeArm(2) }
	:: atomic { isLateGo -> isLateGo = false; release() }
	od
}

/* Agents may become silent, and may answer again later. */
active proctype Silence() {
	if
	:: silent[0] = true
	:: silent[1] = true
	:: silent[2] = true
	:: skip
	fi;
	if
	:: silent[0] = false
	:: silent[1] = false
	:: silent[2] = false
	:: silent[1] = true
	:: silent[2] = true
	:: skip
	fi
}

active proctype Coordinator() {
	byte r = 0;
	bool isWhole = true;
	d_step { prepared[0] = 1; prepared[1] = 1; prepared[2] = 1 };
#ifndef NO_HOLD
	atomic {
		stopIfShutOut(1);
		if
		:: step < AIM -> held = AIM
		:: else -> goto stopped
		fi
	};
#endif
	do
	:: r < RANKS ->
		if
		:: atomic { true -> stopIfShutOut(r); takeArm(r); isWhole = isWhole && armed[r] == 1; r++ }
		/* No answer: the order is sent again, or the time limit of this rank is reached. */
		:: atomic { lateArms[r] == 0 -> lateArms[r]++ }
		:: atomic { lateArms[r] == 0 -> lateArms[r]++; isWhole = false; r++ }
		:: goto stopped
		fi
	:: else -> break
	od;
#ifdef RELEASES_UNSEEN
	isWhole = true;
#endif
	if
	:: atomic { isWhole -> stopIfShutOut(1); release() }
	/* No answer to the release: it may be executed late. */
	:: atomic { isWhole -> stopIfShutOut(1); isLateGo = true }
	:: !isWhole -> skip
	fi;
stopped: skip
}

/* The agent of the holding rank: finds the group held at any time and takes over. */
active proctype HoldingAgent() {
	byte r;
	byte seen;
	byte fit;
endWait:	held != 0;
	isTakenOver = true;
again:	r = 0;
	do
	:: r < RANKS ->
		if
		:: atomic { !silent[r] -> fence[r] = 2 }
		:: silent[r] -> skip
		fi;
		r++
	:: else -> break
	od;
	r = 0;
	seen = 0;
	fit = 0;
	do
	:: r < RANKS -> seen = seen + armed[r]; fit = fit + (armed[r] == 1 || prepared[r] == 1); r++
	:: else -> break
	od;
	if
	:: held == 0 -> goto done
	/* The switch can be completed: the rest is armed. */
	:: held != 0 && canComplete ->
		r = 0;
		do
		:: r < RANKS ->
			if
			:: atomic { prepared[r] == 1 && step < AIM -> armed[r] = 1 }
			:: atomic { !(prepared[r] == 1 && step < AIM) -> goto again }
			fi;
			r++
		:: else -> break
		od
	:: held != 0 && !canComplete ->
		r = 0;
		do
		:: r < RANKS ->
			armed[r] = 0;
#ifndef NO_SUPERSEDE
			/* A rank that has been armed again refuses to prepare the replacement. */
			if
			:: atomic { armed[r] == 0 -> prepared[r] = 2 }
			:: armed[r] == 1 -> goto again
			fi;
#endif
			r++
		:: else -> break
		od
	fi;
	atomic { release() };
done:	skip
}
