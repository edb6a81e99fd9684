/*
 * The lease of one host in its availability zone: votes, promises, changes of membership and the table's vote.
 * The transitions bear the names of the methods of wharflease.Machine and wharfmember.Member.
 *
 * HOLDER is the host whose lease is checked; all hosts have the same part, so what holds for it holds for each.
 * Removals of the others are allowed whenever a quorum has adopted the generation, which is more than the
 * implementation allows.
 *
 * Time is a global tick. A vote binds its voter for TERM + MARGIN ticks and counts for its holder for TERM ticks,
 * so message delay only shortens leases and needs no state of its own; loss is a transition that is not taken,
 * and a paused or cut off host is one that takes none while its timers run on.
 *
 * -DBROKEN_PROMISE   a voter grants again after it has promised a reclaim
 * -DBROKEN_ADOPTION  membership changes without a quorum that has adopted the generation before
 * -DBROKEN_SEEN      a host asks for a reclaim in a generation that it has known for less than a term
 * -DBROKEN_RESTART   a restarted voter promises at once
 * -DBROKEN_MARGIN    a voter promises before its own vote has ended
 * -DBROKEN_REAFFIRM  nobody voids the promises against a host that is back (with SETTLE)
 * -DSETTLE           checks instead that the lease is held again within ROUNDS rounds after faults end
 */

#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef FIRST
#define FIRST 3 /* hosts that are members at the start */
#endif
#ifndef TERM
#define TERM 1
#endif
#ifndef MARGIN
#define MARGIN 1
#endif
#ifndef GENERATIONS
#define GENERATIONS 5
#endif
#ifndef ROUNDS
#define ROUNDS 12
#endif
#define BOUND (TERM + MARGIN)
#define HOLDER 0

/* the table */
byte generation = 1;
byte members[GENERATIONS + 1]; /* bit set of hosts, by generation */
bit witness[GENERATIONS + 1];
byte tableGiven;               /* ticks for which the table's last vote binds it */

/* the hosts */
bit alive[HOSTS];
byte known[HOSTS];             /* generation adopted, 0 before joining */
byte seen[HOSTS];              /* ticks until that generation is known for a whole term */
byte fresh[HOSTS];             /* ticks until votes of an earlier incarnation have surely ended */
byte given[HOSTS];             /* ticks for which a host's vote for the holder binds it */
bit promised[HOSTS];           /* a host has promised the holder's reclaim in the generation it knows */

/* the holder */
byte lease;                    /* ticks for which the lease still holds */
byte got[HOSTS];               /* ticks for which a host's vote still counts */
byte gotTable;
bit reclaimed;                 /* this incarnation stands in the table no more */

byte x, i, count, voters, n;

#define isMember(host, g) ((members[g] >> (host)) & 1)
#define active(host) (alive[host] && known[host] > 0)

inline quorum(g) {
	voters = witness[g];
	i = 0;
	do
	:: i < HOSTS -> voters = voters + isMember(i, g); i++
	:: else -> break
	od;
	voters = voters / 2 + 1
}

/* the lease holds as long as a quorum's votes do; the own vote is always there */
inline extend() {
	quorum(known[HOLDER]);
	n = TERM;
	do
	:: n > lease ->
		count = 1 + (witness[known[HOLDER]] && gotTable >= n);
		i = 0;
		do
		:: i < HOSTS -> count = count + (i != HOLDER && got[i] >= n); i++
		:: else -> break
		od;
		if
		:: count >= voters -> lease = n
		:: else -> n--
		fi
	:: else -> break
	od
}

inline clearVotes() {
	gotTable = 0;
	i = 0;
	do
	:: i < HOSTS -> got[i] = 0; i++
	:: else -> break
	od
}

inline adopt(host, g) {
	known[host] = g;
	seen[host] = BOUND;
	promised[host] = 0;
	if
	:: host == HOLDER -> clearVotes()
	:: else
	fi;
	if
	:: isMember(host, g)
	:: else -> forget(host)
	fi
}

inline forget(host) {
	known[host] = 0;
	seen[host] = 0;
	fresh[host] = 0;
	given[host] = 0;
	promised[host] = 0;
	if
	:: host == HOLDER -> lease = 0; clearVotes()
	:: else
	fi
}

/* counts the members that know generation g and no later one; an incarnation that has not joined votes for nobody
   and counts for its host's place, since its predecessor is dead */
inline countAdopted(g) {
	count = witness[g];
	i = 0;
	do
	:: i < HOSTS -> count = count + (isMember(i, g) && alive[i] && (known[i] == g || known[i] == 0)); i++
	:: else -> break
	od
}

inline mayChange() {
	quorum(generation);
#ifdef BROKEN_ADOPTION
	count = voters
#else
	countAdopted(generation)
#endif
}

inline commitNext(set, vote) {
	members[generation + 1] = set;
	witness[generation + 1] = vote;
	generation++
}

inline join(host) {
	commitNext(members[generation] | (1 << host), witness[generation]);
	adopt(host, generation);
	fresh[host] = BOUND;
	if
	:: host == HOLDER -> reclaimed = 0
	:: else
	fi
}

inline step(timer) {
	timer = (timer > 0 -> timer - 1 : 0)
}

inline tick() {
	step(lease);
	step(gotTable);
	step(tableGiven);
	i = 0;
	do
	:: i < HOSTS -> step(seen[i]); step(fresh[i]); step(given[i]); step(got[i]); i++
	:: else -> break
	od
}

inline grant(voter) {
	given[voter] = BOUND;
	got[voter] = TERM;
	extend()
}

inline grantByTable() {
	tableGiven = BOUND;
	gotTable = TERM;
	extend()
}

#ifdef BROKEN_PROMISE
#define mayGrant(voter) 1
#else
#define mayGrant(voter) (!promised[voter])
#endif

#ifdef BROKEN_RESTART
#define remembers(voter) 1
#else
#define remembers(voter) (fresh[voter] == 0)
#endif

#ifdef BROKEN_MARGIN
#define voteEnded(voter) 1
#else
#define voteEnded(voter) (given[voter] == 0)
#endif

#ifdef BROKEN_SEEN
#define knowsLong(host) 1
#else
#define knowsLong(host) (seen[host] == 0)
#endif

#define sameGeneration(voter) (active(HOLDER) && active(voter) && known[HOLDER] == known[voter])
#define mayPromise(voter) (active(voter) && isMember(HOLDER, known[voter]) && voteEnded(voter) && remembers(voter))
#define mayAsk(host) (active(host) && known[host] == generation && knowsLong(host) && promised[host])

inline countPromises() {
	quorum(generation);
	count = (witness[generation] && tableGiven == 0);
	i = 0;
	do
	:: i < HOSTS -> count = count + (isMember(i, generation) && known[i] == generation && promised[i]); i++
	:: else -> break
	od
}

inline reclaim() {
	commitNext(members[generation] & ~(1 << HOLDER), witness[generation]);
	reclaimed = 1
}

inline start() {
	members[1] = (1 << FIRST) - 1;
	witness[1] = (FIRST == 1 || FIRST % 2 == 0);
	x = 0;
	do
	:: x < FIRST -> alive[x] = 1; known[x] = 1; x++
	:: else -> break
	od;
	clean()
}

inline clean() {
	x = 0;
	i = 0;
	count = 0;
	voters = 0;
	n = 0
}

inline anyHost() {
	x = 0;
	do
	:: x < HOSTS - 1 -> x++
	:: break
	od
}

inline anyTransition() {
	anyHost();
	if
	:: x == HOLDER -> tick()
	/* Grant and Receive */
	:: x != HOLDER && sameGeneration(x) && mayGrant(x) && (got[x] < TERM || given[x] < BOUND) -> grant(x)
	/* ReceiveWitness */
	:: x == HOLDER && active(x) && known[x] == generation && witness[generation] && tableGiven < BOUND -> grantByTable()
	/* Adopt, from the table or from another host */
	:: active(x) && known[x] < generation -> adopt(x, generation)
	:: active(x) && known[x] + 1 < generation -> adopt(x, known[x] + 1)
	/* Promise */
	:: x != HOLDER && mayPromise(x) && !promised[x] -> promised[x] = 1
	/* Reclaim, conditional on the generation asked about */
	:: x != HOLDER && generation < GENERATIONS && mayAsk(x) ->
		countPromises();
		if
		:: count >= voters -> reclaim()
		:: else
		fi
	/* Join, anew or in place of an earlier incarnation */
	:: generation < GENERATIONS && alive[x] && known[x] == 0 ->
		mayChange();
		if
		:: count >= voters -> join(x)
		:: else
		fi
	/* Leave, or the reclaim of another host */
	:: generation < GENERATIONS && isMember(x, generation) && members[generation] != (1 << x) ->
		mayChange();
		if
		:: count >= voters && x != HOLDER -> commitNext(members[generation] & ~(1 << x), witness[generation])
		:: count >= voters && x == HOLDER && known[x] == generation ->
			commitNext(members[generation] & ~(1 << x), witness[generation]);
			forget(x)
		:: else
		fi
	/* Reaffirmed and WithWitness */
	:: x == HOLDER && generation < GENERATIONS ->
		mayChange();
		if
		:: count >= voters -> commitNext(members[generation], witness[generation])
		:: count >= voters -> commitNext(members[generation], 1 - witness[generation])
		:: else
		fi
	/* a host dies, and starts again with nothing kept */
	:: alive[x] -> alive[x] = 0; forget(x)
	:: !alive[x] -> alive[x] = 1
	fi
}

#ifndef SETTLE

init {
	atomic { start() };
	do
	:: atomic { anyTransition(); assert(!(reclaimed && lease > 0)); clean() }
	od
}

#else

/* what the hosts do in a round in which nothing fails */
inline adoptAll() {
	x = 0;
	do
	:: x < HOSTS ->
		if
		:: active(x) && known[x] < generation -> adopt(x, generation)
		:: else
		fi;
		x++
	:: else -> break
	od
}

inline joinAll() {
	x = 0;
	do
	:: x < HOSTS ->
		if
		:: alive[x] && known[x] == 0 && generation < GENERATIONS ->
			mayChange();
			if
			:: count >= voters -> join(x); adoptOthers()
			:: else
			fi
		:: else
		fi;
		x++
	:: else -> break
	od
}

inline adoptOthers() {
	n = 0;
	do
	:: n < HOSTS ->
		if
		:: active(n) && known[n] < generation -> adopt(n, generation)
		:: else
		fi;
		n++
	:: else -> break
	od
}

inline reaffirm() {
	x = 0;
	do
	:: x < HOSTS && active(x) && promised[x] && generation < GENERATIONS ->
		mayChange();
		if
		:: count >= voters -> commitNext(members[generation], witness[generation]); break
		:: else -> x++
		fi
	:: x < HOSTS && !(active(x) && promised[x] && generation < GENERATIONS) -> x++
	:: else -> break
	od
}

inline grantAll() {
	x = 1;
	do
	:: x < HOSTS ->
		if
		:: sameGeneration(x) && mayGrant(x) -> grant(x)
		:: else
		fi;
		x++
	:: else -> break
	od;
	if
	:: active(HOLDER) && known[HOLDER] == generation && witness[generation] -> grantByTable()
	:: else
	fi
}

#ifndef FAULTS
#define FAULTS 3 /* generations that faults may use up; the others are left to settle */
#endif

byte rounds;

init {
	atomic { start() };
	do
	:: generation <= FAULTS -> atomic { anyTransition(); clean() }
	:: break
	od;
	atomic {
		x = 0;
		do
		:: x < HOSTS -> alive[x] = 1; x++
		:: else -> break
		od;
		rounds = 0;
		do
		:: rounds < ROUNDS ->
			tick();
			adoptAll();
			joinAll();
#ifndef BROKEN_REAFFIRM
			reaffirm();
			adoptAll();
#endif
			grantAll();
			rounds++
		:: else -> break
		od;
		assert(lease > 0)
	}
}

#endif
