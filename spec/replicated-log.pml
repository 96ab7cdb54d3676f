/*
 * Elections, log replication and membership changes of the control group.
 * Members 0, 1 and 2 are the initial voters; member 3 is a new identity with an empty disk that replaces member 2.
 * Member 2 is lost at the start (a voter without its disk returns only as member 3); after the repair one more member may
 * be lost permanently. A message exchange of a leader or candidate with one member is one atomic step, so that any may be
 * lost, late or missing. Only in the variant REUSE_IDENTITY does a member return under its old identity after losing its disk.
 *
 * An entry consists of its term and the membership it sets. Membership 0 is {0,1,2}, 1 is {0,1}, 2 is {0,1,3}.
 * Proves: at most one leader per term; committed entries are in the log of every later leader, and still held by some
 * member after the second loss.
 */
// search-depth: 2000000
// fault: UNCAUGHT_LEARNER
// fault: REUSE_IDENTITY
// fault: VOTE_TWICE
// fault: CONTACT_ACKNOWLEDGES

#define MEMBERS 4
#define MAX_LOG 5
#define MAX_TERM 4

typedef Log {
	byte length;
	byte term[MAX_LOG];
	byte membership[MAX_LOG];
}

Log logs[MEMBERS];
byte currentTerm[MEMBERS];
byte votedIn[MEMBERS];      /* newest term in which the member voted */
bool leads[MEMBERS];
bool lost[MEMBERS];
byte matched[MEMBERS];      /* per member: number of entries acknowledged to the leader of leaderTerm */
byte leaderTerm;            /* newest term with a leader */
byte committedLength;
byte committedTerm[MAX_LOG];
byte losses;
bool repaired;

/* Newest membership in the log of member m. */
inline membershipOf(m, result) {
	result = 0;
	if
	:: logs[m].length > 0 -> result = logs[m].membership[logs[m].length - 1]
	:: else
	fi
}

#define counts(m, membership) (m == 0 || m == 1 || (m == 2 && membership == 0) || (m == 3 && membership == 2))
#define quorum(membership) (2)
#define lastTerm(m) (logs[m].length == 0 -> 0 : logs[m].term[logs[m].length - 1])
#define upToDate(candidate, voter) (lastTerm(candidate) > lastTerm(voter) || (lastTerm(candidate) == lastTerm(voter) && logs[candidate].length >= logs[voter].length))

/* Whether member v may vote for candidate c in term t. */
#ifdef VOTE_TWICE
#define mayVote(v, c, t) (!lost[v] && currentTerm[v] <= t && upToDate(c, v))
#else
#define mayVote(v, c, t) (!lost[v] && currentTerm[v] <= t && votedIn[v] < t && upToDate(c, v))
#endif

byte m, n, k, votes, shape;
bool electedInTerm[MAX_TERM + 1];

/* Member x has the whole log of leader m. Recorded only for the newest leader, as an older one cannot commit. */
inline acknowledge(x) {
	if
	:: currentTerm[m] == leaderTerm -> matched[x] = logs[x].length
	:: else
	fi
}

/* Appends an entry that sets membership `next` at leader m. */
inline append(next) {
	logs[m].term[logs[m].length] = currentTerm[m];
	logs[m].membership[logs[m].length] = next;
	logs[m].length++;
	acknowledge(m)
}

/* Members 0 and 1 always have a vote, the others depending on the membership. A candidate may receive any subset of the available votes. */
inline elect() {
	currentTerm[m]++;
	votedIn[m] = currentTerm[m];
	membershipOf(m, shape);
	votes = (counts(m, shape) -> 1 : 0);
	n = 0;
	do
	:: n < MEMBERS ->
		if
		:: n != m && counts(n, shape) && mayVote(n, m, currentTerm[m]) ->
			currentTerm[n] = currentTerm[m];
			votedIn[n] = currentTerm[m];
			leads[n] = false;
			votes++
		:: true
		fi;
		n++
	:: else -> break
	od;
	if
	:: votes >= quorum(shape) ->
		assert(!electedInTerm[currentTerm[m]]);
		electedInTerm[currentTerm[m]] = true;
		/* Every committed entry is in the new leader's log. */
		assert(logs[m].length >= committedLength);
		n = 0;
		do
		:: n < committedLength -> assert(logs[m].term[n] == committedTerm[n]); n++
		:: else -> break
		od;
		leads[m] = true;
		leaderTerm = currentTerm[m];
		n = 0;
		do
		:: n < MEMBERS -> matched[n] = 0; n++
		:: else -> break
		od;
		if
		:: logs[m].length < MAX_LOG -> append(shape)
		:: else -> matched[m] = logs[m].length
		fi
	:: else -> leads[m] = false
	fi;
	votes = 0; shape = 0; n = 0
}

/* Leader m copies its log to member n and records the acknowledgement. */
inline replicate() {
	currentTerm[n] = currentTerm[m];
	leads[n] = false;
	logs[n].length = logs[m].length;
	k = 0;
	do
	:: k < MAX_LOG ->
		logs[n].term[k] = logs[m].term[k];
		logs[n].membership[k] = logs[m].membership[k];
		k++
	:: else -> break
	od;
	acknowledge(n);
	k = 0
}

/* Leader m shows member n that it is alive. The member's log stays as it is, and its reply acknowledges no entries. */
inline contact() {
	currentTerm[n] = currentTerm[m];
	leads[n] = false
#ifdef CONTACT_ACKNOWLEDGES
	;
	if
	:: currentTerm[m] == leaderTerm -> matched[n] = logs[m].length
	:: else
	fi
#endif
}

/* Commits the whole log of leader m. Enabled only if a quorum holds it and its last entry is of the leader's own term. */
inline commit() {
	committedLength = logs[m].length;
	k = 0;
	do
	:: k < committedLength ->
		if
		:: committedTerm[k] == 0 -> committedTerm[k] = logs[m].term[k]
		:: else -> assert(committedTerm[k] == logs[m].term[k])
		fi;
		k++
	:: else -> break
	od;
	k = 0;
	membershipOf(m, shape);
	if
	:: shape == 2 -> repaired = true
	:: else
	fi;
	shape = 0
}

#define isWhole(x, leader) (matched[x] == logs[leader].length)
#define hasQuorum(leader, membership) ((isWhole(0, leader) -> 1 : 0) + (isWhole(1, leader) -> 1 : 0) + ((membership == 0 && isWhole(2, leader)) -> 1 : 0) + ((membership == 2 && isWhole(3, leader)) -> 1 : 0) >= quorum(membership))
#define newest(leader) (logs[leader].length == 0 -> 0 : logs[leader].membership[logs[leader].length - 1])
#define isSettled(leader) (committedLength == logs[leader].length && lastTerm(leader) == currentTerm[leader])
#define holdsAll(x) (!lost[x] && logs[x].length >= committedLength)
#define leadsNow(x) (leads[x] && !lost[x])

init {
	atomic { lost[2] = true; losses = 1 }
end:	do
	:: atomic {
		/* Any one member m acts. */
		if
		:: m = 0
		:: m = 1
		:: m = 3
		:: m = 2
		fi;
		if
		/* An election: only a voter of its own newest membership becomes a candidate. */
		:: !lost[m] && !leads[m] && currentTerm[m] < MAX_TERM && counts(m, newest(m)) -> elect()
		/* The leader appends a command. */
		:: leadsNow(m) && logs[m].length < MAX_LOG -> append(newest(m))
		/* Replication to one member, or contact with it only; the learner, member 3, may receive the log at any time. */
		:: leadsNow(m) ->
			if
			:: n = 0
			:: n = 1
			:: n = 2
			:: n = 3
			fi;
			if
			:: n != m && !lost[n] && currentTerm[n] <= currentTerm[m] -> replicate()
			:: n != m && !lost[n] && currentTerm[n] <= currentTerm[m] -> contact()
			:: else
			fi;
			n = 0
		/* Commit. */
		:: leadsNow(m) && currentTerm[m] == leaderTerm && lastTerm(m) == currentTerm[m] && committedLength < logs[m].length && hasQuorum(m, newest(m)) -> commit()
		/* Membership changes, one at a time: remove member 2, then promote member 3 once it holds the whole log. */
		:: leadsNow(m) && newest(m) == 0 && isSettled(m) && logs[m].length < MAX_LOG -> append(1)
#ifdef UNCAUGHT_LEARNER
		:: leadsNow(m) && newest(m) == 1 && isSettled(m) && logs[m].length < MAX_LOG -> append(2); matched[3] = logs[m].length
#else
		:: leadsNow(m) && newest(m) == 1 && isSettled(m) && logs[m].length < MAX_LOG && isWhole(3, m) && currentTerm[m] == leaderTerm -> append(2)
#endif
		/* A second member is lost after the repair. */
		:: repaired && losses == 1 && !lost[m] ->
			lost[m] = true; leads[m] = false; losses = 2;
			/* Some remaining member holds every committed entry. */
			assert(holdsAll(0) || holdsAll(1) || holdsAll(3))
#ifdef REUSE_IDENTITY
		/* Member 1 loses its disk and rejoins under its old identity. */
		:: m == 1 && losses == 1 && !lost[1] && currentTerm[1] > 0 ->
			losses = 2; logs[1].length = 0; currentTerm[1] = 0; votedIn[1] = 0; leads[1] = false; matched[1] = 0
#endif
		:: else
		fi
	}
	od
}
