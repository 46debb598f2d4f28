/*
 * Ownership of one slot of idempotency keys by two entry processes, for one key.
 *
 * A caller sends attempts with the key to either process. Each process may be paused at any point (any process may
 * stand still between two of its steps for any time; a crash is a pause without an end), and messages to the store and
 * its answers may be lost.
 * A lease says nothing about safety, so a takeover is allowed at any time.
 *
 * Checked: the call runs at most once; an attempt that was told "not run" was not run; a replay follows a run.
 *
 * transition in this model     function of the code (src/libhemlock, src/entry)
 * ---------------------------  -------------------------------------------------------------------------
 * Store                        the store's transaction with a compare on the mod revision
 * arrive                       SlotOwner::submit, admit, admitKnown
 * forward                      IntentGate::forward, TransactionalCall::forwarded
 * claim                        SlotOwner::recordRead, claim; KeyTable::load makes open intents tombstones
 * plan                         SlotOwner::startCommit, KeyTable::plan
 * answered, readBack           SlotOwner::commitAnswered, readBack, settle
 * confirm                      SlotOwner::confirm, KeyTable::confirm
 * lose                         SlotOwner::lose
 * dispatch                     SlotOwner::dispatch, TransactionalCall::nextAttempt
 * complete                     SlotOwner::complete, KeyTable::setRan, setUnknown, setNotRun
 * deadline                     SlotOwner::deadlineReached
 *
 * Mutations, each of which must violate an assertion: NO_FENCE, DISPATCH_BEFORE_COMMIT, RETRY_MAY_HAVE_RUN,
 * FORGET_OPEN_INTENTS, LOST_ANSWER_IS_SUCCESS, FORGET_FORWARDING.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef MAX_REVISION
#define MAX_REVISION 4 /* Bounds the number of commits that take effect. */
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

/* A process sends one commit per base revision, so process and base name it; a counter would multiply the states. */
#define COMMIT_ID (1 + me + 2 * pendingBase)
#define NOBODY 2
#define COPY 8 /* Marks an attempt whose sender no longer waits for the owner's answer. */

mtype = { none, open, tombstone, done }; /* Intent in the record. */
mtype = { absent, waiting, ready, running, ran, unknown }; /* Key in a process's memory. */
mtype = { notRun, answered, mayHaveRun }; /* What an attempt is told. */

/* The record in the store. */
byte revision = 0;
byte owner = NOBODY;
byte commitId = 0;
mtype intent = none;

chan toStore[2] = [1] of { byte, byte, mtype, byte }; /* base revision, owner, intent, commit identifier; a
                                                         * repeated sending has the same content, so one suffices */
chan fromStore[2] = [1] of { byte, bool }; /* commit identifier, whether the compare held */
chan arrivals[2] = [1] of { byte }; /* Forwarded attempts. */
byte sent = 0; /* Attempts that the caller has sent. */

byte losses = LOSSES;

/* What happened to the call. */
byte runs = 0;
bool attemptRan[ATTEMPTS + 1];
bool wasToldNotRun[ATTEMPTS + 1];
bool isUncertain[ATTEMPTS + 1]; /* A former owner may run a copy of the attempt. */

inline tell(attempt, verdict)
{
    if
    :: attempt >= COPY -> skip
    :: else ->
        if
#ifndef FORGET_FORWARDING
        :: verdict == notRun && isUncertain[attempt] -> skip /* It is told that it may have run. */
#endif
        :: else ->
            wasToldNotRun[attempt] = (verdict == notRun);
            assert(verdict != notRun || !attemptRan[attempt])
        fi
    fi
}

inline apply(process)
{
    if
#ifdef NO_FENCE
    :: true ->
#else
    :: base == revision ->
#endif
        revision++;
        owner = newOwner;
        intent = newIntent;
        commitId = id;
        holds = true
#ifndef NO_FENCE
    :: else -> holds = false
#endif
    fi;
    if
    :: nfull(fromStore[process]) -> fromStore[process]!id, holds
    :: nfull(fromStore[process]) && losses > 0 -> losses-- /* The answer is lost. */
    :: full(fromStore[process]) -> skip /* The process has settled an earlier commit by reading it back. */
    fi
}

active proctype Store()
{
    byte base, newOwner, id;
    mtype newIntent;
    bool holds;
end:
    do
    :: atomic { toStore[0]?base, newOwner, newIntent, id -> apply(0); base = 0; newOwner = 0; id = 0; newIntent = none; holds = false }
    :: atomic { toStore[1]?base, newOwner, newIntent, id -> apply(1); base = 0; newOwner = 0; id = 0; newIntent = none; holds = false }
    :: atomic { losses > 0 && nempty(toStore[0]) ->
        toStore[0]?base, newOwner, newIntent, id; losses--; base = 0; newOwner = 0; id = 0; newIntent = none }
    :: atomic { losses > 0 && nempty(toStore[1]) ->
        toStore[1]?base, newOwner, newIntent, id; losses--; base = 0; newOwner = 0; id = 0; newIntent = none }
    od
}

inline lose()
{
    owns = false;
    pending = 0;
    pendingBase = 0;
    pendingIntent = none;
    base = 0;
    recorded = none;
    isNew = false;
    if
    :: key == waiting -> skip /* The attempt waits for the next owner. */
    :: else ->
        key = absent
    fi
}

inline confirm()
{
    pending = 0;
    base = pendingBase + 1;
    if
    :: !owns ->
        owns = true;
        key = (pendingIntent == tombstone -> unknown : (pendingIntent == done -> ran : absent));
        /* The attempt that led to the claim is admitted like any other. */
        if
        :: waiter != 0 && key == absent -> key = waiting
        :: waiter != 0 && key == unknown -> tell(waiter, mayHaveRun); waiter = 0
        :: waiter != 0 && key == ran -> assert(runs > 0); tell(waiter, answered); waiter = 0
        :: else -> skip
        fi
    :: else ->
        recorded = pendingIntent;
        if
        :: isNew && key == waiting && waiter != 0 -> key = ready
        :: isNew && key == waiting && waiter == 0 -> key = absent
        :: else -> skip
        fi
    fi;
    pendingBase = 0;
    pendingIntent = none;
    isNew = false
}

inline send()
{
    toStore[me]!pendingBase, me, pendingIntent, pending
}

inline settle()
{
    if
    :: commitId == pending ->
        confirm()
    :: commitId != pending && revision == pendingBase && nfull(toStore[me]) ->
        send()
    :: commitId != pending && revision != pendingBase ->
        lose()
    fi
}

proctype Entry(byte me)
{
    bool owns = false;
    byte base = 0; /* Revision of the record as last confirmed. */
    mtype recorded = none; /* Intent in the record as last confirmed. */
    mtype key = absent;
    byte waiter = 0; /* Attempt that waits for its commit, or runs. */
    byte pending = 0; /* Commit identifier in flight. */
    byte pendingBase = 0;
    mtype pendingIntent = none;
    bool isNew = false; /* Whether the commit in flight contains the waiting intent. */
    mtype outcome = notRun;
    byte attempt, id;
    bool holds;
end:
    do
    /* arrive: from the caller, which sends to either process, or from a peer. */
    :: atomic { sent < ATTEMPTS || nempty(arrivals[me]) ->
        if
        :: sent < ATTEMPTS -> sent++; attempt = sent
        :: nempty(arrivals[me]) -> arrivals[me]?attempt
        fi;
        if
        :: !owns && waiter == 0 -> waiter = attempt
        :: !owns && waiter != 0 -> tell(attempt, mayHaveRun)
        :: else ->
        if
        :: key == absent -> key = waiting; waiter = attempt
        :: key == waiting && waiter == 0 -> waiter = attempt
        :: key == unknown -> tell(attempt, mayHaveRun)
        :: key == ran -> assert(runs > 0); tell(attempt, answered)
        :: else -> tell(attempt, mayHaveRun) /* It waits for another attempt until its deadline. */
        fi
        fi; attempt = 0 }

    /* forward: the owner takes the attempt, or its sender gives the owner up and decides anew. */
    :: atomic { !owns && pending == 0 && waiter != 0 && owner == 1 - me && nfull(arrivals[1 - me]) ->
        if
        :: arrivals[1 - me]!waiter; waiter = 0; key = absent
        :: waiter < COPY && !isUncertain[waiter] ->
            isUncertain[waiter] = true;
            arrivals[1 - me]!waiter + COPY
        fi }

    /* claim */
    :: atomic { !owns && pending == 0 && waiter != 0 && owner != me && revision < MAX_REVISION && nfull(toStore[me]) ->
        pendingBase = revision;
#ifdef FORGET_OPEN_INTENTS
        pendingIntent = (intent == open -> none : intent);
#else
        pendingIntent = (intent == open -> tombstone : intent);
#endif
        recorded = pendingIntent;
        pending = COMMIT_ID;
        send() }
    /* A process that lost track of its own ownership claims again; its open intents become tombstones as well. */
    :: atomic { !owns && pending == 0 && waiter != 0 && owner == me && revision < MAX_REVISION && nfull(toStore[me]) ->
        pendingBase = revision;
        pendingIntent = (intent == open -> tombstone : intent);
        recorded = pendingIntent;
        pending = COMMIT_ID;
        send() }

    /* plan */
    :: atomic { nfull(toStore[me]) && owns && pending == 0 && base < MAX_REVISION &&
            ((key == waiting && waiter != 0) || (key == ran && recorded != done) ||
             (key == unknown && recorded != tombstone) || (key == absent && recorded == open)) ->
        pendingBase = base;
        isNew = (key == waiting);
        pendingIntent = ((key == waiting || key == running) -> open
                         : (key == ran -> done : (key == unknown -> tombstone : none)));
        pending = COMMIT_ID;
        send();
#ifdef DISPATCH_BEFORE_COMMIT
        if
        :: key == waiting -> key = ready
        :: else -> skip
        fi
#endif
        }

    /* answered */
    :: atomic { fromStore[me]?id, holds ->
        if
        :: id != pending || pending == 0 -> skip /* Answer to a sending that was settled otherwise. */
        :: id == pending && pending != 0 && holds -> confirm()
        :: id == pending && pending != 0 && !holds -> settle()
        fi; id = 0; holds = false }

    /* readBack: the answer is late or lost. */
    :: atomic { pending != 0 && empty(fromStore[me]) ->
#ifdef LOST_ANSWER_IS_SUCCESS
        confirm()
#else
        settle()
#endif
        }

    /* dispatch */
    :: atomic { key == ready ->
        key = running;
        if
        :: outcome = answered
        :: outcome = mayHaveRun
        :: outcome = notRun
        fi;
        if
        :: outcome != notRun ->
            runs++;
            assert(runs <= 1);
            attemptRan[waiter & 7] = true;
            assert(!wasToldNotRun[waiter & 7])
        :: else -> skip
        fi }

    /* complete */
    :: atomic { key == running ->
        tell(waiter, outcome);
        waiter = 0;
        if
        :: outcome == answered -> key = ran
#ifdef RETRY_MAY_HAVE_RUN
        :: outcome == mayHaveRun -> key = absent
#else
        :: outcome == mayHaveRun -> key = unknown
#endif
        :: outcome == notRun -> key = absent
        fi;
        outcome = notRun }

    /* deadline */
    :: atomic { waiter != 0 && (key == waiting || key == absent) ->
        tell(waiter, notRun);
        waiter = 0;
        if
        :: key == waiting && isNew -> skip
        :: else -> key = absent
        fi }
    od
}

init
{
    atomic { run Entry(0); run Entry(1) }
}
