/*
 * Drain and reclaim of one upstream, as seen by two entry VMs (control node and entry process). The platform announces
 * the reclaim and may end the upstream at any time after that, even before the announced deadline. Its VM list lags and
 * always contains the upstream as live. The direct message between the VMs may be lost.
 *
 * transition in this model       function in the code
 * -----------------------------  -------------------------------------------------------------------
 * probe-answered, suspicion      UpstreamLifecycle::applyProbe, evaluateFailures (upstreamlifecycle.cpp)
 * dispatch                       UpstreamPool::candidates (upstreampool.cpp), Gateway of the entry process
 * poll of notices                VmFeed::readNotices, ControlNode::applyNotices
 * direct message                 ControlNode::spreadLeaving, answerLeaving
 * list shows it as live          UpstreamLifecycle::applyList
 * deadline-passed, unlisted      UpstreamLifecycle::expire, applyList
 * replay                         ModelCall of the entry process (modelcall.cpp), after a broken connection
 *
 * The bound on new requests is reached when each VM has polled the notices once after the announcement, or has received
 * the direct message.
 *
 * Mutations (spin -D): LIST_REVIVES lets the list return a leaving upstream to serving; NEWS_IGNORED ignores the
 * announcement for a suspected upstream; NO_REPLAY loses the streams of an ended upstream.
 */

#define NODES 2
#define REQUESTS 3

/* Same names as the states of charts/upstream.json; drain.sh compares them. */
mtype = { joining, serving, suspected, leaving, gone };

mtype view[NODES];
bool knowsLeaving[NODES];
bool isAnnounced, isEnded, isBoundReached;
chan direct[NODES] = [1] of { bool };

byte accepted, answered;
byte openStreams[NODES];     /* streams running on the upstream */
byte replayedStreams[NODES]; /* streams replayed on another upstream */
byte suspicionsLeft = 2;

inline learnLeaving(id)
{
    knowsLeaving[id] = true;
    if
#ifdef NEWS_IGNORED
    :: view[id] == joining || view[id] == serving -> view[id] = leaving
#else
    :: view[id] == joining || view[id] == serving || view[id] == suspected -> view[id] = leaving
#endif
    :: else -> skip
    fi
}

proctype Node(byte id)
{
    bool hasPolled;

    do
    :: atomic { view[id] == joining && !isEnded -> view[id] = serving }
    :: atomic { view[id] == serving && suspicionsLeft > 0 -> suspicionsLeft--; view[id] = suspected }
    :: atomic { view[id] == suspected && !isEnded -> view[id] = serving }
    :: atomic {
           (view[id] == serving || view[id] == suspected) && accepted < REQUESTS ->
           assert(!isBoundReached);
           accepted++;
           if
           :: isEnded -> replayedStreams[id]++ /* cannot be sent, so it goes to another upstream */
           :: else -> openStreams[id]++
           fi
       }
    :: atomic { openStreams[id] > 0 && !isEnded -> openStreams[id]--; answered++ }
    :: atomic {
           openStreams[id] > 0 && isEnded -> openStreams[id]--;
#ifndef NO_REPLAY
           replayedStreams[id]++
#endif
       }
    :: atomic { replayedStreams[id] > 0 -> replayedStreams[id]--; answered++ }
    :: atomic {
           isAnnounced && !hasPolled ->
           hasPolled = true;
           learnLeaving(id);
           if
           :: direct[1 - id]!true
           :: true -> skip /* lost */
           fi
       }
    :: atomic { direct[id]?_ -> learnLeaving(id) }
#ifdef LIST_REVIVES
    :: atomic { view[id] == leaving -> view[id] = serving }
#endif
    :: atomic { view[id] == leaving && isEnded -> view[id] = gone }
    :: view[id] == gone && openStreams[id] == 0 && replayedStreams[id] == 0 && hasPolled -> break
    od
}

proctype Platform()
{
    isAnnounced = true;
    isEnded = true
}

proctype Bound()
{
    knowsLeaving[0] && knowsLeaving[1];
    isBoundReached = true
}

init {
    atomic {
        view[0] = joining;
        view[1] = joining;
        run Node(0);
        run Node(1);
        run Platform();
        run Bound()
    }
    _nr_pr == 1;
    assert(answered == accepted)
}
