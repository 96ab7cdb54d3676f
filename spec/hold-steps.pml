/*
 * Two switches of a group that may rest for any time, one after the other, by one coordinator or by two, and the recovery of what they leave, on engines that
 * execute unanswered orders of every kind at any later time. The coordinator may stop anywhere; recovery may begin anew after any order, without memory.
 * Proves: no pass begins with ranks on different maps.
 * Agents that are silent are left out; map-switch.pml has them.
 */
// search-depth: 2000000
// fault: REUSED_STEP
// fault: NO_TAKEOVER
// fault: DISARMS_FIRST
// fault: NO_SUPERSEDE

#define RANKS 2
#define HOLDER 1
#define STEPS 5
#define LEAD 2
#define LATE_ORDERS 3

/* Versions: a switch has 1 or 3; whoever undoes it has the ranks prepare the map in use as the next one. */
#define FIRST 1
#define SECOND 3

byte step = 0;
byte held = 0;
byte fence = 0;
byte map[RANKS];
byte prepared[RANKS];
byte armed[RANKS];
byte aim[5];
byte lastUsed = 0;
byte lateCount = 0;
byte lateArms[RANKS];
byte lateDisarms[RANKS];
byte latePrepares[RANKS];
byte lateHolds = 0;
byte lateGos = 0;

#define bit(n) (1 << (n))
#define has(set, n) ((set) & bit(n))

inline prepareNow(r, v) {
	if
	:: armed[r] == 0 && prepared[r] < v && map[r] < v -> prepared[r] = v
	:: else -> skip
	fi
}

inline armNow(r, v) {
	if
	:: armed[r] == 0 && prepared[r] == v && step < aim[v] -> armed[r] = v
	:: else -> skip
	fi
}

inline disarmNow(r, v) {
	if
	:: armed[r] == v -> armed[r] = 0
	:: else -> skip
	fi
}

inline holdNow(s) {
	if
	:: held == 0 && step < s -> held = s
	:: else -> skip
	fi
}

inline goNow(s) {
	if
	:: held == s -> held = 0
	:: else -> skip
	fi
}

/* A pass may begin whenever the group is not held before it; an idle group may begin none for any length of time. */
active proctype Passes() {
	byte r;
end:	do
	:: d_step { step < STEPS && held != step + 1 ->
		step++;
		r = 0;
		do
		:: r < RANKS ->
			if
			:: armed[r] != 0 && aim[armed[r]] == step -> map[r] = armed[r]; armed[r] = 0; prepared[r] = 0
			:: else -> skip
			fi;
			r++
		:: else -> break
		od;
		r = 0;
		assert(map[0] == map[1])
	}
	od
}

active proctype LateOrders() {
	byte r;
	byte n;
end:	do
	:: d_step { lateArms[0] != 0 -> n = 0; do :: n < 5 && !has(lateArms[0], n) -> n++ :: else -> break od; lateArms[0] = lateArms[0] & ~bit(n); armNow(0, n); n = 0 }
	:: d_step { lateArms[1] != 0 -> n = 0; do :: n < 5 && !has(lateArms[1], n) -> n++ :: else -> break od; lateArms[1] = lateArms[1] & ~bit(n); armNow(1, n); n = 0 }
	:: d_step { has(lateArms[0], SECOND) -> lateArms[0] = lateArms[0] & ~bit(SECOND); armNow(0, SECOND) }
	:: d_step { has(lateArms[1], SECOND) -> lateArms[1] = lateArms[1] & ~bit(SECOND); armNow(1, SECOND) }
	:: d_step { has(lateDisarms[0], FIRST) -> lateDisarms[0] = lateDisarms[0] & ~bit(FIRST); disarmNow(0, FIRST) }
	:: d_step { has(lateDisarms[1], FIRST) -> lateDisarms[1] = lateDisarms[1] & ~bit(FIRST); disarmNow(1, FIRST) }
	:: d_step { has(lateDisarms[0], SECOND) -> lateDisarms[0] = lateDisarms[0] & ~bit(SECOND); disarmNow(0, SECOND) }
	:: d_step { has(lateDisarms[1], SECOND) -> lateDisarms[1] = lateDisarms[1] & ~bit(SECOND); disarmNow(1, SECOND) }
	:: d_step { has(latePrepares[0], 2) -> latePrepares[0] = latePrepares[0] & ~bit(2); prepareNow(0, 2) }
	:: d_step { has(latePrepares[1], 2) -> latePrepares[1] = latePrepares[1] & ~bit(2); prepareNow(1, 2) }
	:: d_step { has(latePrepares[0], SECOND) -> latePrepares[0] = latePrepares[0] & ~bit(SECOND); prepareNow(0, SECOND) }
	:: d_step { has(latePrepares[1], SECOND) -> latePrepares[1] = latePrepares[1] & ~bit(SECOND); prepareNow(1, SECOND) }
	:: d_step { has(latePrepares[0], 4) -> latePrepares[0] = latePrepares[0] & ~bit(4); prepareNow(0, 4) }
	:: d_step { has(latePrepares[1], 4) -> latePrepares[1] = latePrepares[1] & ~bit(4); prepareNow(1, 4) }
	:: d_step { has(lateHolds, 1) -> lateHolds = lateHolds & ~bit(1); holdNow(1) }
	:: d_step { has(lateHolds, 2) -> lateHolds = lateHolds & ~bit(2); holdNow(2) }
	:: d_step { has(lateHolds, 3) -> lateHolds = lateHolds & ~bit(3); holdNow(3) }
	:: d_step { has(lateHolds, 4) -> lateHolds = lateHolds & ~bit(4); holdNow(4) }
	:: d_step { has(lateGos, 1) -> lateGos = lateGos & ~bit(1); goNow(1) }
	:: d_step { has(lateGos, 2) -> lateGos = lateGos & ~bit(2); goNow(2) }
	:: d_step { has(lateGos, 3) -> lateGos = lateGos & ~bit(3); goNow(3) }
	:: d_step { has(lateGos, 4) -> lateGos = lateGos & ~bit(4); goNow(4) }
	od
}

#define mayBeLate (lateCount < LATE_ORDERS)
#define isShutOut (fence != own)

active proctype Coordinators() {
	byte own;
	byte version = FIRST;
	byte r;
	byte s;
	byte tries;
attempt:
	/* It fences off the others, and sees that nothing is held or armed. */
	atomic { fence++; own = fence };
	if
	:: held != 0 || armed[0] != 0 || armed[1] != 0 -> goto ended
	:: else -> skip
	fi;
	r = 0;
	do
	:: r < RANKS ->
		if
		:: d_step { !isShutOut -> prepareNow(r, version); r++ }
		:: d_step { !isShutOut && mayBeLate -> lateCount++; latePrepares[r] = latePrepares[r] | bit(version) }; goto ended
		:: isShutOut -> goto ended
		fi
	:: else -> break
	od;
	if
	:: prepared[0] == version && prepared[1] == version -> skip
	:: else -> goto ended
	fi;
	tries = 0;
	do
	:: tries < 2 ->
		/* The step is chosen from what the ranks report, which may stand still. */
		d_step {
#ifdef REUSED_STEP
			s = step + 1;
#else
			s = (lastUsed + 1 > step + 1 -> lastUsed + 1 : step + 1);
#endif
			lastUsed = s
		};
		if
		:: s > step + LEAD || s >= STEPS -> goto ended
		:: else -> skip
		fi;
		aim[version] = s;
		if
		:: d_step { !isShutOut -> holdNow(s) }
		:: d_step { !isShutOut && mayBeLate -> lateCount++; lateHolds = lateHolds | bit(s) }
		:: isShutOut -> goto ended
		fi;
		if
		:: held == s -> break
		:: else -> skip
		fi;
		/* Not seen to be held: it is released in any case, and held once more. */
		if
		:: d_step { !isShutOut -> goNow(s) }
		:: d_step { !isShutOut && mayBeLate -> lateCount++; lateGos = lateGos | bit(s) }
		:: isShutOut -> goto ended
		fi;
		tries++
	:: else -> goto ended
	od;
	r = 0;
	do
	:: r < RANKS ->
		if
		:: d_step { !isShutOut -> armNow(r, version) }
		:: d_step { !isShutOut && mayBeLate -> lateCount++; lateArms[r] = lateArms[r] | bit(version) }
		:: isShutOut -> goto ended
		:: goto ended
		fi;
		if
		:: armed[r] == version -> r++
		:: else -> goto ended
		fi
	:: else -> break
	od;
	if
	:: d_step { !isShutOut -> goNow(s) }
	:: d_step { !isShutOut && mayBeLate -> lateCount++; lateGos = lateGos | bit(s) }
	:: isShutOut -> skip
	fi;
ended:
	own = 0; r = 0; s = 0; tries = 0;
	if
	:: version == FIRST ->
		version = SECOND;
		/* The next switch is by this coordinator, or by one that knows nothing and counts as used what the other one may have used. */
		if
		:: skip
		:: d_step {
#ifdef NO_TAKEOVER
			lastUsed = 0
#else
			lastUsed = (lastUsed > step + LEAD -> lastUsed : step + LEAD)
#endif
		}
		fi;
		goto attempt
	:: else -> skip
	fi
}

/* The agent of the holding rank: it finds the group held, and completes the switch or undoes it. After an order without an answer it looks again. */
active proctype Recovery() {
	byte version;
	byte r;
	byte seen[RANKS];
	byte fit[RANKS];
	byte own;
endWait:
	held != 0;
	atomic { fence++; own = fence };
again:
	if
	:: held == 0 || isShutOut -> version = 0; goto endWait
	:: else -> skip
	fi;
	seen[0] = armed[0];
	fit[0] = (prepared[0] > map[0] -> prepared[0] : map[0]);
	seen[1] = armed[1];
	fit[1] = (prepared[1] > map[1] -> prepared[1] : map[1]);
	version = (seen[0] > seen[1] -> seen[0] : seen[1]);
	if
#ifdef DISARMS_FIRST
	:: version != 0 && seen[0] == version && seen[1] == version -> skip
#else
	:: version != 0 && (seen[0] == version || (seen[0] == 0 && fit[0] == version)) && (seen[1] == version || (seen[1] == 0 && fit[1] == version)) ->
		r = 0;
		do
		:: r < RANKS ->
			if
			:: seen[r] == version || map[r] == version -> r++
			:: else ->
				if
				:: d_step { !isShutOut -> armNow(r, version) }
				:: d_step { !isShutOut && mayBeLate -> lateCount++; lateArms[r] = lateArms[r] | bit(version) }; goto again
				:: isShutOut -> goto endWait
				fi;
				if
				:: armed[r] == version -> r++
				:: else -> goto again
				fi
			fi
		:: else -> break
		od
#endif
	:: else ->
		r = 0;
		do
		:: r < RANKS ->
			if
			:: seen[r] == 0 -> r++
			:: else ->
				if
				:: d_step { !isShutOut -> disarmNow(r, seen[r]); r++ }
				:: d_step { !isShutOut && mayBeLate -> lateCount++; lateDisarms[r] = lateDisarms[r] | bit(seen[r]) }; goto again
				:: isShutOut -> goto endWait
				fi
			fi
		:: else -> break
		od;
#ifndef NO_SUPERSEDE
		version = (prepared[0] >= SECOND || prepared[1] >= SECOND || map[0] >= SECOND || version >= SECOND -> 4 : 2);
		r = 0;
		do
		:: r < RANKS ->
			if
			:: d_step { !isShutOut -> prepareNow(r, version) }
			:: d_step { !isShutOut && mayBeLate -> lateCount++; latePrepares[r] = latePrepares[r] | bit(version) }; goto again
			:: isShutOut -> goto endWait
			fi;
			if
			:: armed[r] == 0 && prepared[r] >= version -> r++
			:: else -> goto again
			fi
		:: else -> break
		od
#endif
	fi;
	if
	:: d_step { !isShutOut -> goNow(held) }
	:: d_step { !isShutOut && mayBeLate && held != 0 -> lateCount++; lateGos = lateGos | bit(held) }; goto again
	:: isShutOut -> skip
	fi;
	d_step { version = 0; r = 0; seen[0] = 0; seen[1] = 0; fit[0] = 0; fit[1] = 0; own = 0 };
	goto endWait
}
