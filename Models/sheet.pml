/* Acceptance of sheets: sheet_submission in Libraries/sheet. sheet_propagation.pml models what follows.
 *
 * Two operators submit one sheet each, with or without the version that it was edited from; the first crashes
 * at most once and repeats its submission under the same id. A transaction may be delayed, sent twice, or lose
 * its answer. Any process may pause between two steps. Reads of the table are taken to see all transactions that
 * took effect before them.
 *
 * Each mutant removes one guard and must be rejected:
 * mutant NO_VERSION_CONDITION: the transaction does not require the current version to be unchanged
 * mutant NO_SUBMISSION_CONDITION: the transaction does not require the submission row to be absent
 * mutant NO_FIRST_READ: a repeated submission does not look for its submission row
 * mutant FIRST_READ_SUBMISSION_FIRST: a repeated submission reads its submission row before the current version
 * mutant READ_BACK_SUBMISSION_FIRST: the submission row is read back before the current version
 * mutant CONFLICT_IF_ABSENT: a missing submission row is a conflict although the current version has not moved
 * mutant IGNORE_OWN_ROW: a transaction refused because of the own submission row is a conflict
 * mutant CERTAIN_AFTER_LOSS: a submission given up after a lost answer claims to have had no effect
 */

#define OPERATORS 2
#define MAX_VERSIONS 5

mtype = { committed, conflict_own, conflict_other };

/* The table: newest version, owner of each version's text (operator + 1), version of each submission. */
byte current;
byte owner[MAX_VERSIONS];
byte submission[OPERATORS];

/* Claims of operators that nothing took effect and nothing will. */
bool claims_conflict[OPERATORS];
byte claims_certain[OPERATORS]; /* Incarnation + 1 that claims it for its own transaction. */

/* operator, incarnation, version read before the transaction */
chan transactions = [3] of { byte, byte, byte };
chan answers[OPERATORS] = [1] of { mtype };
byte incarnation[OPERATORS];
bool sent_twice;

inline apply(op, from, outcome)
{
    if
#ifndef NO_SUBMISSION_CONDITION
    :: submission[op] != 0 -> outcome = conflict_own
#endif
    :: else ->
        if
#ifndef NO_VERSION_CONDITION
        :: current != from -> outcome = conflict_other
#endif
        :: else ->
            outcome = committed;
            assert(owner[from + 1] == 0);      /* No accepted sheet is replaced. */
            assert(submission[op] == 0);       /* No submission is accepted twice. */
            assert(!claims_conflict[op]);
            owner[from + 1] = op + 1;
            submission[op] = from + 1;
            current = from + 1
        fi
    fi
}

active proctype table()
{
    byte op, sender, from;
    mtype outcome;
end:
    do
    :: atomic {
        transactions?op, sender, from;
        apply(op, from, outcome);
        assert(outcome != committed || claims_certain[op] != sender + 1);
        if
        :: !sent_twice -> sent_twice = true; transactions!op, sender, from
        :: true
        fi;
        if
        :: sender == incarnation[op] && empty(answers[op]) -> answers[op]!outcome
        :: true /* The answer is lost. */
        fi;
        op = 0; sender = 0; from = 0; outcome = 0
       }
    od
}

inline accept(op)
{
    assert(submission[op] != 0 && owner[submission[op]] == op + 1)
}

inline report_conflict(op)
{
    atomic { assert(submission[op] == 0); claims_conflict[op] = true }
}

proctype submit(byte op)
{
    byte from;
    bool has_moved, is_found;
    byte repeats;
    bool has_base; /* Whether the operator expects the current version to be 0. */
    if
    :: has_base = true
    :: true
    fi;
begin:
#ifndef FIRST_READ_SUBMISSION_FIRST
    from = current;
#endif
#ifndef NO_FIRST_READ
    if
    :: submission[op] != 0 -> accept(op); goto done
    :: else
    fi;
#endif
#ifdef FIRST_READ_SUBMISSION_FIRST
    from = current;
#endif
    if
    :: has_base && from != 0 -> report_conflict(op); goto done
    :: else
    fi;
    if
    :: transactions!op, incarnation[op], from
    :: claims_certain[op] = incarnation[op] + 1; goto done /* The table cannot be reached. */
    fi;
    if
    :: answers[op]?committed -> accept(op); goto done
#ifdef IGNORE_OWN_ROW
    :: answers[op]?conflict_own -> report_conflict(op); goto done
#else
    :: answers[op]?conflict_own -> accept(op); goto done
#endif
    :: answers[op]?conflict_other -> report_conflict(op); goto done
    :: true /* No answer in time. */
    :: atomic { op == 0 && incarnation[op] == 0 -> incarnation[op] = 1; goto crashed }
    fi;
read_back:
#ifdef READ_BACK_SUBMISSION_FIRST
    is_found = submission[op] != 0;
    has_moved = current != from;
#else
    has_moved = current != from;
    is_found = submission[op] != 0;
#endif
    if
    :: is_found -> accept(op)
#ifdef CONFLICT_IF_ABSENT
    :: !is_found -> report_conflict(op)
#else
    :: !is_found && has_moved -> report_conflict(op)
    :: !is_found && !has_moved && repeats < 1 -> repeats++; goto read_back
    :: !is_found && !has_moved && repeats == 1 ->
#ifdef CERTAIN_AFTER_LOSS
        claims_certain[op] = incarnation[op] + 1
#else
        skip /* Unresolved; nothing is claimed. */
#endif
#endif
    fi;
    goto done;
crashed:
    atomic {
        do
        :: answers[op]?_
        :: empty(answers[op]) -> break
        od;
        from = 0
    };
    goto begin;
done:
    skip
}

init
{
    atomic {
        run submit(0);
        run submit(1)
    }
}
