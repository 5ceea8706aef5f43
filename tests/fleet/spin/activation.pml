/* Two-phase activation with leases (docs/fleet-as-one.md, "Routes"): three voters, one change of leader, and
   balancers that place calls by route version k or k+1. The network is the set of all messages ever sent: each may be
   delivered at any later time, any number of times, to any process, or never. Every process may pause at every step; a
   crashed process takes no further step. Time is real time in discrete steps; the error of each clock is 0 or BOUND, so
   two clocks differ by at most BOUND. Only the newest message of each kind is stored, as it permits everything that an
   older grant or heartbeat permits.

   Properties: no holder places by k later than BOUND after the first placed by k+1; an applied activation is not
   aborted. Each macro M_... removes one rule, and the check must then fail. */
#define HOLDERS 2 /* one for each clock error; each represents any number of holders, see judge() */
#define BOUND 1
#define LEASE 3
#define ELECTION 5 /* how long a voter that heard from a leader votes for no other */
#define END 11     /* the end of time */
#define NONE 255

byte now, first_new = NONE; /* when a holder first placed by k+1 */
bit off_leader, off_new;    /* clock errors */

/* The leader of term 1 is voter 0. Voter 1 may be elected in term 2 by the vote of voter 2. */
bit deposed;          /* the first leader knows about term 2 */
byte heard;           /* when voter 1 or 2 last heard from the leader; the reply may arrive at any later time. One
                         reply makes a majority with the leader, and an election needs both voters to have waited, so
                         only the newest matters */
#ifdef M_RESTART
bit forgot;
#endif
byte entry1, moment1; /* entry of term 1: 0 none, 1 activate, 2 abort */
bit at1[2];           /* whether voter 1 or 2 has that entry on disk */
bit agreed1;          /* whether the leader knows that it is committed */

bit elected, ready; /* term 2; ready: the leader's first entry, and so all earlier ones, are committed */
byte entry2, moment2;
bit agreed2;

/* Grants ever sent, the newest of each kind: k alone, k with its activation time of k+1, k+1 in force */
byte plain_until, end_moment = NONE;
bit in_force;

#define clock_leader (now + off_leader)
#define clock_new (now + off_new)
#define clock(h) (now + (h) * BOUND)
#define least(a, b) ((a) < (b) -> (a) : (b))

#ifdef M_NO_WAIT /* the activation time does not wait for leases to expire */
#define MOMENT(c) (c)
#else
#define MOMENT(c) ((c) + LEASE + 2 * BOUND)
#endif

/* The outcome is decided by the first effective entry: an activation after an abort and an abort after an activation
   have no effect. */
#define first_active (entry1 == 1)
#define applied1 (agreed1 || (ready && at1[0]))
#ifdef M_ABORT_AFTER
#define activated1 (first_active && applied1 && !(entry2 == 2 && agreed2))
#else
#define activated1 (first_active && applied1)
#endif
#define activated2 (entry2 == 1 && agreed2 && !(at1[0] && entry1 != 0))

/* After every step: checks by which versions a holder may place now. A holder may have received any subset of the
   messages, may have restarted without state, or may have fenced itself. Receiving more only permits more, so it is
   enough to check what a holder that received the right subset could do. */
hidden byte h, c;
hidden byte may_old, may_new;
#ifdef M_STEP_BACK /* the holder's clock went back, and it does not fence itself */
#define clock_of(h) (clock(h) - (clock(h) < 3 -> clock(h) : 3))
#else
#define clock_of(h) clock(h)
#endif
#ifdef M_TIMER /* the end of the lease depends on a timer, and the process was paused */
#define on_lease plain_until
#else
#ifdef M_STORED /* after a restart the holder places by the version on its disk until it receives another */
#define on_lease 1
#else
#define on_lease (c + BOUND < plain_until)
#endif
#endif
inline judge() {
  for (h : 0 .. HOLDERS - 1) {
    c = clock_of(h);
    may_new = (in_force || (end_moment != NONE && clock(h) >= end_moment));
    may_old = (on_lease || (end_moment != NONE && c < end_moment));
    if
    :: may_old && first_new != NONE -> assert(now <= first_new + BOUND)
    :: else
    fi;
    if
    :: may_new && first_new == NONE -> first_new = now
    :: else
    fi
  }
  h = 0
}

/* The first leader grants while it has a majority, measured from when the requests that were replied to were sent. */
#ifdef M_ARRIVAL /* measured from when replies arrive, which may be much later */
#define leads (!deposed)
#else
#define leads (!deposed && now <= heard + ELECTION - BOUND)
#endif
#ifdef M_RESTART /* a restarted voter votes immediately */
#define waited (forgot || now >= heard + ELECTION)
#else
#ifdef M_VOTE /* voters do not wait */
#define waited 1
#else
#define waited (now >= heard + ELECTION)
#endif
#endif

init {
  byte was = 0;
  byte i;
  select(i : 0 .. 1); off_leader = i;
  select(i : 0 .. 1); off_new = i;
  i = 0;
  do
  :: d_step { now < END -> now++; judge() }

  /* the first leader and its voters */
  :: d_step { !elected && heard != now -> heard = now }
#ifdef M_RESTART
  :: d_step { !elected && !forgot -> forgot = 1 }
#endif
  :: d_step { !deposed && entry1 == 0 -> entry1 = 1;
#ifdef M_PROPOSER /* the proposer sets the activation time, and its message was delayed */
       moment1 = MOMENT(0)
#else
       moment1 = MOMENT(clock_leader)
#endif
     }
  :: d_step { !deposed && entry1 == 0 -> entry1 = 2 }
  :: d_step { entry1 != 0 && !deposed && !elected && !at1[0] -> at1[0] = 1 }
  :: d_step { entry1 != 0 && !deposed && !elected && !at1[1] -> at1[1] = 1 }
  :: d_step { !deposed && entry1 != 0 && (at1[0] || at1[1]) && !agreed1 -> agreed1 = 1 }
  :: d_step { elected && !deposed -> deposed = 1; heard = 0 }

  /* grants of the first leader */
  :: d_step { leads && !activated1 && !(entry1 == 1) && plain_until < clock_leader + LEASE ->
       plain_until = clock_leader + LEASE; judge() }
#ifdef M_UNCLAMPED /* leases on k extend beyond the activation time */
  :: d_step { leads && entry1 == 1 && plain_until < clock_leader + LEASE ->
       plain_until = clock_leader + LEASE; judge() }
#else
  :: d_step { leads && !agreed1 && entry1 == 1 && plain_until < least(clock_leader + LEASE, moment1 - 1) ->
       plain_until = least(clock_leader + LEASE, moment1 - 1); judge() }
#endif
#ifdef M_EARLY_NEXT /* k+1 is granted before its entry is committed */
  :: d_step { leads && entry1 == 1 && end_moment == NONE -> end_moment = moment1; judge() }
#endif
  :: d_step { leads && agreed1 && entry1 == 1 && end_moment == NONE -> end_moment = moment1; judge() }
  :: d_step { leads && agreed1 && entry1 == 1 && clock_leader >= moment1 && !in_force -> in_force = 1; judge() }

  /* the second leader: both voters waited since they heard from the first, and its log is up to date */
  :: d_step { !elected && at1[0] >= at1[1] && waited -> elected = 1 }
  :: d_step { elected && !ready -> ready = 1 }
  :: d_step { ready && entry2 == 0 && !(at1[0] && entry1 == 1) -> entry2 = 1; moment2 = MOMENT(clock_new) }
  :: d_step { elected && entry2 == 0 -> entry2 = 2 } /* the activation timed out */
  :: d_step { ready && entry2 != 0 && !agreed2 ->
       was = activated1;
       agreed2 = 1;
       assert(!was || activated1); /* an applied activation is not aborted */
       was = 0 }
#ifdef M_NEW_GRANTS /* the second leader grants by what it has applied, before its first entry is committed */
  :: d_step { elected && !ready && plain_until < clock_new + LEASE -> plain_until = clock_new + LEASE; judge() }
#endif
  :: d_step { ready && !activated1 && entry2 != 1 && plain_until < clock_new + LEASE ->
       plain_until = clock_new + LEASE; judge() }
  :: d_step { ready && !activated1 && entry2 == 1 && !agreed2 &&
              plain_until < least(clock_new + LEASE, moment2 - 1) ->
       plain_until = least(clock_new + LEASE, moment2 - 1); judge() }
  :: d_step { ready && activated1 && end_moment == NONE -> end_moment = moment1; judge() }
  :: d_step { ready && activated2 && end_moment == NONE -> end_moment = moment2; judge() }
  :: d_step { ready && activated1 && clock_new >= moment1 && !in_force -> in_force = 1; judge() }
  :: d_step { ready && activated2 && clock_new >= moment2 && !in_force -> in_force = 1; judge() }

  :: now == END -> break
  od
}
