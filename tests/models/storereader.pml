/*
 * Changes of the store that reach an entry VM through the peer that reads the store for its zone. The store changes a
 * few times; the reader may be paused, cut off from the store, cut off from the VM, or restarted at any time.
 *
 * transition in this model       function in the code
 * -----------------------------  -------------------------------------------------------------------
 * poll of the reader             StorePollRouter::askStore, storeAnswered (storepollrouter.cpp)
 * answer to the VM               StorePollServer::poll, tick, tryAnswer (storepollserver.cpp)
 * poll or fallback of the VM     StorePollRouter::askReader, peerAnswered, askStore
 * restart of the reader          StoreWatcher::load: a full read comes first
 *
 * Time passes in rounds: within a round each live process polls once. An answer of the reader is as old as the reader's
 * own last read; the VM may act on a state that is at most BOUND rounds old, and its revision never decreases.
 *
 * Mutations (spin -D): NO_VALIDITY lets a reader answer however old its last read is; NO_FALLBACK lets a VM wait for a
 * reader that does not answer; OLD_LIST lets a restarted reader answer from the state before the restart.
 */

#define CHANGES 3
#define BOUND 2

byte storeRevision;
byte changeAge[CHANGES + 1]; /* rounds since the store accepted a revision */

byte readerRevision, readerAge; /* state and rounds since the reader's last read */
bool isReaderCut, isReaderSilent, isReaderPaused, isRestarted;

byte vmRevision;
byte rounds;

/* A reader answers only while its own latest read counts. */
#ifdef NO_VALIDITY
#define IS_ANSWERED (!isReaderSilent && !isReaderPaused)
#else
#define IS_ANSWERED (!isReaderSilent && !isReaderPaused && readerAge == 0)
#endif

inline readStore(revision, age)
{
    revision = storeRevision;
    age = 0
}

inline pollAsVm()
{
    if
    :: IS_ANSWERED ->
        /* A VM that read the store itself may know more than the reader. */
        if
#ifdef OLD_LIST
        :: true -> vmRevision = readerRevision
#else
        :: readerRevision > vmRevision -> vmRevision = readerRevision
#endif
        :: else -> skip
        fi
    :: else ->
#ifdef NO_FALLBACK
        skip
#else
        vmRevision = storeRevision
#endif
    fi
}

active proctype System()
{
    byte i, before;

    do
    :: rounds < 7 ->
        atomic {
            rounds++;
            /* Faults begin and end. */
            if
            :: isReaderCut = !isReaderCut
            :: isReaderSilent = !isReaderSilent
            :: isReaderPaused = !isReaderPaused
            :: isRestarted = true
            :: skip
            fi;
            if
            :: storeRevision < CHANGES -> storeRevision++; changeAge[storeRevision] = 0
            :: skip
            fi;
            if
            :: !isReaderCut && !isReaderPaused -> readStore(readerRevision, readerAge)
            :: else -> readerAge++
            fi;
            if
#ifdef OLD_LIST
            :: isRestarted -> readerRevision = 0; readerAge = 0
#else
            /* A restarted reader that has not read the store has no answer. */
            :: isRestarted && (isReaderCut || isReaderPaused) -> readerRevision = 0; readerAge = 1
#endif
            :: else -> skip
            fi;
            isRestarted = false;
            before = vmRevision;
            pollAsVm();
            assert(vmRevision >= before);
            i = 1;
            do
            :: i <= storeRevision ->
                assert(vmRevision >= i || changeAge[i] < BOUND);
                changeAge[i]++;
                i++
            :: else -> break
            od
        }
    :: else -> break
    od
}
