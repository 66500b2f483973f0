/* Fencing tokens and leases of a worker that restarts under its identifier (docs/platform.md, "Orders
 * and fencing tokens").
 *
 * A leader places one run on one worker. The worker may crash at any time; its next incarnation runs
 * nothing, holds no lease and has seen no token. Orders are carried out after any delay, also by a
 * later incarnation, or lost, or their answers are lost. Time is discrete; durations count down. The
 * end of a lease is a time on one incarnation's clock: for another incarnation it is far ahead, so it
 * holds the longest lease. (A clock that is ahead of it refuses the order, as if the order was lost.)
 * The leader may change; tokens stand for the term above and the session below. Margins for slow
 * clocks, stop orders and several runs are not modelled.
 *
 * Property: the run is never on the worker once the leader has released it, to start its task elsewhere.
 *
 * Excluded, because no order can close it: an incarnation that has seen no order of the present session,
 * or that the leader does not know, carries out an order
 *   - later than the time limit of its call, or
 *   - after its predecessor has given the answer that releases the run.
 *
 * Faults: OWN_LEASE_ONLY     a new session counts the leader's own lease only.
 *         SAME_TOKEN         a session after a restart has the token of the one before.
 *         LEASE_IN_DOUBT     the question to a worker in doubt carries a lease on the former clock, and the
 *                            leader counts it for the known incarnation only.
 *         TOKEN_FALLS        the first token after a removal and a registration is 1 again.
 *         CLOCK_NOT_COMPARED an answer to a start is taken as the known incarnation's.
 *         START_NOT_MARKED   a start without an answer does not delay the release.
 *         FORMER_NOT_MARKED  nor does a start of a former session that may still be under way.
 */

#define LEASE 3
#define MAX_LEASE 5 /* The worker shortens a longer lease to this. */
#define CALL_LIMIT 2 /* Time limit of a call; the order itself may be carried out later. */
#ifndef MAX_INCARNATION
#define MAX_INCARNATION 2
#endif
#ifndef MAX_SESSION
#define MAX_SESSION 2
#endif
#ifndef ORDERS
#define ORDERS 2
#endif
#ifdef FAULT_OWN_LEASE_ONLY
#define SESSION_LEASE LEASE
#else
#define SESSION_LEASE MAX_LEASE
#endif

mtype = { FREE, SENT, CARRIED_OUT }
mtype = { START, RENEWAL }

/* Worker. */
byte incarnation = 1;
byte fence = 0; /* Highest token that it has seen. */
byte leaseLeft = 0;
bool running = false;
bool hasEnded = false; /* The run has ended on this incarnation, which takes it no more. */

/* Leader. */
byte session = 1; /* Sessions begun, so that their number stays bounded. */
byte token = 1;
byte known = 1; /* Incarnation of the session; 0 after a removal. */
bool hasAnswered = false;
bool unanswered = false; /* The last renewal was not answered. */
bool doubted = false;
byte boundLeft = CALL_LIMIT + MAX_LEASE; /* Then the known incarnation runs nothing. */
byte formerLeft = 0; /* Time in which an order of the former session may be carried out within its call. */
byte strayLeft = 0; /* Then no incarnation that was not seen runs anything. */
bool former = false; /* The run was ordered in an earlier session. */
bool startAnswered = false;
bool marked = false; /* The run's start may have reached an incarnation that was not seen. */
bool elsewhere = false; /* The run is released. */

/* Orders under way. */
typedef Order {
  mtype state = FREE;
  mtype kind = START;
  byte token;
  byte clock;      /* Incarnation on whose clock the lease ends; 0 without a lease. */
  byte left;       /* Until that end. */
  byte age;        /* Up to CALL_LIMIT, which is late. */
  bool awaited;
  bool clears;     /* Sent after the run was marked. */
  bool proves;     /* Sent after the start was answered: a list without the run proves its end. */
  bool isQuestion; /* A renewal for a worker that is not confirmed. */
  byte answeredBy;
  bool listed;
}
Order order[ORDERS];

#define confirmed (hasAnswered && !unanswered && !doubted)
#define late(i) (order[i].age == CALL_LIMIT)
#define exclusive() assert(!(elsewhere && running))
#define isFree(i) (order[i].state == FREE)
#define hasRoom (isFree(0) || isFree(1) || isFree(ORDERS - 1))
#define awaits(i, what) (order[i].awaited && order[i].kind == what)
#define isAwaited(what) (awaits(0, what) || awaits(1, what) || awaits(ORDERS - 1, what))
#define asks(i) (order[i].awaited && order[i].isQuestion)
#define isAsking (asks(0) || asks(1) || asks(ORDERS - 1))

#define releases(i) (!order[i].listed && (former || order[i].proves))
#define unseen (incarnation != known || fence < token)
#define excluded(i) (unseen && (late(i) || elsewhere))

inline clear(i) {
  order[i].state = FREE; order[i].kind = START; order[i].token = 0; order[i].clock = 0;
  order[i].left = 0; order[i].age = 0; order[i].awaited = false; order[i].clears = false;
  order[i].isQuestion = false; order[i].proves = false; order[i].answeredBy = 0; order[i].listed = false
}

inline send(what, withLease, question) {
  i = 0;
  do
  :: i < ORDERS && order[i].state != FREE -> i++
  :: else -> break
  od;
  order[i].state = SENT; order[i].kind = what; order[i].token = token; order[i].awaited = true;
  order[i].isQuestion = question; order[i].clears = formerLeft == 0;
  order[i].proves = startAnswered;
  if
  :: withLease ->
       order[i].clock = known; order[i].left = LEASE;
       if :: boundLeft < LEASE -> boundLeft = LEASE :: else fi
  :: else
  fi;
  i = 0
}

inline mark() {
  marked = true;
  for (j : 0 .. ORDERS - 1) { order[j].clears = false }
  j = 0
}

/* Answers to the orders under way are void. */
inline forgetOrders() {
  for (j : 0 .. ORDERS - 1) {
    order[j].awaited = false; order[j].clears = false; order[j].proves = false
  }
  j = 0
}

#ifdef FAULT_LEASE_IN_DOUBT
#define givesLease(i) (order[i].clock != 0 && !order[i].isQuestion)
#else
#define givesLease(i) (order[i].clock != 0)
#endif

/* An order with a lease may have been carried out by an incarnation that was not seen. */
inline noteStray(i) {
  if
  :: givesLease(i) && strayLeft < MAX_LEASE -> strayLeft = MAX_LEASE
  :: else
  fi
}

inline beginSession(number) {
  session++;
  token++;
  known = number;
  hasAnswered = false; unanswered = false; doubted = false; startAnswered = false;
#ifdef FAULT_FORMER_NOT_MARKED
  marked = false; strayLeft = 0; formerLeft = 0;
#else
  marked = true; strayLeft = CALL_LIMIT + SESSION_LEASE; formerLeft = CALL_LIMIT;
#endif
  former = true;
  boundLeft = CALL_LIMIT + SESSION_LEASE;
  forgetOrders()
}

inline timeOut(i) {
  order[i].awaited = false;
  noteStray(i);
  if
  :: order[i].kind == START ->
#ifndef FAULT_START_NOT_MARKED
       mark()
#else
       skip
#endif
  :: else -> unanswered = true
  fi
}

inline receiveStart(i) {
#ifndef FAULT_CLOCK_NOT_COMPARED
  if
  :: order[i].answeredBy != known -> doubted = true
  :: else
  fi;
#endif
  if
  :: doubted -> noteStray(i); mark()
  :: else
  fi;
  startAnswered = true
}

inline receiveRenewal(i) {
  if
  :: order[i].answeredBy != known && session < MAX_SESSION -> /* A restart. */
       beginSession(order[i].answeredBy);
#ifdef FAULT_SAME_TOKEN
       token--
#endif
  :: order[i].answeredBy != known && session == MAX_SESSION -> goto end /* The search ends here. */
  :: else ->
       if
       :: !hasAnswered -> boundLeft = SESSION_LEASE
       :: else
       fi;
       hasAnswered = true; unanswered = false; doubted = false;
       if :: order[i].clears -> marked = false :: else fi;
       if
       :: releases(i) && running && incarnation != known -> goto end /* Excluded. */
       :: releases(i) && !(running && incarnation != known) -> elsewhere = true
       :: order[i].listed -> startAnswered = true
       :: else
       fi
  fi
}

inline carryOut(i) {
  if
  :: order[i].token < fence -> clear(i) /* Refused. */
  :: else ->
       fence = order[i].token;
       if
       :: order[i].clock == 0 -> j = 0
       :: order[i].clock == incarnation -> j = order[i].left
       :: else -> j = MAX_LEASE
       fi;
       if :: j > leaseLeft -> leaseLeft = j :: else fi;
       if :: order[i].kind == START && j > 0 && !hasEnded -> running = true :: else fi;
       j = 0;
       if
       :: late(i) -> clear(i)
       :: else ->
            order[i].state = CARRIED_OUT; order[i].answeredBy = incarnation;
            order[i].listed = running
       fi
  fi
}

inline tick() {
  if
  :: leaseLeft > 0 ->
       leaseLeft--;
       if :: leaseLeft == 0 && running -> running = false; hasEnded = true :: else fi
  :: else
  fi;
  if :: boundLeft > 0 -> boundLeft-- :: else fi;
  if :: formerLeft > 0 -> formerLeft-- :: else fi;
  if :: strayLeft > 0 -> strayLeft-- :: else fi;
  for (i : 0 .. ORDERS - 1) {
    if
    :: order[i].state != FREE ->
         if :: order[i].left > 0 -> order[i].left-- :: else fi;
         if :: !late(i) -> order[i].age++ :: else fi;
         if :: late(i) && order[i].awaited -> timeOut(i) :: else fi;
         if :: late(i) && order[i].state == CARRIED_OUT -> clear(i) :: else fi
    :: else
    fi
  }
  i = 0
}

active proctype cell() {
  byte i = 0;
  byte j = 0;
  do
  :: atomic { tick(); exclusive() }

  /* The worker crashes and starts again. */
  :: atomic {
       incarnation < MAX_INCARNATION ->
       incarnation++; fence = 0; leaseLeft = 0; running = false; hasEnded = false
     }

  /* The worker carries out an order. */
  :: atomic {
       select (i : 0 .. ORDERS - 1);
       if
       :: order[i].state == SENT && !excluded(i) -> carryOut(i); exclusive()
       :: else
       fi;
       i = 0
     }

  /* A late order is lost, or the leader receives an answer. */
  :: atomic {
       select (i : 0 .. ORDERS - 1);
       if
       :: order[i].state == SENT && late(i) -> clear(i)
       :: order[i].state == CARRIED_OUT && !order[i].awaited -> clear(i)
       :: order[i].state == CARRIED_OUT && order[i].awaited ->
            if
            :: order[i].kind == START -> receiveStart(i)
            :: else -> receiveRenewal(i)
            fi;
            clear(i);
            exclusive()
       :: else
       fi;
       i = 0
     }

  /* The leader sends an order. */
  :: atomic {
       hasRoom && known != 0 && confirmed && !former && !elsewhere && !startAnswered &&
       !isAwaited(START) ->
       send(START, true, false)
     }
  :: atomic { hasRoom && known != 0 && confirmed && !isAwaited(RENEWAL) -> send(RENEWAL, true, false) }
  :: atomic {
       hasRoom && known != 0 && !confirmed && !isAsking && (doubted || !isAwaited(RENEWAL)) ->
#ifdef FAULT_LEASE_IN_DOUBT
       send(RENEWAL, hasAnswered, true)
#else
       send(RENEWAL, false, true)
#endif
     }

  /* A report names another incarnation. */
  :: atomic { known != 0 && known != incarnation && !doubted -> doubted = true }

  /* The worker is silent, and what it can have been given has ended. */
  :: atomic {
       known != 0 && (unanswered || !hasAnswered) && boundLeft == 0 && (!marked || strayLeft == 0) ->
       elsewhere = true; known = 0; forgetOrders();
       exclusive()
     }

  /* After its removal the worker registers again. */
  :: atomic {
       known == 0 && session < MAX_SESSION ->
#ifdef FAULT_TOKEN_FALLS
       token = 0;
#endif
       beginSession(incarnation)
     }

  /* Another leader takes over. */
  :: atomic { known != 0 && session < MAX_SESSION -> beginSession(known) }
  od
end:
  skip
}
