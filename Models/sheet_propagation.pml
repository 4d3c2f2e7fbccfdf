/* Propagation of accepted sheets: sheet_register in Libraries/sheet.
 *
 * The table holds accepted versions, which sheet.pml shows to appear one after the other and never to change. Two
 * entry processes read the table and gossip; messages between them are delayed, duplicated and lost, answers of
 * the table are delayed, and the second process restarts once. Any process may pause between two steps.
 *
 * Each mutant removes one guard and must be rejected:
 * mutant REGISTER_ANY: the register takes whatever version is offered
 * mutant CHECK_WITHOUT_LOCK: the register compares versions before it takes its lock, but not again
 * mutant READY_WITHOUT_TABLE: a process is ready with a sheet that the table has not confirmed
 */

#define ENTRIES 2
#define MAX_VERSIONS 2
#define RESTARTING 1 /* The entry process that restarts. */

/* The table: newest version and the text of each version. */
byte current;
byte text_of[MAX_VERSIONS + 1];

byte in_force[ENTRIES];
byte text_in_force[ENTRIES];
byte noted[ENTRIES]; /* Version + 1 that the table confirmed since the start, 0 for none. */
byte epoch[ENTRIES];
byte version_at_start[ENTRIES];
chan gossip[ENTRIES] = [2] of { byte, byte }; /* version, its text */

/* Operators: each version gets one of two texts. */
proctype accept_sheets()
{
    do
    :: atomic { current < MAX_VERSIONS -> text_of[current + 1] = 1; current++ }
    :: atomic { current < MAX_VERSIONS -> text_of[current + 1] = 2; current++ }
    :: current == MAX_VERSIONS -> break
    od
}

/* Puts a version in force if it is newer. The sheet is parsed between the first check and the lock. */
inline offer(e, started, version, text)
{
    if
#ifndef REGISTER_ANY
    :: version <= in_force[e]
#endif
    :: else ->
        atomic {
            if
            :: epoch[e] != started || version == 0 /* The process that read it is gone. */
#ifndef REGISTER_ANY
#ifndef CHECK_WITHOUT_LOCK
            :: epoch[e] == started && version != 0 && version <= in_force[e]
#endif
#endif
            :: else ->
                assert(version >= in_force[e]); /* Never an older one. */
                assert(text == text_of[version] && version <= current);
                in_force[e] = version;
                text_in_force[e] = text
            fi
        }
    fi
}

proctype read_table(byte e, polls)
{
    byte version, text, started;
    do
    :: polls > 0 ->
        atomic { polls--; started = epoch[e]; version = current; text = text_of[version] };
        atomic {
            if
            :: started == epoch[e] && version + 1 > noted[e] -> noted[e] = version + 1
            :: else
            fi
        };
        offer(e, started, version, text)
    :: polls == 0 -> break
    od
}

proctype send_gossip(byte e, messages)
{
    do
    :: messages > 0 && in_force[e] > 0 && nfull(gossip[1 - e]) ->
        atomic { messages--; gossip[1 - e]!in_force[e], text_in_force[e] }
    :: break
    od
}

proctype receive_gossip(byte e)
{
    byte version, text, started;
end:
    do
    :: atomic {
        if
        :: gossip[e]?version, text
        :: gossip[e]?<version, text> /* The message comes again. */
        fi;
        started = epoch[e]
       };
       offer(e, started, version, text)
    od
}

/* Restarts an entry process once, and checks its readiness after that. */
proctype restart(byte e)
{
    atomic {
        epoch[e] = 1;
        in_force[e] = 0;
        text_in_force[e] = 0;
        noted[e] = 0;
        version_at_start[e] = current
    };
end:
    atomic {
#ifdef READY_WITHOUT_TABLE
        in_force[e] > 0;
#else
        in_force[e] > 0 && noted[e] > 0 && in_force[e] + 1 >= noted[e];
#endif
        assert(in_force[e] >= version_at_start[e])
    }
}

/* When nothing else can happen, one more poll and one message bring all processes to the newest version. */
proctype settle()
{
    timeout;
    atomic {
        offer(0, epoch[0], current, text_of[current]);
        offer(1, epoch[1], in_force[0], text_in_force[0]);
        assert(in_force[0] == current && in_force[1] == current)
    }
}

init
{
    atomic {
        run accept_sheets();
        run read_table(0, 2);
        run read_table(RESTARTING, 1);
        run send_gossip(0, 2);
        run receive_gossip(RESTARTING);
        run restart(RESTARTING);
        run settle()
    }
}
