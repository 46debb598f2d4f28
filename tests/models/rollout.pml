/* Verdict of a roll-out. Two deciders follow one order; a holder may be paused at any step, and the store may execute a
 * write late, lose its answer, or be restored from an older copy once. Checks that the verdict that operators read never
 * changes, and that the order of a verdict is the one it was decided for. Verdicts are chosen at random, since the counts
 * of two deciders may differ.
 * Mutations: NO_RECORD_COMPARE, NO_ORDER_COMPARE, FORGET_VERDICT. */

#define COMPLETED 1
#define ROLLED_BACK 2

/* The store. Revisions of keys count their writes. */
byte order = 1;       /* number of the operator's latest order */
byte holder = 1;      /* node that holds the duties */
byte verdict = 0;     /* of the record and the status, which one transaction writes */
byte verdictOrder = 0;
byte revision = 0;    /* of the record and the status */

/* What operators have read, by order. */
byte read[3];

/* The verdicts that each node knows, by order. Every node watches the records. */
byte known[3];

/* The write of each node that is on its way, executed at any later time; order 0 for none. */
byte sentOrder[3];
byte sentVerdict[3];
byte sentRevision[3];

inline readVerdict() {
    if
    :: verdict != 0 ->
        assert(verdictOrder == 1 || verdictOrder == 2);
        assert(read[verdictOrder] == 0 || read[verdictOrder] == verdict);
        read[verdictOrder] = verdict
    :: else
    fi
}

#ifdef NO_RECORD_COMPARE
#define RECORD_HOLDS(n) true
#else
#define RECORD_HOLDS(n) (revision == sentRevision[n])
#endif

#ifdef NO_ORDER_COMPARE
#define ORDER_HOLDS(n) true
#else
#define ORDER_HOLDS(n) (order == sentOrder[n])
#endif

#ifdef FORGET_VERDICT
#define KNOWN(o) 0
#else
#define KNOWN(o) known[o]
#endif

/* Executes the write of node n; it changes nothing if a condition fails. */
inline execute(n) {
    if
    :: RECORD_HOLDS(n) && ORDER_HOLDS(n) ->
        /* A verdict for an order that was replaced must never be shown for a service. */
        assert(sentOrder[n] == order);
        verdict = sentVerdict[n];
        verdictOrder = sentOrder[n];
        revision++;
        known[verdictOrder] = verdict;
        readVerdict()
    :: else
    fi;
    sentOrder[n] = 0
}

proctype Node(byte me) {
    byte seenOrder;
    byte seenRevision;
    byte chosen;
    do
    :: holder == me && sentOrder[me] == 0 ->
        /* Reads the order and the record; both reads may be outdated when it decides. */
        atomic { seenOrder = order; seenRevision = revision;
            chosen = 0;
            if
            :: verdict != 0 && verdictOrder == seenOrder -> chosen = 0
            :: else ->
                if
                :: KNOWN(seenOrder) != 0 -> chosen = KNOWN(seenOrder)
                :: else -> if :: chosen = COMPLETED :: chosen = ROLLED_BACK fi
                fi
            fi };
        if
        :: chosen == 0 -> break
        :: else ->
            /* Sent while this node may no longer be the holder. */
            atomic { sentOrder[me] = seenOrder; sentVerdict[me] = chosen; sentRevision[me] = seenRevision }
        fi
    :: atomic { holder != me && sentOrder[me] == 0 -> break }
    :: atomic { holder == me && sentOrder[me] != 0 -> holder = 3 - me; break }
    od
}

/* Executes the writes on their way in any order. */
proctype Store() {
    do
    :: atomic { sentOrder[1] != 0 -> execute(1) }
    :: atomic { sentOrder[2] != 0 -> execute(2) }
    :: timeout -> break
    od
}

/* The duties move; nodes start anew with each holder. */
proctype Elections() {
    holder = 2;
    run Node(2);
    holder = 1;
    run Node(1)
}

proctype Operator() {
    order = 2
}

/* The restored copy is one without the verdict. Revisions are not reused: those of an era differ from all others. */
proctype Restore() {
    atomic { verdict != 0 && verdictOrder == order -> verdict = 0; revision = revision + 100 }
}

init {
    atomic {
        run Node(1);
        run Elections();
        run Operator();
        run Restore();
        run Store()
    }
}
