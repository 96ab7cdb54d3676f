/*
 * Configuration changes by operators: concurrent changes on the same base revision, a resend after a lost answer, and a
 * failover. Two operators each send one change on the same base; a third change is based on a revision read later. Requests
 * and answers may be lost, and requests may arrive late or twice. A leader may fail before it commits a request; the next
 * leader holds exactly what was committed (the replicated-log model covers elections).
 * Proves: no change is applied twice; of two changes with the same base at most one is accepted; all answers that an
 * operator receives for one change id are the same.
 */
// search-depth: 200000
// fault: FORGETS_CHANGE_IDS
// fault: IGNORES_BASE
// fault: ANSWERS_BEFORE_COMMIT

#define CHANGES 3
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2

/* The committed state, the same on every voter that has caught up. */
byte revision = 0;
byte answerOf[CHANGES];
byte timesApplied[CHANGES];
byte winnersOnBase[4];
byte baseOf[CHANGES];

/* Answer that operators received for each change. */
byte toldTo[CHANGES];

/* Number of failed leaders so far. */
byte failOvers = 0;

chan requests = [2] of {byte};
chan answers = [2] of {byte, byte};

inline decide(change, answer) {
	if
#ifdef FORGETS_CHANGE_IDS
	:: false -> skip
#else
	:: answerOf[change] != NONE -> answer = answerOf[change]
#endif
	:: else ->
		if
#ifdef IGNORES_BASE
		:: true ->
#else
		:: baseOf[change] == revision ->
#endif
			answer = ACCEPTED;
			winnersOnBase[baseOf[change]]++;
			timesApplied[change]++;
			revision++;
#ifndef IGNORES_BASE
		:: else -> answer = CONFLICT
#endif
		fi;
		answerOf[change] = answer;
	fi
}

active proctype Voters() {
	byte change;
	byte answer = NONE;
end:	do
	:: atomic { requests?change ->
#ifdef ANSWERS_BEFORE_COMMIT
		if
		:: answerOf[change] == NONE && baseOf[change] == revision && failOvers < 2 ->
			/* Answered before a quorum held the entry; then the leader fails and the entry is lost. */
			failOvers++;
			answer = ACCEPTED;
		:: decide(change, answer)
		fi;
#else
		decide(change, answer);
#endif
		assert(timesApplied[change] <= 1);
		assert(winnersOnBase[baseOf[change]] <= 1);
		if
		:: nfull(answers) -> answers!change, answer
		:: true -> skip /* The answer is lost. */
		fi;
		change = 0;
		answer = NONE;
	}
	/* The request is lost, or the leader fails before it commits; no trace of the request remains. */
	:: atomic { nempty(requests) && failOvers < 2 -> requests?change; change = 0; failOvers++ }
	od
}

inline take() {
	atomic {
		answers?change, answer ->
		assert(toldTo[change] == NONE || toldTo[change] == answer);
		toldTo[change] = answer;
		change = 0;
		answer = NONE;
	}
}

/* Sends one change up to three times; the network may deliver each copy. */
proctype Operator(byte mine; byte base) {
	byte sends = 0;
	baseOf[mine] = base;
	do
	:: sends < 3 -> atomic { sends++; requests!mine }
	:: sends > 0 -> break
	od
}

active proctype Answers() {
	byte change;
	byte answer = NONE;
end:	do
	:: take()
	od
}

init {
	byte seen = 0;
	atomic {
		run Operator(0, 0);
		run Operator(1, 0);
	}
	/* Reads a revision, then sends a change based on it. */
	atomic { seen = revision; run Operator(2, seen) }
}
