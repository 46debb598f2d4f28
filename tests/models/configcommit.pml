/*
 * Commit and distribution of the configuration, verified in two parts since a combined model has too many states.
 * Commit: two editors of different sections, a third one that edits the first section concurrently, and lost responses.
 * Distribution (-DDISTRIBUTION): a node that reads from the store or its peers and loses its memory in a restart while
 * the version in the store grows.
 *
 * transition in this model          function in the code
 * --------------------------------  -----------------------------------------------------------------
 * editor: read                      ConfigStore::Reader::start, readManifest (configstore.cpp)
 * editor: recognised by commit id   ConfigStore::Committer::isCommittedIn
 * editor: conflict                  ConfigStore::Committer::prepareCommit, resolveConflict, resolveConflictByRecord
 * editor: compare and swap          ConfigStore::Committer::compareAndSwap; KvClient::txn
 * editor: response lost             ConfigStore::Committer::handleTxnResult (KvStatus::Unknown)
 * node: apply from the store        ConfigSynchronizer::applyRead, ActiveConfig::applyIfNewer
 * node: apply from a peer           ConfigSynchronizer::handlePeerVersion, fetchDelta; ActiveConfig::applyDeltaIfNewer
 * node: ask all peers               ConfigSynchronizer::recoverFromPeers
 * node: ready                       ConfigSynchronizer::isReady
 * node: serve                       ControlNode::pushSnapshot
 * entry process: apply              ActiveSnapshot::apply (activesnapshot.cpp)
 *
 * Mutations (spin -D): APPLY_OLDER lets a node apply any manifest; BLIND_WRITE writes without comparing the version;
 * IGNORE_COMMIT_ID does not recognise an own commit whose response was lost; SERVE_EARLY serves the first peer's
 * version after a restart; ENTRY_REVERTS lets the entry process apply any snapshot.
 */

#define EDITORS 3
#define PEERS 2

byte version;            /* of the manifest in the store */
byte revision[2];        /* of each section in the manifest */
byte writer[2];          /* commit identifier of each section's last change: editor + 1 */
byte committed[2];       /* successful writes that changed each section */
byte reported[2];        /* commits of each section that were reported as done */
byte conflicts;          /* edits reported as conflicts */
byte finished;           /* editors that are done */
byte lossesLeft = 1;     /* responses that may still get lost */

byte peerApplied[PEERS]; /* version active on each peer */
byte applied;            /* version that the observed node holds in memory; 0 after a start */
byte highestPeerVersion; /* among all peers at the node's latest start, when all of them are reachable */
byte entryVersion;       /* version of the observed node's entry process, which outlives the control process */
byte highestServed;      /* highest version that the entry process has served */
byte restartsLeft = 1;   /* restarts that the observed node may still make */

/* Editors 0 and 2 change section 0, based on the same revision; editor 1 changes section 1. */
proctype Editor(byte id; byte section)
{
    byte seenVersion, seenRevision, seenWriter, otherRevision, otherWriter;
    byte expectedRevision = 0;

read:
    atomic {
        seenVersion = version;
        seenRevision = revision[section];
        seenWriter = writer[section];
        otherRevision = revision[1 - section];
        otherWriter = writer[1 - section];
    }
    if
#ifndef IGNORE_COMMIT_ID
    :: seenWriter == id + 1 ->
        reported[section]++;
        goto done
#endif
    :: seenRevision != expectedRevision && seenWriter != id + 1 ->
        conflicts++;
        goto done
#ifdef IGNORE_COMMIT_ID
    :: seenWriter == id + 1 ->
        conflicts++;
        goto done
#endif
    :: else -> skip
    fi;
    atomic {
        if
#ifdef BLIND_WRITE
        :: true ->
#else
        :: version == seenVersion ->
#endif
            version = seenVersion + 1;
            revision[section] = expectedRevision + 1;
            writer[section] = id + 1;
            revision[1 - section] = otherRevision;
            writer[1 - section] = otherWriter;
            committed[section]++;
            if
            :: lossesLeft > 0 ->
                lossesLeft--;
                goto read
            :: true ->
                reported[section]++;
                goto done
            fi
        :: else -> goto read
        fi
    }
done:
    finished++
}

/* Applies a version to a node if it is newer than the node's own. */
inline applyIfNewer(ownVersion, offeredVersion)
{
    atomic {
        if
#ifdef APPLY_OLDER
        :: true ->
#else
        :: offeredVersion > ownVersion ->
#endif
            assert(offeredVersion >= ownVersion);
            ownVersion = offeredVersion
        :: else -> skip
        fi
    }
}

/* Commits two configurations. */
proctype Writer()
{
    version++;
    version++
}

/* Reads the store; a response may be delayed, so that a later read overtakes it. */
proctype Peer(byte id)
{
    byte response, steps;

    do
    :: steps < 2 - id -> atomic { steps++; response = version }; applyIfNewer(peerApplied[id], response)
    :: steps == 2 - id -> break
    od
}

/* The observed node: reads the store and its peers, restarts, and serves its version to the entry process. */
proctype Node()
{
    byte storeResponse, peerResponse, steps;
    bool isReady, isReading;

    do
    :: atomic { steps < 6 -> steps++ };
        if
        :: atomic { !isReading -> storeResponse = version; isReading = true }
        :: atomic { isReading -> isReading = false };
           applyIfNewer(applied, storeResponse);
           isReady = isReady || applied > 0
        :: peerResponse = peerApplied[0]; applyIfNewer(applied, peerResponse);
#ifdef SERVE_EARLY
           isReady = isReady || applied > 0
#endif
        :: !isReady ->
           peerResponse = peerApplied[0]; applyIfNewer(applied, peerResponse);
           peerResponse = peerApplied[1]; applyIfNewer(applied, peerResponse);
           isReady = applied > 0
        :: restartsLeft > 0 ->
           atomic {
               restartsLeft--;
               isReady = false;
               isReading = false;
               applied = 0;
               highestPeerVersion = (peerApplied[0] > peerApplied[1] -> peerApplied[0] : peerApplied[1])
           }
        :: isReady ->
           atomic {
               assert(applied >= highestPeerVersion);
               if
#ifdef ENTRY_REVERTS
               :: true ->
#else
               :: applied >= entryVersion ->
#endif
                   entryVersion = applied
               :: else -> skip
               fi;
               assert(entryVersion >= highestServed);
               highestServed = entryVersion
           }
        fi
    :: steps == 6 -> break
    od
}

init {
#ifdef DISTRIBUTION
    atomic {
        run Writer();
        run Peer(0);
        run Peer(1);
        run Node()
    }
#else
    atomic {
        run Editor(0, 0);
        run Editor(1, 1);
        run Editor(2, 0)
    }
    finished == EDITORS;
    /* No section is lost, each commit is reported once, and concurrent edits of one section end in one conflict. */
    assert(revision[0] == committed[0] && revision[1] == committed[1]);
    assert(committed[0] == 1 && committed[1] == 1);
    assert(reported[0] == 1 && reported[1] == 1);
    assert(conflicts == 1)
#endif
}
