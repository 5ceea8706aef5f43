/* Two consecutive activations, the second as early as possible: k, then k+1, then k+2 (docs/fleet-as-one.md, "Routes").
   The properties that activation.pml checks are assumed: the log is one sequence, and either of two leaders, whose clocks
   differ by BOUND, may take the next step at any time. Grants are the set of all that were ever sent, the newest of each
   kind; a holder may have received any of them, however late, and may pause at every step.

   Property: no holder places by an older version later than BOUND after the first placed by a newer one. Each macro M_...
   removes one rule, and the check must then fail. */
#define BOUND 1
#define LEASE 3
#define END 20
#define NONE 255

byte now;
byte in_force;            /* versions above k: 0, 1, 2 */
byte next, moment;        /* of the activation that is not complete; next 0: none */
byte settled_moment;      /* of in_force */
byte plain_until[3];      /* leases on a version alone */
byte until[3], turn[3];   /* leases on a version and the next; turn: activation time of the next, 0: never sent */
byte base[3];             /* the version before the next */
byte first[3] = NONE;     /* when a holder first placed by a version */

hidden byte c, h, v, o;
hidden byte may[3];

#ifdef M_TERMLESS /* a grant with an activation time has no end */
#define live(i) 1
#define KEPT 0
#else
#define KEPT 1
#define live(i) (c + BOUND < until[i])
#endif

#ifdef M_NO_WAIT /* the activation time does not wait for leases on the previous version */
#define WAIT 1
#else
#define WAIT (LEASE + 2 * BOUND)
#endif
#ifdef M_SETTLED_AT_ONCE /* the next version is in force, and granted alone, before its activation time */
#define over(c, m) 1
#else
#define over(c, m) (c >= m + BOUND)
#endif

inline judge() {
  for (h : 0 .. 1) {
    c = now + h * BOUND;
    may[0] = (c + BOUND < plain_until[0]);
    may[1] = (c + BOUND < plain_until[1]);
    may[2] = (c + BOUND < plain_until[2]);
    for (v : 1 .. 2) {
      if
      :: turn[v] != 0 && c >= turn[v] && live(v) -> may[v] = 1
      :: turn[v] != 0 && c < turn[v] && live(v) -> may[base[v]] = 1
      :: else
      fi
    }
    for (v : 0 .. 2) {
      if
      :: may[v] ->
         for (o : 0 .. 2) { assert(o <= v || first[o] == NONE || now <= first[o] + BOUND) }
         if
         :: first[v] == NONE -> first[v] = now
         :: else
         fi
      :: else
      fi
    }
  }
  /* Values that have expired are reset, so that equivalent states are merged */
  for (v : 0 .. 2) {
    if
    :: first[v] != NONE && now > first[v] + BOUND -> first[v] = 0
    :: else
    fi;
    if
    :: now + BOUND >= plain_until[v] -> plain_until[v] = 0
    :: else
    fi;
    if
    :: KEPT && now + BOUND >= until[v] -> until[v] = 0; turn[v] = 0; base[v] = 0
    :: else
    fi
  }
  if
  :: now >= settled_moment + BOUND -> settled_moment = 0
  :: else
  fi;
  h = 0; v = 0; o = 0; c = 0; may[0] = 0; may[1] = 0; may[2] = 0
}

inline leader(cl) {
  if
  :: d_step { next == 0 && in_force < 2 ->
       next = in_force + 1;
       moment = cl + WAIT }
#ifdef M_UNSETTLED /* an activation is accepted while the previous one is not complete */
  :: d_step { next == 1 -> next = 2; moment = cl + WAIT }
#endif
  :: d_step { next != 0 && over(cl, moment) -> in_force = next; settled_moment = moment; next = 0; moment = 0 }
  :: d_step { next == 0 && over(cl, settled_moment) && plain_until[in_force] < cl + LEASE ->
       plain_until[in_force] = cl + LEASE; judge() }
  :: d_step { next != 0 && (until[next] < cl + LEASE || turn[next] != moment) ->
       until[next] = cl + LEASE; turn[next] = moment; base[next] = in_force; judge() }
  fi
}

init {
  do
  :: d_step { now < END -> now++; judge() }
  :: leader(now)
  :: leader((now + BOUND))
  :: now == END -> break
  od
}
