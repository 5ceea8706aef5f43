/* A prepaid wallet with slices that have a term (docs/fleet-as-one.md, "Wallet"). Three processes: A (0), a later process
   with A's name (1) that may start while A is only paused, and B (2). Every command ever sent may reach the log at any
   later time, any number of times, or never; a process may learn of its result at any later time. Every process may pause
   at every step; a crashed process takes no further step. The error of each clock is 0 or BOUND.

   Properties: workers serve at most what was paid; paid = balance + out + spent after every command. Each macro M_...
   removes one rule, and the check must then fail. */
#define BOUND 1
#define TERM 3
#define END 4
#ifndef PAID
#define PAID 2
#endif
#define SLICE 2 /* units in a slice: this or 1 */

byte now;
bit off_leader, off[3];

/* the record */
bit deposited;
byte paid, balance, spent_all;
byte slice[3];  /* one for each process: 0 none, 1 open, 2 returned, 3 lapsed, 4 reported from the journal */
byte amount[3], term_end[3];

/* commands sent, each value plus 1; 0: never */
byte takes[3], returns[3], found[3];

/* processes */
bit started[3], open[3], closed[3];
bit attempt[3];            /* a unit is reserved and no UP was received yet */
byte spent[3];
byte journal[3];           /* of each slice, on disk: at least the units spent */
#ifdef M_FOUND_EARLY
byte early; /* what the later process read from A's line when it started */
#endif
byte served;

#ifdef M_AFTER_TERM
#define in_term(p) 1
#else
#define in_term(p) (now + off[p] + BOUND < term_end[p])
#endif
#define out_of(s) (slice[s] == 1 -> amount[s] : 0)
#define out_all (out_of(0) + out_of(1) + out_of(2))
#define whole assert(paid == balance + out_all + spent_all)

inline process(p) {
  if
  /* requests a slice until now + TERM by its clock */
  :: d_step { started[p] && takes[p] == 0 -> takes[p] = now + off[p] + TERM + 1 }
  /* learns that it has the slice, however late */
  :: d_step { !open[p] && !closed[p] && slice[p] == 1 -> open[p] = 1 }
  /* reserves a unit, and writes that to its journal before the attempt */
  :: d_step {
       open[p] && !attempt[p] && spent[p] < amount[p] && in_term(p) -> attempt[p] = 1;
#ifndef M_JOURNAL_LAGS
       journal[p] = spent[p] + 1
#endif
     }
  /* UP, which may arrive after the term; or no UP arrived */
  :: d_step { attempt[p] -> served++; assert(served <= PAID); spent[p]++; attempt[p] = 0 }
  :: d_step { attempt[p] -> attempt[p] = 0 }
#ifdef M_JOURNAL_LAGS /* written at some later time */
  :: d_step { journal[p] < spent[p] -> journal[p] = spent[p] }
#endif
  /* returns the slice; a running attempt counts as spent, and nothing more is spent of the slice */
  :: d_step { open[p] && returns[p] == 0 ->
#ifdef M_RETURN_ATTEMPT
       returns[p] = spent[p] + 1;
#else
       returns[p] = spent[p] + attempt[p] + 1;
#endif
#ifndef M_SPEND_RETURNED
       open[p] = 0; closed[p] = 1
#endif
     }
  fi
}

#ifdef M_TAKE_TWICE
#define may_take(s) (takes[s] != 0 && (slice[s] == 0 || slice[s] == 2) && balance > 0)
#else
#define may_take(s) (takes[s] != 0 && slice[s] == 0 && balance > 0)
#endif
#define grant(s, units) slice[s] = 1; amount[s] = units; balance = balance - amount[s]; term_end[s] = takes[s] - 1; whole

/* The record applies commands in order of arrival; duplicates of a command count once. */
inline commands(s) {
  if
#ifdef ANY_GRANT /* any amount: the properties do not depend on it; four times the number of states */
  :: d_step { may_take(s) -> grant(s, 1) }
#else
  :: d_step { may_take(s) && balance < SLICE -> grant(s, 1) }
#endif
#ifdef M_GRANT_OVER /* the price of a call, though the balance is lower */
  :: d_step { may_take(s) -> grant(s, SLICE) }
#else
  :: d_step { may_take(s) && balance >= SLICE -> grant(s, SLICE) }
#endif
  :: d_step { returns[s] != 0 && slice[s] == 1 && returns[s] - 1 <= amount[s] ->
       slice[s] = 2; balance = balance + amount[s] - (returns[s] - 1);
       spent_all = spent_all + returns[s] - 1; whole }
  /* the leader lapses a slice by its clock, once the holder has left the view */
#ifdef M_LAPSE_EARLY
  :: d_step { slice[s] == 1 ->
#else
  :: d_step { slice[s] == 1 && now + off_leader >= term_end[s] ->
#endif
       slice[s] = 3; spent_all = spent_all + amount[s]; whole }
#ifdef M_FOUND_TWICE
  :: d_step { found[s] != 0 && slice[s] >= 3 && spent_all + found[s] > amount[s] && balance < 2 * PAID ->
#else
  :: d_step { found[s] != 0 && slice[s] == 3 ->
#endif
       slice[s] = 4; balance = balance + amount[s] - (found[s] - 1);
       spent_all = spent_all - (amount[s] - (found[s] - 1)); whole }
  fi
}

init {
  byte i;
  select(i : 0 .. 1); off_leader = i;
  select(i : 0 .. 1); off[0] = i; off[1] = i; /* processes 0 and 1 share a clock; B has that of the leader */
  off[2] = off_leader;
  i = 0;
  started[0] = 1; started[2] = 1;
  do
  :: d_step { now < END -> now++ }
#ifdef M_DEPOSIT_TWICE
  :: d_step { paid < 2 * PAID -> paid = paid + PAID; balance = balance + PAID; whole }
#else
  :: d_step { !deposited -> deposited = 1; paid = paid + PAID; balance = balance + PAID; whole }
#endif
  :: process(0)
  :: process(1)
  :: process(2)
  :: commands(0)
  :: commands(1)
  :: commands(2)
  /* A later process with A's name starts, with A crashed or paused, and reports A's journal once the slice has lapsed */
#ifdef M_FOUND_EARLY /* reports the line as read at its start, when A could still resume within the term */
  :: d_step { !started[1] -> started[1] = 1; early = journal[0] }
  :: d_step { started[1] && slice[0] == 3 && found[0] == 0 -> found[0] = early + 1 }
#else
  :: d_step { !started[1] -> started[1] = 1 }
  :: d_step { started[1] && slice[0] == 3 && found[0] == 0 -> found[0] = journal[0] + 1 }
#endif
  :: now == END -> break
  od
}
