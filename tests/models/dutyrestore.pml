/*
 * Duties that only one node at a time performs, over a restore of the store from an older copy. The copy may hold any
 * earlier claim; a node may stand still at any step, and an answer may reach it at any time after the store has
 * executed the call. Checks that fencing tokens never decrease and that no two nodes use the same one. To keep the search
 * small, only the first node renews its lease and only the second one restarts.
 *
 * transition in this model     function in the code
 * ---------------------------  ---------------------------------------------------------------
 * learn                        StoreEra::observe, LeaderRole::storeRestored
 * claim                        LeaderRole::readRecords, recordsRead, sendClaim
 * renewal and its answer       LeaderRole::renew
 * call                         DutyRunner::isActing
 *
 * Mutations (spin -D): ANSWER_FIRST handles the answer to a renewal before its era; RESUME goes on with a claim that the
 * copy holds; OLD_TOKENS counts the tokens without the era; NO_WAIT claims the role before a holder whose claim was
 * lost has stopped; FRESH_CLAIM does so in a process that has just started.
 */

#define NODES 2
#define TTL 3      /* lease time in ticks */
#define MARGIN 1   /* remaining lease time in ticks within which a call must arrive */
#define END 5       /* length of the simulation in ticks */
#define PER_ERA 16 /* tokens of one era */

byte clock;

/* The store. */
byte era = 1;
byte holder; /* node number, 0 for none */
byte leaseEnd;
byte token;

bool isCopied, isRestored, isRestarted;
byte copyHolder, copyLease, copyToken; /* copyLease: time left */

/* Local state of each node, which may be out of date. */
bool held[NODES + 1];
byte knownToken[NODES + 1];
byte leaseSent[NODES + 1];
byte knownEra[NODES + 1];
byte claimsFrom[NODES + 1];
bool mayReplace[NODES + 1];

/* The call in flight to the platform; from node 0: none. */
byte callFrom, callToken, callSentAt;

#define IS_OWN_CLAIM (holder == me && token == knownToken[me])
#define IS_FREE (holder == 0 || (mayReplace[me] && IS_OWN_CLAIM))

/* Calls that the platform received. */
byte highestToken, highestHolder;

inline learn(answerEra)
{
    mayReplace[me] = held[me] && clock < leaseSent[me] + TTL;
#ifndef NO_WAIT
    if
    :: mayReplace[me] -> claimsFrom[me] = clock
    :: else -> claimsFrom[me] = clock + TTL
    fi;
#endif
#ifndef RESUME
    held[me] = false;
    leaseSent[me] = 0;
#else
    held[me] = held[me] && IS_OWN_CLAIM;
#endif
    knownEra[me] = answerEra
}

inline loseRole()
{
    held[me] = false;
    knownToken[me] = 0;
    leaseSent[me] = 0
}

inline takeRole()
{
    holder = me;
    leaseEnd = clock + TTL;
#ifndef OLD_TOKENS
    if
    :: token < era * PER_ERA -> token = era * PER_ERA
    :: else
    fi;
#endif
    token++;
    held[me] = true;
    knownToken[me] = token;
    leaseSent[me] = clock;
    mayReplace[me] = false
}

proctype Node(byte me)
{
    byte sent, answerEra;
    bool isRenewing, isExecuted, isValid;

    knownEra[me] = 1;
    do
    :: atomic { clock < END && knownEra[me] != era -> learn(era) }
    :: atomic { clock < END && !held[me] && knownEra[me] == era && clock >= claimsFrom[me] && IS_FREE -> takeRole() }
    :: atomic { clock < END && me == 1 && held[me] && !isRenewing -> isRenewing = true; sent = clock }
    :: atomic { isRenewing && !isExecuted ->
            isExecuted = true;
            answerEra = era;
            isValid = IS_OWN_CLAIM;
            if
            :: isValid -> leaseEnd = clock + TTL
            :: else
            fi
        }
    :: atomic { isRenewing && isExecuted ->
            isRenewing = false;
            isExecuted = false;
#ifdef ANSWER_FIRST
            if
            :: held[me] && isValid -> leaseSent[me] = sent
            :: else
            fi;
#endif
            if
            :: answerEra > knownEra[me] -> learn(answerEra)
            :: answerEra == knownEra[me] && held[me] && isValid -> leaseSent[me] = sent
            :: answerEra == knownEra[me] && held[me] && !isValid -> loseRole()
            :: else
            fi;
            sent = 0;
            answerEra = 0;
            isValid = false
        }
    :: atomic { clock < END && held[me] && callFrom == 0 && clock + MARGIN < leaseSent[me] + TTL ->
            callFrom = me;
            callToken = knownToken[me];
            callSentAt = clock
        }
    /* The process ends and starts again; it knows nothing of before. */
    :: atomic { clock < END && me == 2 && !isRestarted && callFrom != me ->
            isRestarted = true;
            mayReplace[me] = false;
            loseRole();
            knownEra[me] = era;
            claimsFrom[me] = clock;
#ifndef FRESH_CLAIM
            if
            :: token < era * PER_ERA -> claimsFrom[me] = clock + TTL
            :: else
            fi
#endif
        }
    :: clock >= END && !isRenewing -> break
    od
}

proctype Store()
{
    do
    :: atomic { clock < END && !isCopied ->
            isCopied = true;
            copyHolder = holder;
            copyToken = token;
            copyLease = (holder != 0 -> leaseEnd - clock : 0)
        }
    :: atomic { clock < END && isCopied && !isRestored ->
            isRestored = true;
            era++;
            holder = copyHolder;
            token = copyToken;
            leaseEnd = clock + copyLease;
            copyHolder = 0;
            copyToken = 0;
            copyLease = 0
        }
    :: clock >= END -> break
    od
}

/* Advances the clock unless a call in flight would arrive late. */
proctype Time()
{
    do
    :: atomic { callFrom != 0 ->
            assert(callToken >= highestToken);
            assert(callToken > highestToken || highestHolder == callFrom);
            highestToken = callToken;
            highestHolder = callFrom;
            callFrom = 0;
            callToken = 0;
            callSentAt = 0
        }
    :: atomic { clock < END && (callFrom == 0 || clock < callSentAt + MARGIN) ->
            clock++;
            if
            :: holder != 0 && clock >= leaseEnd -> holder = 0; leaseEnd = 0
            :: else
            fi
        }
    :: clock >= END && callFrom == 0 -> break
    od
}

init {
    atomic {
        run Node(1);
        run Node(2);
        run Store();
        run Time()
    }
}
