/*
 * Models the ownership of one slot of idempotency keys by two entry processes, for one key.
 *
 * A caller sends attempts with the key to either process. Each process may pause between any two of its steps
 * for any time; a crash is a pause without an end. Requests to the store and its responses may be lost.
 * Safety does not depend on leases, so a takeover is allowed at any time.
 *
 * Checked: the call runs at most once; an attempt that was reported as "not run" did not run; a replay follows a run.
 *
 * transition in this model     function of the code (src/libhemlock, src/entry)
 * ---------------------------  -------------------------------------------------------------------------
 * Store                        the store's transaction with a compare on the mod revision
 * arrive                       SlotOwner::submit, admit, admitKnownKey
 * forward                      IntentCoordinator::forward, TransactionalCall::forwarded
 * claim                        SlotOwner::onRecordRead, claim; KeyTable::load makes open intents tombstones
 * plan                         SlotOwner::startCommit, KeyTable::plan
 * answered, readBack           SlotOwner::onCommitResult, readBack, settleCommit
 * confirm                      SlotOwner::confirm, KeyTable::confirm
 * loseOwnership                SlotOwner::loseOwnership
 * dispatch                     SlotOwner::dispatch, TransactionalCall::nextAttempt
 * complete                     SlotOwner::complete, KeyTable::setRan, setUnknown, setNotRun
 * deadline                     SlotOwner::onDeadline
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

/* A process sends one commit per base revision, so both identify it; a counter would multiply the states. */
#define COMMIT_ID (1 + me + 2 * pendingBaseRevision)
#define NO_OWNER 2
#define ABANDONED_FLAG 8 /* Marks an attempt whose sender no longer waits for the owner's answer. */

mtype = { none, open, tombstone, done }; /* State of the key in the record. */
mtype = { absent, waiting, ready, running, ran, unknown }; /* State of the key in the memory of a process. */
mtype = { notRun, answered, mayHaveRun }; /* Verdict that is reported for an attempt. */

/* The record in the store. */
byte revision = 0;
byte owner = NO_OWNER;
byte commitId = 0;
mtype intent = none;

chan toStore[2] = [1] of { byte, byte, mtype, byte }; /* base revision, owner, intent, commit identifier; a
                                                         * retry has the same content, so one suffices */
chan fromStore[2] = [1] of { byte, bool }; /* commit identifier, whether the compare held */
chan arrivals[2] = [1] of { byte }; /* Forwarded attempts. */
byte sentAttempts = 0; /* Attempts that the caller has sent. */

byte losses = LOSSES; /* Messages that may still be lost. */

/* Observed history of the call, for the assertions. */
byte runs = 0;
bool attemptRan[ATTEMPTS + 1];
bool wasToldNotRun[ATTEMPTS + 1];
bool mayRunAtFormerOwner[ATTEMPTS + 1]; /* A former owner may run a copy of the attempt. */

inline report(attempt, verdict)
{
    if
    :: attempt >= ABANDONED_FLAG -> skip
    :: else ->
        if
#ifndef FORGET_FORWARDING
        :: verdict == notRun && mayRunAtFormerOwner[attempt] -> skip /* It is reported as may-have-run. */
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
    :: baseRevision == revision ->
#endif
        revision++;
        owner = newOwner;
        intent = newIntent;
        commitId = id;
        compareHeld = true
#ifndef NO_FENCE
    :: else -> compareHeld = false
#endif
    fi;
    if
    :: nfull(fromStore[process]) -> fromStore[process]!id, compareHeld
    :: nfull(fromStore[process]) && losses > 0 -> losses-- /* The response is lost. */
    :: full(fromStore[process]) -> skip /* An earlier response is still unread: the process settled that commit by reading back. */
    fi
}

active proctype Store()
{
    byte baseRevision, newOwner, id;
    mtype newIntent;
    bool compareHeld;
end:
    do
    :: atomic { toStore[0]?baseRevision, newOwner, newIntent, id -> apply(0); baseRevision = 0; newOwner = 0; id = 0; newIntent = none; compareHeld = false }
    :: atomic { toStore[1]?baseRevision, newOwner, newIntent, id -> apply(1); baseRevision = 0; newOwner = 0; id = 0; newIntent = none; compareHeld = false }
    :: atomic { losses > 0 && nempty(toStore[0]) ->
        toStore[0]?baseRevision, newOwner, newIntent, id; losses--; baseRevision = 0; newOwner = 0; id = 0; newIntent = none }
    :: atomic { losses > 0 && nempty(toStore[1]) ->
        toStore[1]?baseRevision, newOwner, newIntent, id; losses--; baseRevision = 0; newOwner = 0; id = 0; newIntent = none }
    od
}

inline loseOwnership()
{
    owns = false;
    pendingCommitId = 0;
    pendingBaseRevision = 0;
    pendingIntent = none;
    confirmedRevision = 0;
    recordedIntent = none;
    hasNewIntent = false;
    if
    :: keyPhase == waiting -> skip /* The attempt waits for the next owner. */
    :: else ->
        keyPhase = absent
    fi
}

inline confirm()
{
    pendingCommitId = 0;
    confirmedRevision = pendingBaseRevision + 1;
    if
    :: !owns ->
        owns = true;
        keyPhase = (pendingIntent == tombstone -> unknown : (pendingIntent == done -> ran : absent));
        /* The attempt that led to the claim is admitted like any other. */
        if
        :: waiter != 0 && keyPhase == absent -> keyPhase = waiting
        :: waiter != 0 && keyPhase == unknown -> report(waiter, mayHaveRun); waiter = 0
        :: waiter != 0 && keyPhase == ran -> assert(runs > 0); report(waiter, answered); waiter = 0
        :: else -> skip
        fi
    :: else ->
        recordedIntent = pendingIntent;
        if
        :: hasNewIntent && keyPhase == waiting && waiter != 0 -> keyPhase = ready
        :: hasNewIntent && keyPhase == waiting && waiter == 0 -> keyPhase = absent
        :: else -> skip
        fi
    fi;
    pendingBaseRevision = 0;
    pendingIntent = none;
    hasNewIntent = false
}

inline sendCommit()
{
    toStore[me]!pendingBaseRevision, me, pendingIntent, pendingCommitId
}

inline settleCommit()
{
    if
    :: commitId == pendingCommitId ->
        confirm()
    :: commitId != pendingCommitId && revision == pendingBaseRevision && nfull(toStore[me]) ->
        sendCommit()
    :: commitId != pendingCommitId && revision != pendingBaseRevision ->
        loseOwnership()
    fi
}

proctype Entry(byte me)
{
    bool owns = false;
    byte confirmedRevision = 0; /* Revision of the record as last confirmed. */
    mtype recordedIntent = none; /* Intent in the record as last confirmed. */
    mtype keyPhase = absent;
    byte waiter = 0; /* Attempt that waits for its commit, or runs. */
    byte pendingCommitId = 0; /* Commit identifier in flight. */
    byte pendingBaseRevision = 0;
    mtype pendingIntent = none;
    bool hasNewIntent = false; /* Whether the commit in flight contains the waiting intent. */
    mtype outcome = notRun;
    byte attempt, id;
    bool compareHeld;
end:
    do
    /* arrive: from the caller, which sends to either process, or from a peer. */
    :: atomic { sentAttempts < ATTEMPTS || nempty(arrivals[me]) ->
        if
        :: sentAttempts < ATTEMPTS -> sentAttempts++; attempt = sentAttempts
        :: nempty(arrivals[me]) -> arrivals[me]?attempt
        fi;
        if
        :: !owns && waiter == 0 -> waiter = attempt
        :: !owns && waiter != 0 -> report(attempt, mayHaveRun)
        :: else ->
        if
        :: keyPhase == absent -> keyPhase = waiting; waiter = attempt
        :: keyPhase == waiting && waiter == 0 -> waiter = attempt
        :: keyPhase == unknown -> report(attempt, mayHaveRun)
        :: keyPhase == ran -> assert(runs > 0); report(attempt, answered)
        :: else -> report(attempt, mayHaveRun) /* It waits for another attempt until its deadline. */
        fi
        fi; attempt = 0 }

    /* forward: the owner takes the attempt, or the sender stops waiting for the owner and decides again. */
    :: atomic { !owns && pendingCommitId == 0 && waiter != 0 && owner == 1 - me && nfull(arrivals[1 - me]) ->
        if
        :: arrivals[1 - me]!waiter; waiter = 0; keyPhase = absent
        :: waiter < ABANDONED_FLAG && !mayRunAtFormerOwner[waiter] ->
            mayRunAtFormerOwner[waiter] = true;
            arrivals[1 - me]!waiter + ABANDONED_FLAG
        fi }

    /* claim */
    :: atomic { !owns && pendingCommitId == 0 && waiter != 0 && owner != me && revision < MAX_REVISION && nfull(toStore[me]) ->
        pendingBaseRevision = revision;
#ifdef FORGET_OPEN_INTENTS
        pendingIntent = (intent == open -> none : intent);
#else
        pendingIntent = (intent == open -> tombstone : intent);
#endif
        recordedIntent = pendingIntent;
        pendingCommitId = COMMIT_ID;
        sendCommit() }
    /* claim: a process that no longer knows of its own ownership claims again; its open intents become tombstones. */
    :: atomic { !owns && pendingCommitId == 0 && waiter != 0 && owner == me && revision < MAX_REVISION && nfull(toStore[me]) ->
        pendingBaseRevision = revision;
        pendingIntent = (intent == open -> tombstone : intent);
        recordedIntent = pendingIntent;
        pendingCommitId = COMMIT_ID;
        sendCommit() }

    /* plan */
    :: atomic { nfull(toStore[me]) && owns && pendingCommitId == 0 && confirmedRevision < MAX_REVISION &&
            ((keyPhase == waiting && waiter != 0) || (keyPhase == ran && recordedIntent != done) ||
             (keyPhase == unknown && recordedIntent != tombstone) || (keyPhase == absent && recordedIntent == open)) ->
        pendingBaseRevision = confirmedRevision;
        hasNewIntent = (keyPhase == waiting);
        pendingIntent = ((keyPhase == waiting || keyPhase == running) -> open
                         : (keyPhase == ran -> done : (keyPhase == unknown -> tombstone : none)));
        pendingCommitId = COMMIT_ID;
        sendCommit();
#ifdef DISPATCH_BEFORE_COMMIT
        if
        :: keyPhase == waiting -> keyPhase = ready
        :: else -> skip
        fi
#endif
        }

    /* answered */
    :: atomic { fromStore[me]?id, compareHeld ->
        if
        :: id != pendingCommitId || pendingCommitId == 0 -> skip /* Response to a commit that was already settled by reading back. */
        :: id == pendingCommitId && pendingCommitId != 0 && compareHeld -> confirm()
        :: id == pendingCommitId && pendingCommitId != 0 && !compareHeld -> settleCommit()
        fi; id = 0; compareHeld = false }

    /* readBack: the response is late or lost. */
    :: atomic { pendingCommitId != 0 && empty(fromStore[me]) ->
#ifdef LOST_ANSWER_IS_SUCCESS
        confirm()
#else
        settleCommit()
#endif
        }

    /* dispatch */
    :: atomic { keyPhase == ready ->
        keyPhase = running;
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
    :: atomic { keyPhase == running ->
        report(waiter, outcome);
        waiter = 0;
        if
        :: outcome == answered -> keyPhase = ran
#ifdef RETRY_MAY_HAVE_RUN
        :: outcome == mayHaveRun -> keyPhase = absent
#else
        :: outcome == mayHaveRun -> keyPhase = unknown
#endif
        :: outcome == notRun -> keyPhase = absent
        fi;
        outcome = notRun }

    /* deadline */
    :: atomic { waiter != 0 && (keyPhase == waiting || keyPhase == absent) ->
        report(waiter, notRun);
        waiter = 0;
        if
        :: keyPhase == waiting && hasNewIntent -> skip
        :: else -> keyPhase = absent
        fi }
    od
}

init
{
    atomic { run Entry(0); run Entry(1) }
}
