/* Fencing of the ownership lease that a worker grants (docs/design.md, section 5).
 *
 * A worker polls one of two owners. Each poll echoes the answer that the worker received last, and the
 * owner counts its lease from when it sent that answer. The worker accepts the other owner only when a
 * full lease has passed since its last poll to the old one, or when the old owner has released it.
 * Time is discrete; messages are delayed without a bound, lost or repeated.
 *
 * Property: the two owners never both hold a valid lease, so they never both dispatch on the worker.
 *
 * Faults: COUNT_FROM_RECEIPT    the owner counts its lease from the receipt of a poll.
 *         NO_WORKER_WAIT        the worker accepts a new owner at once.
 *         DISPATCH_AFTER_RELEASE the owner keeps dispatching after it released the worker.
 *         NO_MARGIN             the owner's clock is slower than the worker's, and it keeps no margin.
 */

#define LEASE 4
#define HORIZON 11
/* The owner's clock may lose one unit during a lease, so the owner gives up one unit early. */
#define DRIFT 1
#ifdef FAULT_NO_MARGIN
#define VALIDITY LEASE
#else
#define VALIDITY (LEASE - 1)
#endif
#define NONE 15

byte now = 0;

/* Worker. */
byte owner = 0;       /* The owner it polls. */
byte lastPoll = NONE; /* Time of its last poll to `owner`. */
byte lastAnswer[2] = NONE; /* Time stamp in the last answer received from each owner. */
bool released = false;

/* Owners. */
byte leaseFrom[2] = NONE; /* Sending time of the answer that the last poll echoed. */
bool gaveUp[2] = false;

/* One slot per owner and direction; overwriting a slot is a loss, reading it keeps it (repetition). */
byte poll[2] = NONE;     /* Echoed time stamp; NONE if no poll is in transit. */
bool pollSent[2] = false;
byte answer[2] = NONE;   /* Time at which the owner sent the answer. */
bool releaseSent[2] = false;

/* The owner's slow clock shows a lease as younger than it is. */
#define valid(o) (leaseFrom[o] != NONE && !gaveUp[o] && now < leaseFrom[o] + VALIDITY + DRIFT)

#define exclusive() assert(!(valid(0) && valid(1)))

active proctype cell() {
  byte o;
  do
  :: now < HORIZON -> atomic { now++; exclusive() }

  /* The worker polls its owner; the first poll to an owner echoes nothing. */
  :: atomic { now < HORIZON -> poll[owner] = lastAnswer[owner]; pollSent[owner] = true; lastPoll = now; }

  /* An owner receives a poll and answers it. */
  :: atomic {
       if
       :: pollSent[0] && !gaveUp[0] -> o = 0
       :: pollSent[1] && !gaveUp[1] -> o = 1
       fi;
       if
       :: poll[o] != NONE && (leaseFrom[o] == NONE || poll[o] > leaseFrom[o]) ->
#ifdef FAULT_COUNT_FROM_RECEIPT
            leaseFrom[o] = now
#else
            leaseFrom[o] = poll[o]
#endif
       :: else
       fi;
       answer[o] = now;
       exclusive()
     }

  /* The worker receives an answer of the owner that it polls. */
  :: atomic { answer[owner] != NONE -> lastAnswer[owner] = answer[owner] }

  /* Owner 0 stops as planned. */
  :: atomic {
       !gaveUp[0] && !releaseSent[0] -> releaseSent[0] = true;
#ifndef FAULT_DISPATCH_AFTER_RELEASE
       gaveUp[0] = true
#endif
     }
  :: atomic { releaseSent[0] && owner == 0 -> released = true }

  /* The leader assigned the worker to owner 1 with a higher epoch. */
  :: atomic {
       owner == 0 &&
#ifdef FAULT_NO_WORKER_WAIT
       true
#else
       (released || lastPoll == NONE || now >= lastPoll + LEASE)
#endif
       -> owner = 1; lastPoll = NONE
     }

  :: now == HORIZON -> break
  od
}
