/* Election, replication, commit and one membership change of the consensus protocol
 * (docs/design.md, section 8).
 *
 * Three replicas; terms and the log are bounded. A request and its answer are one atomic step between
 * two replicas, which may happen at any time or never, so loss, repetition and any order of requests
 * are covered; a request that arrives after its sender changed state is not. A crash keeps what is
 * durable. An entry is a term plus, if it changes the membership, eight times the mask of the voters.
 *
 * Properties: one leader per term; a committed entry never changes; every later leader holds it.
 *
 * Faults: TWO_VOTES       a replica votes more than once in a term.
 *         VOTE_NOT_SYNCED a crash loses a vote that was already answered.
 *         ACK_NOT_SYNCED  a crash loses an entry that was already acknowledged.
 *         NO_LOG_CHECK    a vote ignores how complete the candidate's log is.
 *         COMMIT_OLD_TERM entries of earlier terms commit by counting.
 *         TWO_MEMBERS     one change removes two voters.
 */

#ifndef MAX_TERM
#define MAX_TERM 4
#endif
#ifndef MAX_LOG
#define MAX_LOG 2
#endif
#define N 3
#define ALL 7

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

byte term[N];
byte votedFor[N]; /* Number of the candidate plus one. */
byte role[N];
byte votes[N];    /* Mask of the voters that granted a vote. */
byte size[N];
byte logs[9];     /* Room for MAX_LOG up to 3. */
byte match[9];    /* match[i * N + j]: entries that leader i knows replica j to hold. */
bool changed = false;

/* Observers: what was ever true, for the assertions. */
byte leaderOf[6];
byte committed[3];
byte committedIn[3]; /* Term of the leader that committed the entry first. */
byte committedLen = 0;

hidden byte k;

#define entry(i, at) logs[(i) * MAX_LOG + (at)]
#define termOf(e) ((e) & 7)
#define maskOf(e) ((e) >> 3)
#define lastTerm(i) (size[i] == 0 -> 0 : termOf(entry(i, size[i] - 1)))
#define bit(i) (1 << (i))
#define count(m) (((m) & 1) + (((m) >> 1) & 1) + (((m) >> 2) & 1))
#define majority(m, of) (2 * count((m) & (of)) > count(of))
#define maskAt(i, at) ((at) < size[i] -> maskOf(entry(i, at)) : 0)
#define config(i) \
  ((MAX_LOG > 2 && maskAt(i, 2) > 0) -> maskAt(i, 2) : \
   (maskAt(i, 1) > 0 -> maskAt(i, 1) : (maskAt(i, 0) > 0 -> maskAt(i, 0) : ALL)))
#define covers(i, j) \
  (lastTerm(i) > lastTerm(j) || (lastTerm(i) == lastTerm(j) && size[i] >= size[j]))
#define holds(i, j, n) ((i) == (j) || match[(i) * N + (j)] >= (n))
#define holders(i, n) \
  ((holds(i, 0, n) -> 1 : 0) + (holds(i, 1, n) -> 2 : 0) + (holds(i, 2, n) -> 4 : 0))

inline stepDown(i) {
  role[i] = FOLLOWER;
  votes[i] = 0;
  match[i * N] = 0;
  match[i * N + 1] = 0;
  match[i * N + 2] = 0
}

inline observeTerm(j, t) {
  if
  :: term[j] < t -> term[j] = t; votedFor[j] = 0; stepDown(j)
  :: else
  fi
}

#ifdef FAULT_TWO_VOTES
#define mayVote(j) true
#else
#define mayVote(j) (votedFor[j] == 0)
#endif
#ifdef FAULT_NO_LOG_CHECK
#define isComplete(i, j) true
#else
#define isComplete(i, j) covers(i, j)
#endif
#define canAsk(i, j) ((i) != (j) && role[i] == CANDIDATE && term[j] <= term[i] && !(votes[i] & bit(j)))

inline requestVote(i, j) {
  observeTerm(j, term[i]);
  if
  :: mayVote(j) && isComplete(i, j) -> votedFor[j] = i + 1; votes[i] = votes[i] | bit(j)
  :: else
  fi
}

inline win(i) {
  role[i] = LEADER;
  votes[i] = 0;
  assert(leaderOf[term[i]] == 0 || leaderOf[term[i]] == i + 1);
  leaderOf[term[i]] = i + 1;
  k = 0;
  do
  :: k < committedLen ->
       /* A candidate of an earlier term may learn late that it won. */
       assert(committedIn[k] >= term[i] || (k < size[i] && entry(i, k) == committed[k]));
       k++
  :: else -> break
  od;
  k = 0
}

#define canAppend(i, j) ((i) != (j) && role[i] == LEADER && term[j] <= term[i])

inline replicate(i, j) {
  observeTerm(j, term[i]);
  assert(role[j] != LEADER);
  stepDown(j);
  k = 0;
  do
  :: k < size[i] && k < size[j] && entry(i, k) == entry(j, k) -> k++
  :: else -> break
  od;
  if
  :: k < size[i] ->
       entry(j, k) = entry(i, k);
       k++;
       size[j] = k;
       do
       :: k < MAX_LOG -> entry(j, k) = 0; k++
       :: else -> break
       od;
       k = size[j]
  :: else
  fi;
  match[i * N + j] = k;
  k = 0
}

#ifdef FAULT_COMMIT_OLD_TERM
#define ownTerm(i, n) true
#else
#define ownTerm(i, n) (termOf(entry(i, (n) - 1)) == term[i])
#endif
#define canCommit(i, n) \
  (role[i] == LEADER && (n) <= MAX_LOG && (n) <= size[i] && \
   ((n) > committedLen || committed[(n) - 1] != entry(i, (n) - 1)) && ownTerm(i, n) && \
   majority(holders(i, n), config(i)))

inline commit(i, n) {
  k = 0;
  do
  :: k < n ->
       assert(k >= committedLen || committed[k] == entry(i, k));
       if
       :: k >= committedLen -> committed[k] = entry(i, k); committedIn[k] = term[i]
       :: else
       fi;
       k++
  :: else -> break
  od;
  committedLen = (n > committedLen -> n : committedLen);
  k = 0
}

/* A change needs a committed entry of the leader's own term, and only one is made. */
#define canChange(i) \
  (role[i] == LEADER && !changed && size[i] < MAX_LOG && committedLen > 0 && \
   committedLen <= size[i] && termOf(entry(i, committedLen - 1)) == term[i])

inline change(i, mask) {
  changed = true;
  entry(i, size[i]) = term[i] + 8 * (mask);
  size[i] = size[i] + 1
}

inline crash(i) {
  stepDown(i);
#ifdef FAULT_VOTE_NOT_SYNCED
  votedFor[i] = 0;
#endif
#ifdef FAULT_ACK_NOT_SYNCED
  if
  :: size[i] > 0 -> size[i] = size[i] - 1; entry(i, size[i]) = 0
  :: else
  fi;
#endif
}

active [N] proctype replica() {
end:
  do
  :: atomic {
       role[_pid] != LEADER && term[_pid] < MAX_TERM && (config(_pid) & bit(_pid)) ->
       stepDown(_pid);
       term[_pid] = term[_pid] + 1;
       votedFor[_pid] = _pid + 1;
       role[_pid] = CANDIDATE;
       votes[_pid] = bit(_pid)
     }
  :: atomic { canAsk(_pid, 0) -> requestVote(_pid, 0) }
  :: atomic { canAsk(_pid, 1) -> requestVote(_pid, 1) }
  :: atomic { canAsk(_pid, 2) -> requestVote(_pid, 2) }
  :: atomic { role[_pid] == CANDIDATE && majority(votes[_pid], config(_pid)) -> win(_pid) }
  :: atomic {
       role[_pid] == LEADER && size[_pid] < MAX_LOG ->
       entry(_pid, size[_pid]) = term[_pid];
       size[_pid] = size[_pid] + 1
     }
  :: atomic { canAppend(_pid, 0) -> replicate(_pid, 0) }
  :: atomic { canAppend(_pid, 1) -> replicate(_pid, 1) }
  :: atomic { canAppend(_pid, 2) -> replicate(_pid, 2) }
  :: atomic { canCommit(_pid, 1) -> commit(_pid, 1) }
  :: atomic { canCommit(_pid, 2) -> commit(_pid, 2) }
  :: atomic { canCommit(_pid, 3) -> commit(_pid, 3) }
#ifdef FAULT_TWO_MEMBERS
  :: atomic { canChange(_pid) -> change(_pid, bit(_pid)) }
#else
  :: atomic { canChange(_pid) -> change(_pid, ALL - 1) }
  :: atomic { canChange(_pid) -> change(_pid, ALL - 2) }
  :: atomic { canChange(_pid) -> change(_pid, ALL - 4) }
#endif
  :: atomic { role[_pid] != FOLLOWER || votedFor[_pid] != 0 || size[_pid] > 0 -> crash(_pid) }
  od
}
