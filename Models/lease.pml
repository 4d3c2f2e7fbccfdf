/* mutants: NO_LEASE_WAIT NO_ORDER_DELAY_WAIT LEASE_FROM_ANSWER NO_EXPIRY_CHECK NO_TOKEN_RAISE NO_CONDITION TRUST_LOST_ANSWER NO_ATTEMPT_CHECK NO_TOKEN_CHECK NO_READBACK NO_RELEASE_WAIT */

/*
 * Lease of one failure domain, its fencing token and the orders to one endpoint, which checks or ignores the
 * token. Two entry processes, the first of which finds no row. Time is a counter that may advance between any
 * two steps, which covers pauses.
 *
 * Faults until the time CALM: pause past the lease, also between the last check and the send, and writes that
 * take effect late or never, without limit; lost, delayed and duplicated order, lost answer, release, and crash
 * with restart, at most FAULTS of them.
 *
 * Properties, all checked by assert:
 *   when a process checks that it may order, no other process has a lease that is valid;
 *   the token rises with each new holder;
 *   when a holder sends an order within its lease, no order is on its way that another holder sent within its
 *   lease, so that an endpoint that ignores the token is safe from orders that were not held up by a pause;
 *   an endpoint that checks the token never goes back to an earlier holder's order;
 *   after the faults have ended, an endpoint has what the holder wants, also one that ignores the token and took
 *   an order that a pause held up.
 *
 * "transition" comments name the rows of docs/orders.md. Each mutant removes one guard and must be rejected.
 */

#define LEASE 2       /* Duration, in ticks. */
#define ORDER_DELAY 1 /* Longest time from the send of an order to its arrival. */
#define CALM 5
#define END 7
#define attempts(p) (2 + p) /* Writes of one process. Process 1 must renew until END. */
#ifdef NO_READBACK
#define FAULTS 0 /* A pause is enough; fewer states are searched until it is found. */
#endif
#ifndef FAULTS
#define FAULTS 1 /* Besides pauses and late writes, which are not limited. */
#endif

#define NOBODY 9

#define IDLE 0
#define WRITING 1
#define ARMED 2 /* Between the last check and the send of an order. */

#define NO_RESULT 0
#define COMMITTED 1
#define CONFLICT 2

#ifdef NO_LEASE_WAIT
#define HELD_WAIT ORDER_DELAY
#else
#ifdef NO_ORDER_DELAY_WAIT
#define HELD_WAIT LEASE
#else
#define HELD_WAIT (LEASE + ORDER_DELAY)
#endif
#endif
#ifdef NO_RELEASE_WAIT
#define RELEASED_WAIT 0
#else
#define RELEASED_WAIT (ORDER_DELAY + 1) /* An order may arrive at the very end of its delay. */
#endif

byte now;
byte faults;

#define may_fail (now < CALM && faults < FAULTS)

/* The row. Version 0 means that it does not exist. */
byte row_version;
byte row_holder = NOBODY;
byte row_token;
byte row_attempt;
byte highest_token;

/* Writes on their way to the table: 2 * process + 0 or 1, so that a write may overtake a late one. */
bool write_out[4];
byte write_version[4];
byte write_token[4];
byte write_holder[4];
byte write_attempt[4];

/* Entry processes. */
byte identity[2];
bool restarted[2];
bool released[2];
byte step[2];
byte result[2];
bool known[2];
byte known_version[2];
byte known_token[2];
byte known_holder[2];
byte unchanged_since[2];
bool holds[2];
byte token[2];
byte valid_until[2];
byte attempt[2];
byte sent_at[8]; /* 4 * process + attempt */
bool checked[2]; /* Has read the endpoint back in this tick. */
bool confirmed[2];

/* Orders on their way to the endpoint. */
bool order_out[2];
byte order_token[2];
byte order_deadline[2];
bool order_in_lease[2];
bool order_repeated[2];

bool checks_token;
byte applied;

#define own_row(p) (row_version != 0 && row_holder == identity[p])
#define lease_valid(p) (holds[p] && !released[p] && now < valid_until[p])

inline lose_lease(p)
{
    holds[p] = false;
    valid_until[p] = 0;
    confirmed[p] = false;
}

/* transition observe */
inline observe(p)
{
    if
    :: !known[p] || known_version[p] != row_version ->
        unchanged_since[p] = now;
        known_version[p] = row_version;
        known_token[p] = row_token;
        known_holder[p] = row_holder
    :: else
    fi;
    known[p] = true;
    if
    :: own_row(p) -> /* transition adopt */
        holds[p] = true;
        token[p] = row_token;
#ifdef NO_ATTEMPT_CHECK
        d_attempt = attempt[p];
#else
        d_attempt = row_attempt;
#endif
#ifdef LEASE_FROM_ANSWER
        d_valid = now + LEASE;
#else
        d_valid = sent_at[4 * p + d_attempt] + LEASE;
#endif
        if
        :: d_valid > valid_until[p] -> valid_until[p] = d_valid
        :: else
        fi;
        /* Values that are not read again are cleared, so that states that differ only in them are one. */
        unchanged_since[p] = 0;
        known_holder[p] = 0;
        do
        :: d_attempt > 1 ->
            d_attempt--;
            sent_at[4 * p + d_attempt] = 0
        :: else -> break
        od
    :: else -> lose_lease(p)
    fi;
    d_attempt = 0;
    d_valid = 0
}

inline send_write(p, holder, new_token)
{
    attempt[p]++;
    sent_at[4 * p + attempt[p]] = now;
    d_slot = 2 * p + (write_out[2 * p] -> 1 : 0);
    write_out[d_slot] = true;
    write_version[d_slot] = known_version[p];
    write_token[d_slot] = new_token;
    write_holder[d_slot] = holder;
    write_attempt[d_slot] = attempt[p];
    d_slot = 0;
    result[p] = NO_RESULT;
    step[p] = WRITING
}

#define may_write(p) (step[p] == IDLE && known[p] && attempt[p] < attempts(p) && \
                      !(write_out[2 * p] && write_out[2 * p + 1]))
#define waited(p) (known_version[p] == 0 || \
                   now >= unchanged_since[p] + (known_holder[p] == NOBODY -> RELEASED_WAIT : HELD_WAIT))
#ifdef NO_TOKEN_RAISE
#define next_token(p) (known_token[p] == 0 -> 1 : known_token[p])
#else
#define next_token(p) (known_token[p] + 1)
#endif
#ifdef NO_EXPIRY_CHECK
#define may_order(p) (holds[p])
#else
#define may_order(p) (lease_valid(p))
#endif

proctype entry_process(byte p)
{
    byte d_attempt;
    byte d_valid;
    byte d_slot;
    do
    :: atomic { step[p] == IDLE && !holds[p] && (!known[p] || known_version[p] != row_version) ->
        observe(p) }

    :: atomic { may_write(p) && !holds[p] && !released[p] && (p == 0 || known_version[p] != 0) && waited(p) -> /* transition take_over */
        send_write(p, identity[p], next_token(p)) }

    :: atomic { may_write(p) && holds[p] && now > sent_at[4 * p + attempt[p]] -> /* transition renew */
        send_write(p, identity[p], token[p]) }

    :: atomic { may_write(p) && holds[p] && may_fail && !released[p] -> /* transition release */
        faults++;
        released[p] = true;
        send_write(p, NOBODY, token[p]);
        /* Orders end before the write is sent. */
        lose_lease(p) }

    /* A later read of the row is the same as a later answer, so that both are one step. */
    :: atomic { step[p] == WRITING && result[p] != NO_RESULT -> /* transition read_back */
        observe(p);
        step[p] = IDLE }

    :: atomic { step[p] == WRITING && result[p] == NO_RESULT && may_fail -> /* transition answer_lost */
        faults++;
#ifdef TRUST_LOST_ANSWER
        if
        :: !released[p] ->
            holds[p] = true;
            token[p] = next_token(p);
            valid_until[p] = sent_at[4 * p + attempt[p]] + LEASE
        :: else -> observe(p)
        fi;
#else
        observe(p);
#endif
        step[p] = IDLE }

    :: atomic { step[p] == IDLE && !released[p] && may_order(p) && !checked[p] -> /* transition check_endpoint */
        assert(!lease_valid(1 - p));
        checked[p] = true;
#ifdef NO_READBACK
        if
        :: confirmed[p] -> skip
        :: !confirmed[p] && applied == token[p] -> confirmed[p] = true
        :: else -> step[p] = ARMED
        fi
#else
        if
        :: applied == token[p] -> skip
        :: else -> step[p] = ARMED
        fi
#endif
        }

    :: atomic { step[p] == ARMED && !(order_out[0] && order_out[1]) -> /* transition send_order */
        if
        :: lease_valid(p) ->
            assert(!(order_out[0] && order_in_lease[0] && order_token[0] != token[p]));
            assert(!(order_out[1] && order_in_lease[1] && order_token[1] != token[p]))
        :: else
        fi;
        d_slot = (order_out[0] -> 1 : 0);
        order_out[d_slot] = true;
        order_token[d_slot] = token[p];
        order_deadline[d_slot] = now + ORDER_DELAY;
        order_in_lease[d_slot] = lease_valid(p);
        order_repeated[d_slot] = false;
        d_slot = 0;
        step[p] = IDLE }

    :: atomic { may_fail && !restarted[p] -> /* transition crash */
        faults++;
        restarted[p] = true;
        released[p] = false;
        identity[p] = identity[p] + 2;
        lose_lease(p);
        known[p] = false;
        checked[p] = false;
        step[p] = IDLE;
        result[p] = NO_RESULT }

    :: atomic { now == END -> break }
    od
}

#define awaited(w) (step[(w) / 2] == WRITING && write_attempt[w] == attempt[(w) / 2])

inline correlate(w, what)
{
    if
    :: awaited(w) ->
        result[(w) / 2] = what
    :: else
    fi
}

#ifdef NO_CONDITION
#define condition_holds(w) (true)
#else
#define condition_holds(w) (write_version[w] == row_version)
#endif

/* A write whose condition can never hold and whose answer nobody awaits is the same as none. */
inline clear_void_write(w)
{
    if
    :: write_out[w] && !awaited(w) && !condition_holds(w) -> clear_write(w)
    :: else
    fi
}

inline take_write(w)
{
    if
    :: condition_holds(w) -> /* transition commit */
        assert(write_holder[w] == NOBODY || write_holder[w] == row_holder || write_token[w] > highest_token);
        if
        :: write_token[w] > highest_token -> highest_token = write_token[w]
        :: else
        fi;
        row_version++;
        row_holder = write_holder[w];
        row_token = write_token[w];
        row_attempt = write_attempt[w];
        correlate(w, COMMITTED);
        clear_write(w);
        clear_void_write(0);
        clear_void_write(1);
        clear_void_write(2);
        clear_void_write(3)
    :: else -> /* transition conflict */
        correlate(w, CONFLICT);
        clear_write(w)
    fi
}

inline clear_write(w)
{
    write_out[w] = false;
    write_version[w] = 0;
    write_token[w] = 0;
    write_holder[w] = 0;
    write_attempt[w] = 0
}

/* A write may stay here until the end, which is a write that never takes effect. */
proctype table()
{
    do
    :: atomic { write_out[0] -> take_write(0) }
    :: atomic { write_out[1] -> take_write(1) }
    :: atomic { write_out[2] -> take_write(2) }
    :: atomic { write_out[3] -> take_write(3) }
    :: atomic { now == END -> break }
    od
}

inline clear_order(o)
{
    order_out[o] = false;
    order_token[o] = 0;
    order_deadline[o] = 0;
    order_in_lease[o] = false;
    order_repeated[o] = false
}

inline receive(o)
{
#ifndef NO_TOKEN_CHECK
    if
    :: checks_token && order_token[o] < applied -> skip /* transition refuse_stale */
    :: else ->
#endif
        assert(!checks_token || order_token[o] >= applied);
        applied = order_token[o] /* transition apply */
#ifndef NO_TOKEN_CHECK
    fi
#endif
    ;
    if
    :: !order_repeated[o] && may_fail -> /* Arrives a second time. */
        faults++;
        order_repeated[o] = true
    :: clear_order(o)
    fi
}

proctype endpoint()
{
    do
    :: atomic { order_out[0] -> receive(0) }
    :: atomic { order_out[1] -> receive(1) }
    :: atomic { order_out[0] && may_fail -> faults++; clear_order(0) }
    :: atomic { order_out[1] && may_fail -> faults++; clear_order(1) }
    :: atomic { now == END -> break }
    od
}

#define overdue(o) (order_out[o] && order_deadline[o] == now)
#define settled(p) (step[p] != ARMED && (checked[p] || released[p] || !lease_valid(p)))
#define in_force(p) (!lease_valid(p) || released[p] || applied == token[p])

proctype clock()
{
    do
    :: atomic { now < END && !overdue(0) && !overdue(1) &&
        /* Without faults, a process waits for no answer, holds up no order and reads back in each tick. */
        (now < CALM - 1 || (step[0] != ARMED && step[1] != ARMED)) &&
        (now < CALM || (settled(0) && settled(1) && !order_out[0] && !order_out[1])) ->
        if
        :: now == END - 1 -> assert(in_force(0) && in_force(1))
        :: else
        fi;
        now++;
        checked[0] = false;
        checked[1] = false }
    :: atomic { now == END -> break }
    od
}

init
{
    atomic {
        identity[0] = 1;
        identity[1] = 2;
        if
        :: checks_token = true
        :: checks_token = false
        fi;
        run entry_process(0);
        run entry_process(1);
        run table();
        run endpoint();
        run clock()
    }
}
