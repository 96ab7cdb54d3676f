/*
 * Leases with fencing numbers: two coordinators, an agent in front of an engine that ignores fencing numbers, and the log.
 * A lease may expire in the log while its holder still sends orders; orders are delayed; the agent restarts and loses its
 * state.
 * Proves: the engine accepts no order with a lower fencing number than an earlier one, and none from a coordinator after
 * the agent has learned of its successor.
 */
// search-depth: 100000
// fault: FORGETS_ON_RESTART
// fault: REUSES_NUMBER
// fault: ENGINE_WITHOUT_GATE

byte lastNumber = 0;
byte holder = 0;
byte heldNumber = 0;
byte taken = 0;
byte learned = 0;
byte smallest = 0;
bool knows = false;
chan orders = [2] of {byte};

/* A coordinator acquires the lease when it is free, and sends orders with its fencing number for any length of time. */
proctype Coordinator(byte me) {
	byte number = 0;
	byte rounds = 0;
end:	do
	:: atomic { holder == 0 && rounds < 2 ->
		rounds++;
		holder = me;
#ifdef REUSES_NUMBER
		if
		:: lastNumber == 0 || number == 0 -> lastNumber++
		:: else -> skip
		fi;
		number = (number == 0 -> lastNumber : number);
#else
		lastNumber++;
		number = lastNumber;
#endif
		heldNumber = number
	}
	:: number > 0 && nfull(orders) -> orders!number
	od
}

/* The lease expires in the log, whether or not its holder knows. */
active proctype Log() {
end:	do
	:: atomic { holder != 0 -> holder = 0 }
	od
}

active proctype Agent() {
	byte number;
	byte restarts = 0;
end:	do
	/* The agent learns the current fencing number by a read that a majority confirms. */
	:: atomic { !knows -> knows = true; smallest = (holder != 0 -> heldNumber : lastNumber + 1); learned = smallest }
	:: atomic { orders?number ->
		if
#ifdef ENGINE_WITHOUT_GATE
		:: true ->
#else
		:: knows && number >= smallest ->
#endif
			assert(number >= taken);
			assert(number >= learned);
			taken = number;
			smallest = number
#ifndef ENGINE_WITHOUT_GATE
		:: else -> skip
#endif
		fi;
		number = 0
	}
	:: atomic { restarts < 2 -> restarts++;
#ifdef FORGETS_ON_RESTART
		smallest = 0
#else
		knows = false;
		smallest = 0
#endif
	}
	od
}

init {
	atomic { run Coordinator(1); run Coordinator(2) }
}
