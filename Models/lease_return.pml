/*
 * Order of the calls of different machines under one lease: how long a machine waits before it takes the lease
 * again. lease.pml checks who holds the lease and which token; here a write takes effect at once.
 *
 * All times are counters that fall to 0 with the clock, so there is no end of time. A rest is the time until the
 * last call of a machine is LEASE old. The record of the lease names the rests of the machines before the holder,
 * as of the time of the write. Processes observe the record at any time after the write, which covers pauses and
 * outages of the table, and are stopped (release) and killed at any distance. A process is back at once. With three
 * machines the search does not end; the property test of lease_return_test.cpp plays them.
 *
 * Property: when a call of a machine arrives and another machine's call has arrived since its last one, this one
 * is at least LEASE old.
 *
 * "transition" comments name the rows of docs/orders.md.
 *
 * mutant NO_RETURN_WAIT: A released lease is taken after the order delay by any machine.
 * mutant NO_CALLERS: The record does not name the machines before the holder.
 * mutant NO_HOLDER_RECORDED: A takeover of an expired lease does not record the machine that held it.
 * mutant NO_REST_OF_RELEASE: A release records no call of the machine that releases.
 */

#define LEASE 5       /* Duration, in ticks. */
#define ORDER_DELAY 1 /* Longest time from the send of a call to its arrival. */
#define MACHINES 2
#define NOBODY 9
#define LONG (2 * LEASE + ORDER_DELAY) /* Longer than every wait. */

#define minus(a, b) ((a) > (b) -> (a) - (b) : 0)
#define at(p, m) (MACHINES * (p) + (m))

/* The record. */
byte holder = NOBODY;
byte row_rest[MACHINES];
bool written;

/* Of each process. */
bool known[MACHINES];   /* Has observed the record as it is. */
byte since[MACHINES];   /* Time since then. */
byte started[MACHINES]; /* Time since the start. */
bool holds[MACHINES];
byte valid[MACHINES];   /* Time left of the lease. */
bool released[MACHINES];
byte own_rest[MACHINES];
byte history[MACHINES * MACHINES]; /* at(p, m): rest of m that process p writes. */

/* Calls on their way. */
bool call_out[MACHINES];
byte call_left[MACHINES]; /* Time until the call has arrived. */
bool call_of_before[MACHINES];

/* For the property. */
byte early[MACHINES]; /* Time until the last call to arrive is LEASE old. */
bool interrupted[MACHINES];

#define released_row (holder == NOBODY)
#define other_holder(p, m) (holder == (m) && (m) != (p))
/* What process p knows of the rest of another machine. */
#ifdef NO_HOLDER_RECORDED
#define other_rest(p, m) (minus(row_rest[m], since[p]))
#else
#define other_rest(p, m) (other_holder(p, m) -> minus(LONG, since[p]) : minus(row_rest[m], since[p]))
#endif

#define by_record(p) (holder == (p) -> LONG : minus(row_rest[p], since[p]))
#define by_start(p) (minus(LEASE + ORDER_DELAY, started[p]))
#define before_start(p) (by_record(p) < by_start(p) -> by_record(p) : by_start(p))
#define known_own_rest(p) (own_rest[p] > before_start(p) -> own_rest[p] : before_start(p))

#define is_later(p, m) ((m) != (p) && other_rest(p, m) >= known_own_rest(p))
#define other_since(p) (is_later(p, 0) || is_later(p, 1))
#ifdef NO_RETURN_WAIT
#define may_return(p) (true)
#else
#define may_return(p) (known_own_rest(p) == 0 || !other_since(p))
#endif
#define waited(p) (!written || since[p] > (released_row -> ORDER_DELAY : LEASE + ORDER_DELAY))

#define is_recorded(p, m) (true)
#ifdef NO_CALLERS
#undef is_recorded
#define is_recorded(p, m) ((m) == (p))
#endif
#ifdef NO_REST_OF_RELEASE
#undef is_recorded
#define is_recorded(p, m) ((m) != (p))
#endif

inline write_record(w, name)
{
    d_m = 0;
    do
    :: d_m < MACHINES ->
        row_rest[d_m] = (is_recorded(w, d_m) -> history[at(w, d_m)] : 0);
        known[d_m] = false;
        since[d_m] = 0;
        d_m++
    :: else -> break
    od;
    d_m = 0;
    holder = name;
    written = true
}

inline forget(f)
{
    holds[f] = false;
    valid[f] = 0;
    d_m = 0;
    do
    :: d_m < MACHINES -> history[at(f, d_m)] = 0; d_m++
    :: else -> break
    od;
    d_m = 0
}

proctype entry_process(byte p)
{
    byte d_m;
    do
    :: atomic { !known[p] && !(holds[p] && holder == p) -> /* transition observe */
        known[p] = true;
        since[p] = 0;
        if
        :: holds[p] -> forget(p)
        :: else
        fi }

    :: atomic { known[p] && !holds[p] && !released[p] && waited(p) && may_return(p) -> /* transition take_over */
        history[at(p, p)] = known_own_rest(p);
        d_m = 0;
        do
        :: d_m < MACHINES ->
            if
            :: d_m != p && written -> history[at(p, d_m)] = other_rest(p, d_m)
            :: else
            fi;
            d_m++
        :: else -> break
        od;
        write_record(p, p);
        holds[p] = true;
        valid[p] = LEASE }

    :: atomic { holds[p] && holder == p && valid[p] < LEASE && !released[p] -> /* transition renew */
        history[at(p, p)] = (own_rest[p] > history[at(p, p)] -> own_rest[p] : history[at(p, p)]);
        write_record(p, p);
        valid[p] = LEASE }

    :: atomic { holds[p] && holder == p && !released[p] -> /* transition release */
        history[at(p, p)] = (own_rest[p] > history[at(p, p)] -> own_rest[p] : history[at(p, p)]);
        released[p] = true;
        write_record(p, NOBODY);
        forget(p) }

    :: atomic { holds[p] && valid[p] > 0 && !released[p] && !call_out[p] -> /* transition send_order */
        call_out[p] = true;
        call_left[p] = ORDER_DELAY;
        call_of_before[p] = false;
        own_rest[p] = LEASE + ORDER_DELAY }

    :: atomic { call_out[p] -> /* transition apply */
        assert(!(interrupted[p] && early[p] > 0));
        early[p] = LEASE;
        interrupted[p] = false;
        d_m = 0;
        do
        :: d_m < MACHINES ->
            if
            :: d_m != p && early[d_m] > 0 -> interrupted[d_m] = true
            :: else
            fi;
            d_m++
        :: else -> break
        od;
        d_m = 0;
        call_out[p] = false;
        call_left[p] = 0;
        if
        :: !call_of_before[p] -> own_rest[p] = LEASE /* The answer arrives. */
        :: true                                      /* It is lost. */
        fi;
        call_of_before[p] = false }

    :: atomic { started[p] > 0 && (holds[p] || released[p]) -> /* transition crash */
        forget(p);
        known[p] = false;
        since[p] = 0;
        released[p] = false;
        own_rest[p] = 0;
        started[p] = 0;
        call_of_before[p] = call_out[p] }
    od
}

#define fall(value) value = (value > 0 -> value - 1 : 0)
#define rise(value) value = (value < LONG -> value + 1 : LONG)
#define is_due(p) (call_out[p] && call_left[p] == 0)

proctype clock()
{
    byte m;
    byte n;
    do
    :: atomic { !is_due(0) && !is_due(1) ->
        m = 0;
        do
        :: m < MACHINES ->
            if
            :: known[m] -> rise(since[m])
            :: else
            fi;
            rise(started[m]);
            fall(valid[m]);
            fall(own_rest[m]);
            fall(call_left[m]);
            fall(early[m]);
            if
            :: early[m] == 0 -> interrupted[m] = false
            :: else
            fi;
            n = 0;
            do
            :: n < MACHINES -> fall(history[at(m, n)]); n++
            :: else -> break
            od;
            m++
        :: else -> break
        od;
        m = 0;
        n = 0 }
    od
}

init
{
    atomic {
        run entry_process(0);
        run entry_process(1);
        run clock()
    }
}
