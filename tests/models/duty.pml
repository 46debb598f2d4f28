/* Duties that only one node at a time performs. Checks that fencing tokens never decrease, and that two holders never
 * alternate within one lease time. A node may be paused at any step; the store's answer to a claim may be lost.
 * Mutations: NO_LEASE_CHECK, REUSE_TOKEN, RELEASE. */

#define NODES 2
#define TTL 3      /* lease time in ticks */
#define MARGIN 1   /* remaining lease time in ticks within which a call must arrive */
#define END 8      /* length of the simulation in ticks */

byte clock = 0;

#ifdef NO_LEASE_CHECK
#define LEASE_IS_CURRENT true
#else
#define LEASE_IS_CURRENT (clock + MARGIN < leaseSent[me] + TTL)
#endif

/* The store. */
byte released = 0; /* number of releases by nodes in the mutation RELEASE */
byte holder = 0;   /* node number, 0 for none */
byte leaseEnd = 0;
byte token = 0;

/* Local state of each node, which may be out of date. */
bool held[NODES + 1];
byte knownToken[NODES + 1];
byte leaseSent[NODES + 1];

/* The call in flight to the platform; from node 0: none. */
byte callFrom = 0;
byte callToken = 0;
byte callSentAt = 0;

/* Calls that the platform received. */
byte highestToken = 0;
byte holderOfToken[32];
byte lastActor = 0;
byte previousActor = 0;
byte previousActorTime = 0;
byte lastActorTime = 0;

inline arrive() {
    assert(callToken >= highestToken);
    assert(holderOfToken[callToken] == 0 || holderOfToken[callToken] == callFrom);
    highestToken = callToken;
    holderOfToken[callToken] = callFrom;
    if
    :: callFrom != lastActor ->
        assert(previousActor != callFrom || callSentAt - previousActorTime >= TTL);
        previousActor = lastActor;
        previousActorTime = lastActorTime;
        lastActor = callFrom
    :: else
    fi;
    lastActorTime = callSentAt;
    callFrom = 0
}

proctype Node(byte me) {
    byte sent;
    do
    :: atomic { clock < END && !held[me] && holder == 0 ->
            sent = clock;
            holder = me;
            leaseEnd = clock + TTL;
#ifndef REUSE_TOKEN
            token++
#else
            if :: token == 0 -> token = 1 :: else fi
#endif
        };
        /* The answer may come later or be lost; reading back finds the node's own claim while it is valid. */
        if
        :: atomic { holder == me -> held[me] = true; knownToken[me] = token; leaseSent[me] = sent }
        :: skip
        fi
    :: atomic { clock < END && held[me] && holder == me ->
            sent = clock;
            leaseEnd = clock + TTL
        };
        leaseSent[me] = sent
    :: atomic { held[me] && holder != me -> held[me] = false }
    :: atomic { clock < END && held[me] && callFrom == 0 && LEASE_IS_CURRENT ->
            callFrom = me;
            callToken = knownToken[me];
            callSentAt = clock
        }
#ifdef RELEASE
    :: atomic { held[me] && holder == me && callFrom != me && released < 3 ->
            holder = 0;
            held[me] = false;
            released++
        }
#endif
    :: clock >= END -> break
    od
}

/* Advances the clock unless a call in flight would arrive late. */
proctype Time() {
    do
    :: atomic { callFrom != 0 -> arrive() }
    :: atomic { clock < END && (callFrom == 0 || clock < callSentAt + MARGIN) ->
            clock++;
            if
            :: holder != 0 && clock >= leaseEnd -> holder = 0
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
        run Time()
    }
}
