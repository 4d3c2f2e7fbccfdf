/* mutants: TAKE_OVER UNCONDITIONAL_CLAIM SEND_WHEN_UNCERTAIN NO_VOID_BEFORE_NOT_RUN NO_RELEASE_TOKEN TOKEN_NOT_CHAINED TOKEN_FOR_ANY_ATTEMPT SEND_AFTER_GIVE_UP GIVE_UP_WHILE_SENDING BROKEN_AS_VOID NOT_RUN_WHEN_BROKEN LOST_HOLDER_AS_VOID RUNNING_HOLDER_AS_VOID UNCONDITIONAL_CLEANUP */

/*
 * At-most-once claim of one non-idempotent call: one table row, attempts 1 and 2 through two entry processes
 * with faults, then attempt 3 with a healthy table. Attempts 1 and 2 may overlap.
 *
 * Faults: unavailable table, lost answer, write that takes effect late or never, pause at any step, crash of
 * the entry process, unreachable holder, broken connection.
 *
 * Properties, all checked by assert:
 *   at most one attempt sends;
 *   an attempt that answered not_run has not sent and does not send later;
 *   if attempts 1 and 2 both answered not_run, attempt 3 sends, even if both entry processes have crashed.
 *
 * "transition" comments name the rows of docs/claims.md. Each mutant removes one guard and must be rejected.
 */

#define ABSENT 0
#define HELD 1
#define VOID 2
#define DONE 3
#define UNKNOWN 4

#define NO_ANSWER 0
#define NOT_RUN 1
#define ANSWERED 2 /* done or unknown */

#define RUNNING 0
#define ABANDONED 1
#define FINISHED 2

#define bit(attempt) (1 << (attempt))

#ifdef TOKEN_FOR_ANY_ATTEMPT
#define released(attempt) (token != 0)
#else
#define released(attempt) ((token & bit(attempt)) != 0)
#endif

/* The row. Version 0 means that it does not exist, so one comparison covers both conditions. */
byte row_state;
byte row_attempt;
byte row_version;

/* Writes that were sent and may take effect later: 2 * attempt for claims, 2 * attempt + 1 for final rows. */
bool late_out[8];
byte late_condition[8];
byte late_state[8];

byte holder_state[4];
bool crashed[4];
byte answer[4];
byte sent;
bool sent_by[4];
byte caller_token; /* Releases that the caller knows of. */

inline see()
{
    seen_state = row_state;
    seen_attempt = row_attempt;
    seen_version = row_version
}

/* Versions only rise, so a late write whose version has passed is dead. Forgetting it merges equal states. */
inline forget_dead(slot)
{
    if
    :: late_out[slot] && late_condition[slot] < row_version ->
        late_out[slot] = false; late_condition[slot] = 0; late_state[slot] = 0
    :: else -> skip
    fi
}

inline write_row(new_state, new_attempt)
{
    row_state = new_state; row_attempt = new_attempt; row_version++;
    forget_dead(2); forget_dead(3); forget_dead(4); forget_dead(5)
}

inline commit(condition_version, new_state)
{
    d_step {
        if
        :: row_version == condition_version -> write_row(new_state, id); ok = true
        :: else -> ok = false
        fi;
        see()
    }
}

inline send_late(slot, condition_version, new_state)
{
    d_step {
        if
        :: condition_version == row_version ->
            late_out[slot] = true; late_condition[slot] = condition_version; late_state[slot] = new_state
        :: else -> skip
        fi
    }
}

/* The token of an answer replaces the one that was presented with the attempt. */
inline answer_caller(result, new_token)
{
    d_step {
        assert(result != NOT_RUN || !sent_by[id]);
        if
        :: result == NOT_RUN -> caller_token = (caller_token & ~presented) | (new_token)
        :: else -> skip
        fi;
        answer[id] = result
    }
}

inline send_request()
{
    d_step {
        sent++; sent_by[id] = true;
        assert(sent <= 1);
        assert(answer[id] != NOT_RUN)
    }
}

proctype attempt(byte id; byte token; bool healthy)
{
    byte presented = token;
    byte condition = 0; /* transition start */
    byte final = VOID;
    byte seen_state; byte seen_attempt; byte seen_version;
    bool ok;
    {
        skip;
claiming:
        if
        :: atomic {
#ifdef UNCONDITIONAL_CLAIM
            commit(row_version, HELD);
#else
            commit(condition, HELD);
#endif
            if
            :: ok -> condition = seen_version; goto sending /* transition claim_committed */
            :: else -> goto resolve
            fi
           }
        :: atomic { !healthy -> /* transition table_unavailable */
            answer_caller(NOT_RUN, token); goto ended
           }
        :: atomic { !healthy -> /* transition claim_uncertain */
            send_late(2 * id, condition, HELD);
#ifdef SEND_WHEN_UNCERTAIN
            goto sending
#else
            goto reading_back
#endif
           }
        fi;

reading_back:
        if
        :: atomic {
            see();
            if
            :: seen_state == HELD && seen_attempt == id -> /* transition read_own */
                condition = seen_version; goto sending
            :: (seen_state != HELD || seen_attempt != id) && seen_version == condition ->
                /* transition read_nothing */
#ifdef NO_VOID_BEFORE_NOT_RUN
                answer_caller(NOT_RUN, token); goto ended
#else
                goto voiding
#endif
            :: else -> goto resolve /* transition read_other */
            fi
           }
        :: goto abandon /* transition table_unreachable */
        fi;

resolve:
        atomic {
        if
        :: seen_state == VOID -> condition = seen_version; goto claiming /* transition replace_void */
        :: seen_state == DONE -> answer_caller(ANSWERED, 0); goto ended /* transition stored_done */
        :: seen_state == UNKNOWN -> answer_caller(ANSWERED, 0); goto ended /* transition stored_unknown */
        :: seen_state == HELD ->
            assert(seen_attempt != id);
#ifndef TAKE_OVER
            if
            :: released(seen_attempt) -> condition = seen_version; goto claiming /* transition replace_released */
            :: else -> skip /* transition ask_holder */
            fi
#else
            condition = seen_version; goto claiming
#endif
        fi
        }

asking:
        if
        :: atomic { (crashed[seen_attempt] || !healthy) -> /* transition holder_lost */
#ifdef LOST_HOLDER_AS_VOID
            condition = seen_version; goto claiming
#else
            answer_caller(ANSWERED, 0); goto ended
#endif
           }
        :: atomic { !crashed[seen_attempt] && holder_state[seen_attempt] == ABANDONED ->
            /* transition holder_abandoned */
            token = token | bit(seen_attempt); condition = seen_version; goto claiming
           }
        :: atomic { !crashed[seen_attempt] && holder_state[seen_attempt] == RUNNING ->
            /* transition holder_running */
#ifdef RUNNING_HOLDER_AS_VOID
            condition = seen_version; goto claiming
#else
            answer_caller(ANSWERED, 0); goto ended
#endif
           }
        :: atomic { !crashed[seen_attempt] && holder_state[seen_attempt] == FINISHED ->
            /* transition holder_done */
            answer_caller(ANSWERED, 0); goto ended
           }
        fi;

sending: /* The holder has its permission and may pause here for any time. */
        if
        :: atomic { send_request(); /* transition finished */
            final = DONE; holder_state[id] = FINISHED
           }
        :: atomic { send_request(); /* transition broken */
            final = UNKNOWN; holder_state[id] = FINISHED;
#ifdef BROKEN_AS_VOID
            final = VOID;
#endif
#ifdef NOT_RUN_WHEN_BROKEN
            answer_caller(NOT_RUN, token); goto ended
#endif
           }
        :: !healthy -> goto voiding /* transition not_sent */
#ifdef GIVE_UP_WHILE_SENDING
        :: token = token | bit(id); answer_caller(NOT_RUN, token); send_request(); goto ended
#endif
        fi;

        /* The row of a finished attempt: written, lost for good, or late. */
        if
        :: atomic { commit(condition, final); answer_caller(ANSWERED, 0); goto ended } /* transition final_committed */
        :: atomic { !healthy -> answer_caller(ANSWERED, 0); goto ended } /* transition final_lost */
        :: atomic { !healthy -> send_late(2 * id + 1, condition, final); answer_caller(ANSWERED, 0); goto ended }
        fi;

voiding: /* The row of this attempt or nothing is seen, so that only the condition matters. */
        atomic { holder_state[id] = ABANDONED; seen_state = 0; seen_attempt = 0; seen_version = 0 };
        do
        :: atomic {
            commit(condition, VOID);
            if
            :: ok -> token = 0; answer_caller(NOT_RUN, 0); goto ended /* transition void_committed */
            :: !ok && seen_attempt == id && seen_state == HELD ->
                condition = seen_version /* transition late_claim */
            :: !ok && seen_attempt == id && seen_state == VOID ->
                answer_caller(NOT_RUN, 0); goto ended /* transition void_found */
            :: !ok && seen_attempt != id && (seen_state == VOID || (seen_state == HELD && released(seen_attempt))) ->
                answer_caller(NOT_RUN, token); goto ended /* transition void_superseded */
            :: else -> answer_caller(ANSWERED, 0); goto ended /* transition void_other_runs */
            fi
           }
        :: !healthy -> goto abandon
        :: atomic { !healthy -> /* transition void_lost */
            send_late(2 * id + 1, condition, VOID); goto abandon
           }
        od;

abandon: /* transition give_up */
        atomic {
        holder_state[id] = ABANDONED;
#if defined(NO_RELEASE_TOKEN)
        answer_caller(NOT_RUN, token);
#elif defined(TOKEN_NOT_CHAINED)
        answer_caller(NOT_RUN, bit(id));
#else
        token = token | bit(id);
        answer_caller(NOT_RUN, token);
#endif
        token = 0; seen_state = 0; seen_attempt = 0; seen_version = 0
        }
#ifdef SEND_AFTER_GIVE_UP
        if
        :: row_state == HELD && row_attempt == id -> send_request()
        :: skip
        fi;
#endif
        do
        :: atomic { /* transition cleanup */
#ifdef UNCONDITIONAL_CLEANUP
            commit(row_version, VOID);
#else
            commit(condition, VOID);
#endif
            if
            :: !ok && seen_attempt == id && seen_state == HELD ->
                condition = seen_version; seen_state = 0; seen_attempt = 0; seen_version = 0
            :: else -> break
            fi
           }
        od;

ended:
        skip
    } unless { crashed[id] };
    /* Ended attempts that differ in their variables only are equal. */
    d_step {
        token = 0; presented = 0; condition = 0; final = 0; ok = false;
        seen_state = 0; seen_attempt = 0; seen_version = 0; id = 0
    }
}

/* Late writes take effect at any time or never. Those that are not forgotten meet their condition. */
active proctype table()
{
    byte slot;
end:
    do
    :: atomic {
        if
        :: late_out[2] -> slot = 2
        :: late_out[3] -> slot = 3
        :: late_out[4] -> slot = 4
        :: late_out[5] -> slot = 5
        fi;
        d_step {
            write_row(late_state[slot], slot / 2);
            late_out[slot] = false; late_condition[slot] = 0; late_state[slot] = 0;
            slot = 0
        }
       }
    od
}

active proctype environment()
{
end:
    do
    :: d_step { !crashed[1] -> crashed[1] = true; holder_state[1] = 0 }
    :: d_step { !crashed[2] -> crashed[2] = true; holder_state[2] = 0 }
    od
}

active proctype caller()
{
    run attempt(1, 0, false);
    if
    :: (answer[1] != NO_ANSWER || crashed[1]) /* Resends after the answer or the broken connection. */
    :: skip                                   /* Resends while the first attempt runs. */
    fi;
    run attempt(2, caller_token, false);
    ((answer[1] != NO_ANSWER || crashed[1]) && (answer[2] != NO_ANSWER || crashed[2]));
    bool only_not_run = (answer[1] == NOT_RUN && answer[2] == NOT_RUN);
    run attempt(3, caller_token, true);
    (answer[3] != NO_ANSWER);
    assert(!only_not_run || sent == 1)
}
