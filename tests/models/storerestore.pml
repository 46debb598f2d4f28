/*
 * Changes of a store that is restored from an older copy, as they reach the VM that reads the store for its zone and a
 * VM that follows it. A restore loses changes and gives their revisions out again; the operator writes them again.
 *
 * transition in this model       function in the code
 * -----------------------------  -------------------------------------------------------------------
 * read of the reader             StoreEra::observe, StoreWatcher::reload, pollFinished
 * poll of the follower           StorePollServer::poll, tryAnswer; StorePollRouter::peerAnswered
 * configuration is kept          RelayProcess::applyConfig: an older version is ignored
 *
 * Time passes in rounds: within a round the reader reads and the follower polls once. A VM may lack a change for fewer
 * than BOUND rounds after the store has accepted it, and never goes back to an older one.
 *
 * Mutations (spin -D): NO_ERA compares revisions of different eras at the reader; NO_PEER_ERA does so between reader and
 * follower; TRUST_COPY applies the configuration of the copy.
 */

#define CHANGES 3
#define RESTORES 2
#define BOUND 2

byte latest; /* last change that the operator wrote */
byte storeContent, storeRevision = 1, storeEra = 1;
byte copyContent, copyRevision = 1;
byte missedRounds; /* rounds in which the store held the latest change */

byte readerContent, readerRevision, readerEra;
byte vmContent, vmRevision, vmEra;
bool isReaderCut;
byte rounds, restores;

inline learn(known, content)
{
#ifdef TRUST_COPY
    known = content
#else
    if
    :: content > known -> known = content
    :: else -> skip
    fi
#endif
}

inline readStore(content, revision, era)
{
    if
#ifndef NO_ERA
    :: era != storeEra -> learn(content, storeContent); revision = storeRevision; era = storeEra
#endif
    :: storeRevision > revision -> learn(content, storeContent); revision = storeRevision; era = storeEra
    :: else -> skip
    fi
}

inline pollReader()
{
    if
#ifndef NO_PEER_ERA
    /* Either side is in another era: the follower reads the store. */
    :: vmEra != readerEra -> readStore(vmContent, vmRevision, vmEra)
#endif
    :: readerRevision > vmRevision -> learn(vmContent, readerContent); vmRevision = readerRevision; vmEra = readerEra
    :: else -> skip
    fi
}

active proctype System()
{
    byte before, readerBefore;

    do
    :: rounds < 8 ->
        atomic {
            rounds++;
            if
            :: latest < CHANGES && storeContent == latest ->
                latest++; storeContent = latest; storeRevision++; missedRounds = 0
            :: storeContent < latest -> storeContent = latest; storeRevision++; missedRounds = 0
            :: copyContent = storeContent; copyRevision = storeRevision
            :: restores < RESTORES ->
                restores++; storeContent = copyContent; storeRevision = copyRevision; storeEra++;
                missedRounds = 0
            :: isReaderCut = !isReaderCut
            :: skip
            fi;
            before = vmContent;
            readerBefore = readerContent;
            if
            :: !isReaderCut -> readStore(readerContent, readerRevision, readerEra); pollReader()
            /* The reader's own reads fail, so that it does not answer. */
            :: else -> readStore(vmContent, vmRevision, vmEra)
            fi;
            assert(vmContent >= before && readerContent >= readerBefore);
            if
            :: storeContent == latest -> missedRounds++
            :: else -> missedRounds = 0
            fi;
            assert(vmContent == latest || missedRounds < BOUND);
            assert(isReaderCut || readerContent == latest || missedRounds < BOUND)
        }
    :: else -> break
    od
}
