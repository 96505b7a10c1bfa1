/*
 * Model of shard epochs with control leases: one shard with one key that can be claimed and tokens that can be leased.
 *
 * The control log moves the shard from epoch to epoch. A member acts as primary under the newest epoch that it has
 * learned, while it holds a control lease. A claim is granted once every backup of the epoch has it. A granted attempt
 * runs or is abandoned, and the claim of an abandoned attempt may be released. Messages may be delayed without bound
 * and duplicated; members may pause for any time.
 *
 * Each variant removes one rule, and spin must find a violated assertion in it:
 *   NO_LEASE     a primary acts without a control lease, and the control log does not wait until the lease ends
 *   NO_EPOCH     members accept writes of older epochs
 *   NO_BACKUP    a primary answers without waiting for the backups
 *   NO_TRANSFER  a member becomes a backup before it has the state
 */

#ifndef MAXEPOCH
#define MAXEPOCH 4
#endif
#define M        3  /* members */
#define ATTEMPTS 3

/* The control log's newest assignment. */
byte epoch = 1;
byte primary = 0;
bool member[M];
bool lost = false;

/* Each member's newest epoch, role, lease and state; value is the attempt that holds the key, 0 for a free key. */
byte known[M];
bool acts[M];
bool lease[M];
byte value[M];

/* A primary's group, the joining members that already take part in its writes, and its write in progress. */
bool group[M * M];
bool counted[M * M];
bool acked[M * M];
bool writing[M];
byte granting[M];

/* A primary's last write and one earlier write; both can be delivered at any later time and more than once. */
byte sent_epoch[M];
byte sent_value[M];
byte old_epoch[M];
byte old_value[M];

/* What callers have observed. */
byte attempts = 0;
byte runs = 0;
bool givenup[ATTEMPTS + 1];
byte token_epoch = 0;

#define AT(a, p, b) a[(p) * M + (b)]

#ifdef NO_LEASE
#define LEASED(m) true
#define ENDED(m)  true
#else
#define LEASED(m) lease[m]
#define ENDED(m)  (!lease[m])
#endif

#ifdef NO_BACKUP
#define MISSING(p, b) false
#else
#define MISSING(p, b) ((p) != (b) && (AT(group, p, b) || AT(counted, p, b)) && !AT(acked, p, b))
#endif
#define COMPLETE(p) (!MISSING(p, 0) && !MISSING(p, 1) && !MISSING(p, 2))

#ifdef NO_EPOCH
#define ACCEPTS(r, e) true
#else
#define ACCEPTS(r, e) ((e) > known[r] || (e) == known[r] && !acts[r])
#endif

inline write(p, v) {
  old_epoch[p] = sent_epoch[p];
  old_value[p] = sent_value[p];
  sent_epoch[p] = known[p];
  sent_value[p] = v;
  value[p] = v;
  writing[p] = true;
  AT(acked, p, 0) = false;
  AT(acked, p, 1) = false;
  AT(acked, p, 2) = false
}

/* Handles a delayed write; the primary ignores the answer to it. */
inline receive_old(r, p) {
  if
  :: ACCEPTS(r, old_epoch[p]) && old_epoch[p] != known[r] -> value[r] = old_value[p]
  :: else
  fi
}

inline receive(r, p) {
  if
  :: ACCEPTS(r, sent_epoch[p]) ->
     if
     :: sent_epoch[p] > known[r] -> known[r] = sent_epoch[p]; acts[r] = false
     :: else
     fi;
     value[r] = sent_value[p];
     AT(acked, p, r) = true
  :: else
  fi
}

inline learn(m) {
  AT(group, m, 0) = member[0];
  AT(group, m, 1) = member[1];
  AT(group, m, 2) = member[2];
  AT(counted, m, 0) = false;
  AT(counted, m, 1) = false;
  AT(counted, m, 2) = false;
  known[m] = epoch;
  lease[m] = true;
  if
  :: acts[m] -> sent_epoch[m] = epoch
  :: else -> acts[m] = true; granting[m] = 0; write(m, value[m])
  fi
}

proctype Host(byte m) {
  byte p;
  do
  :: atomic { primary == m && (epoch > known[m] || epoch == known[m] && !acts[m]) -> learn(m) }

  /* Renews the control lease, which the control log grants only while the epoch is the newest. */
  :: atomic { acts[m] && !lease[m] && known[m] == epoch && primary == m -> lease[m] = true }

  /* Leases tokens, and asserts that no primary of a later epoch has leased any. */
  :: atomic {
       acts[m] && LEASED(m) && token_epoch != known[m] ->
       assert(known[m] > token_epoch);
       token_epoch = known[m]
     }

  :: atomic {
       acts[m] && LEASED(m) && !writing[m] && value[m] == 0 && attempts < ATTEMPTS && !lost ->
       attempts++;
       granting[m] = attempts;
       write(m, attempts)
     }

  :: atomic {
       acts[m] && LEASED(m) && !writing[m] && value[m] != 0 && givenup[value[m]] ->
       granting[m] = 0;
       write(m, 0)
     }

  /* Answers a write that every backup has. */
  :: atomic {
       acts[m] && LEASED(m) && writing[m] && COMPLETE(m) ->
       writing[m] = false;
       if
       :: granting[m] != 0 && !givenup[granting[m]] -> runs++; assert(runs <= 1)
       :: granting[m] != 0 -> givenup[granting[m]] = true
       :: granting[m] == 0
       fi;
       granting[m] = 0
     }

  /* The caller abandons a claim that is not answered yet. */
  :: atomic { granting[m] != 0 && !givenup[granting[m]] -> givenup[granting[m]] = true }

  /* Makes a joining member that has the last write take part in the following ones. */
  :: atomic {
       acts[m] && LEASED(m) && !writing[m];
       if
       :: m != 0 && !AT(group, m, 0) && AT(acked, m, 0) -> AT(counted, m, 0) = true
       :: m != 1 && !AT(group, m, 1) && AT(acked, m, 1) -> AT(counted, m, 1) = true
       :: m != 2 && !AT(group, m, 2) && AT(acked, m, 2) -> AT(counted, m, 2) = true
       :: else
       fi
     }

  :: atomic {
       if
       :: m != 0 -> p = 0
       :: m != 1 -> p = 1
       :: m != 2 -> p = 2
       fi;
       if
       :: sent_epoch[p] != 0 -> receive(m, p)
       :: old_epoch[p] != 0 -> receive_old(m, p)
       :: else
       fi;
       p = 0
     }
  od
}

#ifdef NO_TRANSFER
#define JOINED(j) true
#else
#define JOINED(j) (known[primary] == epoch && acts[primary] && AT(counted, primary, j))
#endif

inline take_over(next) {
  member[primary] = false;
  primary = next;
  epoch++
}

inline start_anew(next) {
  member[0] = (next == 0);
  member[1] = (next == 1);
  member[2] = (next == 2);
  lost = true;
  primary = next;
  epoch++;
  value[next] = 0;
  acts[next] = false
}

proctype Control() {
  byte n;
  do
  :: atomic { epoch < MAXEPOCH; lease[primary] -> lease[primary] = false }
  :: atomic {
       epoch < MAXEPOCH;
       if
       :: n = 0
       :: n = 1
       :: n = 2
       fi;
       if
       /* A backup takes over from an unresponsive primary. */
       :: !lost && n != primary && member[n] && ENDED(primary) -> take_over(n)
       /* An unresponsive backup is removed. */
       :: !lost && n != primary && member[n] -> member[n] = false; epoch++
       /* A joining member becomes a backup. */
       :: !lost && n != primary && !member[n] && JOINED(n) -> member[n] = true; epoch++
       /* All members are lost, and the shard starts again without its state. */
       :: !lost && n != primary && !member[n] && ENDED(primary) -> start_anew(n)
       :: else
       fi;
       n = 0
     }
  od
}

init {
  atomic {
    member[0] = true;
    member[1] = true;
    run Control();
    run Host(0);
    run Host(1);
    run Host(2)
  }
}
