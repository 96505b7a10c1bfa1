/*
 * Model of the replicated log of three control instances: elections, terms, log matching, commitment, and the loss and
 * replacement of a disk.
 *
 * An instance that loses its disk continues as a new incarnation. A log is a list of entries, each with its term and
 * either a command or a membership. Sending a message and handling it is one step that changes both states; a lost
 * message is a step that is never taken. Duplicates of old messages are not modelled; the tests of the code cover them.
 *
 * Each variant removes one rule, and spin must find a violated assertion in it:
 *   FORGET_VOTE   a restart loses the vote of the current term
 *   EMPTY_VOTER   an instance that lost its disk keeps its identity and counts as a voter at once
 *   OLD_TERM      a leader commits entries of older terms by counting replicas
 *   ANY_LOG       a voter does not check that the candidate's log is at least as up to date as its own
 *
 * SECOND_LOSS makes a disk loss after a completed repair a violation, to show that the model reaches that state.
 */

#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 4
#endif
#ifndef LOSSES
#define LOSSES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define N 3          /* instances */
#define M 5          /* incarnations: the first three create the log */
#define NONE 15

/*
 * An entry holds its term in the low four bits and its membership, a bit set of incarnations, in the rest; membership 0
 * marks a command.
 */
#define TERM(e) ((e) & 15)
#define MEMBERS(e) ((e) >> 4)
#define BIT(m) (1 << (m))

byte home[M];        /* the instance of an incarnation */
bool alive[M];       /* false before it starts and after its disk is lost */
byte term[M];
byte vote[M];
byte votes[M];       /* the set of votes that a candidate has, 0 for none */
byte leads[M];       /* the term that the incarnation leads, 0 for none */
byte length[M];
byte entry[M * MAXLOG];
byte commit[M];

byte chosen[MAXLOG]; /* every entry that was ever committed */
byte top;            /* the number of entries in chosen */
byte leaderOf[MAXTERM + 1];
byte born = N;       /* incarnations started so far */
byte losses;
byte restarts;

#ifdef FORGET_VOTE
#define KEPT(v) NONE
#else
#define KEPT(v) (v)
#endif

#ifdef SECOND_LOSS
#define WITNESS true
#else
#define WITNESS false
#endif

#ifdef EMPTY_VOTER
#define SAME_IDENTITY true
#else
#define SAME_IDENTITY false
#endif

#define MAY_CHANGE(l) (_set == _n && commit[l] > 0 && TERM(AT(l, commit[l] - 1)) == term[l])

#ifdef OLD_TERM
#define OWN_TERM(l, n) true
#else
#define OWN_TERM(l, n) (TERM(AT(l, (n) - 1)) == term[l])
#endif

#ifdef ANY_LOG
#define CURRENT(c, v) true
#else
#define CURRENT(c, v) (_mine > _theirs || (_mine == _theirs && length[c] >= length[v]))
#endif

#define AT(m, i) entry[(m) * MAXLOG + (i)]

inline membership(m, upTo, out) {
  /* the newest membership among the first upTo entries of a log, or else the initial one */
  out = 7;
  _i = 0;
  do
  :: _i < upTo ->
    if
    :: MEMBERS(AT(m, _i)) != 0 -> out = MEMBERS(AT(m, _i))
    :: else
    fi;
    _i++
  :: else -> break
  od
}

inline majority(set, among, out) {
  /* whether set contains more than half of the members in among */
  _have = 0; _all = 0; _i = 0;
  do
  :: _i < M ->
    if
    :: (among & BIT(_i)) -> _all++;
      if
      :: (set & BIT(_i)) -> _have++
      :: else
      fi
    :: else
    fi;
    _i++
  :: else -> break
  od;
  out = (2 * _have > _all)
}

inline lastTerm(m, out) {
  if
  :: length[m] == 0 -> out = 0
  :: else -> out = TERM(AT(m, length[m] - 1))
  fi
}

#define LEADS(m) (alive[m] && leads[m] != 0 && leads[m] == term[m])

/* Makes a candidate with a majority the leader of its term, and asserts that the term has no other leader. */
inline count(c) {
  membership(c, length[c], _set);
  majority(votes[c], _set, _ok);
  if
  :: _ok ->
    assert(leaderOf[term[c]] == NONE || leaderOf[term[c]] == c);
    leaderOf[term[c]] = c;
    leads[c] = term[c];
    votes[c] = 0
  :: else
  fi
}

/* A member that is a voter according to its own log starts an election. */
#define MAY_CAMPAIGN(c) (alive[c] && term[c] < MAXTERM)
inline campaign(c) {
  membership(c, length[c], _set);
  if
  :: (_set & BIT(c)) ->
    term[c]++; vote[c] = c; leads[c] = 0;
    votes[c] = BIT(c);
    count(c)
  :: else
  fi
}

/* A voter grants its vote to a candidate; the votes of both are on disk. */
#define MAY_GRANT(c, v) (alive[c] && alive[v] && votes[c] != 0 && vote[c] == c && leads[c] == 0 && term[v] <= term[c] && (term[v] < term[c] || vote[v] == NONE))
inline grant(c, v) {
  lastTerm(c, _mine);
  lastTerm(v, _theirs);
  if
  :: CURRENT(c, v) ->
    term[v] = term[c]; vote[v] = c; leads[v] = 0; votes[v] = 0;
    votes[c] = votes[c] | BIT(v);
    count(c)
  :: else
  fi
}

/* A leader appends an entry to its own log; m is the new membership, 0 for a command. */
inline appendOwn(l, m) {
  if
  :: length[l] < MAXLOG ->
    AT(l, length[l]) = term[l] | ((m) << 4);
    length[l]++
  :: else
  fi
}

/* A leader accepts a command. */
inline propose(l) { appendOwn(l, 0) }

/* A member advances its commit index to the leader's, at most to the end of its own log. */
inline learn(l, f) {
  if
  :: commit[l] > commit[f] -> commit[f] = (commit[l] < length[f] -> commit[l] : length[f])
  :: else
  fi
}

/* A leader sends a member the next entry that it lacks, and the commit index. */
#define MAY_REPLICATE(l, f) (LEADS(l) && alive[f] && term[f] <= term[l])
inline replicate(l, f) {
  if
  :: term[f] < term[l] -> term[f] = term[l]; vote[f] = NONE; leads[f] = 0; votes[f] = 0
  :: else -> votes[f] = 0
  fi;
  _i = 0;
  do
  :: _i < length[f] && _i < length[l] && AT(f, _i) == AT(l, _i) -> _i++
  :: else -> break
  od;
  if
  :: _i < length[l] ->
    assert(_i >= commit[f]);
    do
    :: length[f] > _i -> length[f]--; AT(f, length[f]) = 0
    :: else -> break
    od;
    AT(f, _i) = AT(l, _i);
    length[f] = _i + 1
  :: else
  fi;
  learn(l, f)
}

/* Asserts that newly committed entries agree with every entry that was committed before. */
inline record(l) {
  _i = 0;
  do
  :: _i < commit[l] ->
    if
    :: _i < top -> assert(chosen[_i] == AT(l, _i))
    :: else -> chosen[_i] = AT(l, _i); top = _i + 1
    fi;
    _i++
  :: else -> break
  od
}

/* A leader commits the entries that a majority of the newest membership has. */
#define MAY_COMMIT(l) (LEADS(l) && commit[l] < length[l])
inline commitByQuorum(l) {
  if
  :: true ->
    membership(l, length[l], _set);
    _n = length[l];
    do
    :: _n > commit[l] ->
      _votes = 0; _v = 0;
      do
      :: _v < M ->
        if
        :: alive[_v] && (_set & BIT(_v)) && term[_v] == term[l] && length[_v] >= _n ->
          _same = true; _i = 0;
          do
          :: _i < _n -> _same = _same && (AT(_v, _i) == AT(l, _i)); _i++
          :: else -> break
          od;
          if
          :: _same -> _votes = _votes | BIT(_v)
          :: else
          fi
        :: else
        fi;
        _v++
      :: else -> break
      od;
      majority(_votes, _set, _ok);
      if
      :: _ok && OWN_TERM(l, _n) -> break
      :: else -> _n--
      fi
    :: else -> break
    od;
    if
    :: _n > commit[l] -> commit[l] = _n; record(l)
    :: else
    fi
  :: else
  fi
}

inline wipe(m) {
  term[m] = 0; vote[m] = NONE; votes[m] = 0; leads[m] = 0; commit[m] = 0;
  do
  :: length[m] > 0 -> length[m]--; AT(m, length[m]) = 0
  :: else -> break
  od
}

/*
 * Whether all members of the newest committed membership are alive, one for each instance, and no membership change is
 * in progress.
 */
inline whole(out) {
  _set = 7; _i = 0;
  do
  :: _i < top ->
    if
    :: MEMBERS(chosen[_i]) != 0 -> _set = MEMBERS(chosen[_i])
    :: else
    fi;
    _i++
  :: else -> break
  od;
  _have = 0; _i = 0; out = true;
  do
  :: _i < M ->
    if
    :: (_set & BIT(_i)) -> _have++; out = out && alive[_i]
    :: else
    fi;
    _i++
  :: else -> break
  od;
  out = out && _have == N;
  _v = 0;
  do
  :: _v < M ->
    if
    :: alive[_v] -> membership(_v, length[_v], _n); out = out && (_n == _set)
    :: else
    fi;
    _v++
  :: else -> break
  od
}

/* An instance loses its disk. Losses come one at a time, only while the membership is complete. */
#define MAY_LOSE(m) (alive[m] && losses < LOSSES)
inline lose(m) {
  whole(_ok);
  if
  :: _ok ->
    assert(!WITNESS || losses == 0);
    losses++;
    if
    :: SAME_IDENTITY -> wipe(m)
    :: !SAME_IDENTITY && born < M ->
      alive[m] = false;
      wipe(m);
      home[born] = home[m];
      alive[born] = true;
      born++
    :: else
    fi
  :: else
  fi
}

/* A restarted member keeps only what is on disk: term, vote and log. */
#define MAY_RESTART(m) (alive[m] && restarts < RESTARTS)
inline restart(m) {
  restarts++;
  leads[m] = 0;
  votes[m] = 0;
  commit[m] = 0;
  vote[m] = KEPT(vote[m])
}

/* A leader takes the next step of a repair: it removes the lost incarnation, then adds the new one. */
#define MAY_REPAIR(l) (LEADS(l) && born > N)
inline repair(l) {
  membership(l, length[l], _set);
  membership(l, commit[l], _n);
  if
  :: MAY_CHANGE(l) ->
    _v = N;
    do
    :: _v < born ->
      if
      :: alive[_v] && !(_set & BIT(_v)) ->
        _old = 0;
        do
        :: _old < M && !((_set & BIT(_old)) && home[_old] == home[_v]) -> _old++
        :: else -> break
        od;
        /* the new member has acknowledged every committed entry to this leader */
        if
        :: term[_v] == term[l] && length[_v] >= commit[l] ->
          if
          :: _old < M -> _n = _set & (31 - BIT(_old))
          :: else -> _n = _set | BIT(_v)
          fi;
          appendOwn(l, _n)
        :: else
        fi;
        break
      :: else -> _v++
      fi
    :: else -> break
    od
  :: else
  fi
}

/* Resets the scratch variables, so that they do not multiply the states. */
inline clean() {
  _i = 0; _have = 0; _all = 0; _set = 0; _votes = 0; _v = 0; _n = 0; _mine = 0; _theirs = 0; _old = 0;
  _ok = false; _same = false
}

#define ONE(may, step, m) :: d_step { may(m) -> step(m); clean() }
#define EACH(may, step) ONE(may, step, 0) ONE(may, step, 1) ONE(may, step, 2) ONE(may, step, 3) ONE(may, step, 4)
#define TWO(may, step, m, n) :: d_step { may(m, n) -> step(m, n); clean() }
#define FROM(may, step, m, b, c, d, e) TWO(may, step, m, b) TWO(may, step, m, c) TWO(may, step, m, d) TWO(may, step, m, e)
#define PAIRS(may, step) \
  FROM(may, step, 0, 1, 2, 3, 4) FROM(may, step, 1, 0, 2, 3, 4) FROM(may, step, 2, 0, 1, 3, 4) \
  FROM(may, step, 3, 0, 1, 2, 4) FROM(may, step, 4, 0, 1, 2, 3)

active proctype world() {
  byte _i, _have, _all, _set, _votes, _v, _n, _mine, _theirs, _old;
  bool _ok, _same;
  d_step {
    _i = 0;
    do
    :: _i < M -> home[_i] = _i; vote[_i] = NONE; alive[_i] = (_i < N); _i++
    :: else -> break
    od;
    _i = 0;
    do
    :: _i <= MAXTERM -> leaderOf[_i] = NONE; _i++
    :: else -> break
    od;
    _i = 0
  }
end:
  do
  EACH(MAY_CAMPAIGN, campaign)
  PAIRS(MAY_GRANT, grant)
  EACH(LEADS, propose)
  PAIRS(MAY_REPLICATE, replicate)
  EACH(MAY_COMMIT, commitByQuorum)
  EACH(MAY_LOSE, lose)
  EACH(MAY_RESTART, restart)
  EACH(MAY_REPAIR, repair)
  od
}
