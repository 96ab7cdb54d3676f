/*
 * Switching the expert map of a group whose engines take late orders and check no fencing numbers: a coordinator that may
 * stop or stand still anywhere, the agent of the holding rank that takes over, and passes that begin whenever they may.
 * Proves: no pass begins with ranks on different maps, and no rank is armed once the group is released after a switch
 * that was given up.
 */
// search-depth: 200000
// fault: NO_HOLD
// fault: NO_FENCE
// fault: NO_SUPERSEDE
// fault: RELEASES_UNSEEN

#define RANKS 3
#define AIM 2

byte step = 0;
byte held = 0;
byte map[RANKS];
byte prepared[RANKS];
byte armed[RANKS];
byte fence[RANKS];
byte lateArms[RANKS];
bool isGivenUp = false;

inline takeArm(r) {
	if
	:: prepared[r] == 1 && armed[r] == 0 && step < AIM -> armed[r] = 1
	:: else -> skip
	fi
}

/* Passes begin whenever the group is not held before them; an idle group begins none for as long as it likes. */
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

/* Orders that got no answer are carried out at any later time. */
active proctype LateOrders() {
end:	do
	:: atomic { lateArms[0] > 0 -> lateArms[0]--; takeArm(0) }
	:: atomic { lateArms[1] > 0 -> lateArms[1]--; takeArm(1) }
	:: atomic { lateArms[2] > 0 -> lateArms[2]--; takeArm(2) }
	od
}

active proctype Coordinator() {
	byte r = 0;
	bool isWhole = true;
	d_step { prepared[0] = 1; prepared[1] = 1; prepared[2] = 1 };
#ifndef NO_HOLD
	if
	:: atomic { step < AIM && fence[1] <= 1 -> held = AIM }
	:: atomic { step >= AIM || fence[1] > 1 -> goto stopped }
	fi;
#endif
	do
	:: r < RANKS ->
		if
		:: atomic { true ->
#ifndef NO_FENCE
			if
			:: fence[r] > 1 -> goto stopped
			:: else -> skip
			fi;
#endif
			takeArm(r); r++ }
		/* No answer: it is sent again, or time is up for this rank. */
		:: atomic { lateArms[r] == 0 -> lateArms[r]++ }
		:: atomic { lateArms[r] == 0 -> lateArms[r]++; r++ }
		:: goto stopped
		fi
	:: else -> break
	od;
#ifndef RELEASES_UNSEEN
	r = 0;
	do
	:: r < RANKS -> isWhole = isWhole && armed[r] == 1; r++
	:: else -> break
	od;
#endif
	if
	:: atomic { isWhole ->
#ifndef NO_FENCE
		if
		:: fence[1] > 1 -> goto stopped
		:: else -> skip
		fi;
#endif
		if
		:: held == AIM -> held = 0
		:: else -> skip
		fi }
	:: !isWhole -> skip
	fi;
stopped: skip
}

/* The agent of the holding rank: at any time it finds the group held, and takes over. */
active proctype HoldingAgent() {
	byte r;
	byte seen;
endWait:	held != 0;
again:	r = 0;
	do
	:: r < RANKS -> fence[r] = 2; r++
	:: else -> break
	od;
	r = 0;
	seen = 0;
	do
	:: r < RANKS -> seen = seen + armed[r]; r++
	:: else -> break
	od;
	if
	:: held == 0 -> goto done
	:: held != 0 && seen == RANKS -> skip
	:: held != 0 && seen < RANKS ->
		isGivenUp = true;
		r = 0;
		do
		:: r < RANKS ->
			armed[r] = 0;
#ifndef NO_SUPERSEDE
			d_step {
				if
				:: armed[r] == 0 -> prepared[r] = 2
				:: else -> skip
				fi
			};
#endif
			r++
		:: else -> break
		od;
		r = 0;
		seen = 0;
		do
		:: r < RANKS -> seen = seen + armed[r]; r++
		:: else -> break
		od;
		if
		:: seen > 0 -> goto again
		:: else -> skip
		fi
	fi;
	if
	:: held == AIM -> held = 0
	:: else -> skip
	fi;
done:	skip
}
