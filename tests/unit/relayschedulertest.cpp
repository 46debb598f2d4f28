#include "relay/relayscheduler.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hemlock;

namespace {

class RelaySchedulerFixture
{
protected:
    RelaySchedulerFixture()
    {
        this->scheduler.setModelServices({"model"});
        this->upstreams = {
            this->upstream("m1", "model", 64), this->upstream("m2", "model", 64), this->upstream("p1", "plain", 2)};
        this->scheduler.applyUpstreams(this->upstreams, this->now);
    }

    static Upstream upstream(const std::string &id, const std::string &service, int slots)
    {
        Upstream upstream;
        upstream.id = id;
        upstream.service = service;
        upstream.address = "10.0.0.1:80";
        upstream.zone = {"zone-a"};
        upstream.state = UpstreamState::Serving;
        upstream.slots = slots;
        return upstream;
    }

    RelayTicket ticket(const std::string &id, const std::string &service, double promptTokens = 0.0) const
    {
        RelayTicket ticket;
        ticket.id = id;
        ticket.service = service;
        ticket.clientAccount = "account";
        ticket.promptTokens = promptTokens;
        ticket.latestStart = this->now + std::chrono::seconds(1);
        return ticket;
    }

    void submit(const RelayTicket &ticket)
    {
        RelayTicketHooks hooks;
        hooks.start = [this, id = ticket.id](const Upstream &chosen, const RouteDecision &) {
            this->started.push_back(id);
            this->chosenUpstreams[id] = chosen.id;
        };
        hooks.refuse = [this, id = ticket.id](const RequestError &error) { this->refused[id] = error; };
        this->scheduler.submit(ticket, std::move(hooks), this->now);
    }

    void nameLimit(const Upstream &upstream, double limit)
    {
        UpstreamNotice notice;
        notice.limit = limit;
        this->scheduler.recordNotice(upstream, notice, this->now);
    }

    void sayLeaving(const Upstream &upstream)
    {
        UpstreamNotice notice;
        notice.isLeaving = true;
        this->scheduler.recordNotice(upstream, notice, this->now);
    }

    void turnAway(const Upstream &upstream, std::chrono::milliseconds pause)
    {
        UpstreamNotice notice;
        notice.pause = pause;
        this->scheduler.recordNotice(upstream, notice, this->now);
    }

    /// Whether requests for the model are sent to an upstream.
    bool isUsed(const std::string &upstream)
    {
        bool isChosen = false;
        for (int i = 0; i < 40; ++i) {
            const std::string id = "use-" + std::to_string(++this->useCount);
            this->submit(this->ticket(id, "model", 10.0));
            isChosen = isChosen || this->chosenUpstreams[id] == upstream;
            this->scheduler.answerBegan(id, this->now);
            this->scheduler.requestEnded(id, false, this->now);
        }
        return isChosen;
    }

    RelayScheduler scheduler{{"zone-a"}, RandomEngine(3)};
    int useCount = 0;
    std::vector<Upstream> upstreams;
    std::vector<std::string> started;
    std::map<std::string, std::string> chosenUpstreams;
    std::map<std::string, RequestError> refused;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
};

using RequestIds = std::vector<std::string>;

} // namespace

// Load: more calls than a transactional service with few slots can run, as when many users arrive at once.
TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: more calls than slots: surplus calls wait until a slot is free")
{
    for (const char *id : {"a", "b", "c", "d"})
        this->submit(this->ticket(id, "plain"));
    CHECK(this->started == RequestIds{"a", "b", "c"});
    CHECK(this->scheduler.waitingCount("plain") == 1);
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->started == RequestIds{"a", "b", "c", "d"});
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: urgent call comes later: starts before the waiting ones")
{
    for (const char *id : {"a", "b", "c"})
        this->submit(this->ticket(id, "plain"));
    RelayTicket late = this->ticket("late", "plain");
    late.rank = 2;
    this->submit(late);
    RelayTicket urgent = this->ticket("urgent", "plain");
    urgent.rank = 0;
    this->submit(urgent);
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->started.back() == "urgent");
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: several slots become free: waiting calls of a rank keep their order")
{
    for (const char *id : {"a", "b", "c", "d", "e", "f"})
        this->submit(this->ticket(id, "plain"));
    for (const char *id : {"a", "b", "c"})
        this->scheduler.requestEnded(id, false, this->now);
    CHECK(this->started == RequestIds{"a", "b", "c", "d", "e", "f"});
}

// Load: a series of long prompts. Short requests must not queue behind all of them at one upstream.
TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: pending prompts fill all upstreams: next prompt stays queued")
{
    this->submit(this->ticket("a", "model", 25000.0));
    this->submit(this->ticket("b", "model", 25000.0));
    this->submit(this->ticket("c", "model", 25000.0));
    CHECK(this->started == RequestIds{"a", "b"});
    CHECK(this->chosenUpstreams["a"] != this->chosenUpstreams["b"]);
    this->scheduler.answerBegan("a", this->now);
    CHECK(this->started == RequestIds{"a", "b", "c"});
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: prompt exceeds the token limit: starts at an idle upstream")
{
    this->submit(this->ticket("huge", "model", 90000.0));
    CHECK(this->started == RequestIds{"huge"});
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: no upstream free by the latest start: is refused as not run, with a retry time")
{
    for (const char *id : {"a", "b", "c", "d"})
        this->submit(this->ticket(id, "plain"));
    this->now += std::chrono::seconds(1);
    this->scheduler.tick(this->now);
    REQUIRE(this->refused.contains("d"));
    CHECK(this->refused["d"].verdict == Verdict::NotRun);
    CHECK(this->refused["d"].status == 503);
    CHECK(this->refused["d"].retryAfter);
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->started == RequestIds{"a", "b", "c"});
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: upstream is leaving: gets no further request")
{
    this->upstreams[0].state = UpstreamState::Leaving;
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    for (int i = 0; i < 10; ++i)
        this->submit(this->ticket("r" + std::to_string(i), "model", 10.0));
    for (const auto &[id, chosenUpstream] : this->chosenUpstreams)
        CHECK(chosenUpstream == "m2");
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: request has an excluded upstream: goes to another one")
{
    for (int i = 0; i < 10; ++i) {
        RelayTicket again = this->ticket("r" + std::to_string(i), "model", 10.0);
        again.excluded = {"m1"};
        this->submit(again);
    }
    for (const auto &[id, chosenUpstream] : this->chosenUpstreams)
        CHECK(chosenUpstream == "m2");
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: request is cancelled while it waits: does not start")
{
    for (const char *id : {"a", "b", "c", "d"})
        this->submit(this->ticket(id, "plain"));
    this->scheduler.cancel("d", this->now);
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->started == RequestIds{"a", "b", "c"});
    CHECK(this->scheduler.waitingCount("plain") == 0);
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: peers fill the slots: own calls wait")
{
    this->scheduler.upstreams().peerLoadReported("p1", 3.0, 0.0, this->now);
    this->submit(this->ticket("a", "plain"));
    CHECK(this->started.empty());
    this->scheduler.upstreams().peerLoadReported("p1", 0.0, 0.0, this->now);
    this->scheduler.tick(this->now);
    CHECK(this->started == RequestIds{"a"});
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: upstream restarts under its identifier: its cache counts as empty")
{
    RelayTicket first = this->ticket("a", "model", 16000.0);
    first.parts = {{5, 13000.0}, {6, 3000.0}};
    this->submit(first);
    this->scheduler.answerBegan("a", this->now);
    this->scheduler.requestEnded("a", false, this->now);
    const double before = this->scheduler.demandedTokens().at("model");
    for (Upstream &upstream : this->upstreams)
        upstream.incarnation = "second";
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    RelayTicket second = this->ticket("b", "model", 16000.0);
    second.parts = {{5, 13000.0}, {7, 3000.0}};
    this->submit(second);
    CHECK(this->scheduler.demandedTokens().at("model") - before == Approx(16000.0));
}

// Load: many more prompts than the fleet can compute. Refusals must not make the demand look smaller than it is.
TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: prompts are refused: they still count as demand")
{
    for (int i = 0; i < 20; ++i)
        this->submit(this->ticket("r" + std::to_string(i), "model", 16000.0));
    this->now += std::chrono::seconds(2);
    this->scheduler.tick(this->now);
    CHECK(this->refused.size() > 10);
    CHECK(this->scheduler.demandedTokens().at("model") == Approx(20 * 16000.0));
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: request may crash its upstream: goes to the one with the least load, even uncached")
{
    RelayTicket first = this->ticket("first", "model", 1000.0);
    first.parts = {{1, 900.0}, {2, 100.0}};
    this->submit(first);
    const std::string cachedAt = this->chosenUpstreams.at("first");
    this->scheduler.answerBegan("first", this->now);
    RelayTicket trial = this->ticket("trial", "model", 1000.0);
    trial.parts = {{1, 900.0}, {3, 100.0}};
    trial.isTrial = true;
    this->submit(trial);
    CHECK(this->chosenUpstreams.at("trial") != cachedAt);
}

// Load: an upstream in need beside a sound one; requests wait for no longer than the sound one is full.
TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: upstream names a limit: others get the requests beyond it")
{
    this->nameLimit(this->upstreams[0], 1.0);
    for (int i = 0; i < 20; ++i) {
        this->now += std::chrono::milliseconds(100);
        const std::string id = "r" + std::to_string(i);
        this->submit(this->ticket(id, "model", 10.0));
        this->scheduler.answerBegan(id, this->now);
        this->scheduler.requestEnded(id, false, this->now);
    }
    CHECK(this->started.size() == 20);
    const auto limited = std::count_if(this->chosenUpstreams.begin(),
                                       this->chosenUpstreams.end(),
                                       [](const auto &choice) { return choice.second == "m1"; });
    CHECK(limited <= 2);
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: only upstream names a limit: requests wait for their turn")
{
    this->scheduler.applyUpstreams({this->upstreams[0]}, this->now);
    this->nameLimit(this->upstreams[0], 2.0);
    for (const char *id : {"a", "b"})
        this->submit(this->ticket(id, "model"));
    CHECK(this->started.empty());
    this->now += std::chrono::milliseconds(510);
    this->scheduler.tick(this->now);
    CHECK(this->started.size() == 1);
    this->now += std::chrono::milliseconds(480);
    this->scheduler.tick(this->now);
    CHECK(this->started.size() == 1);
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: upstream with a limit restarts: the limit is forgotten")
{
    this->nameLimit(this->upstreams[0], 1.0);
    this->upstreams[0].incarnation = "2";
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    CHECK(this->scheduler.notices().limitOf("m1") == 0.0);
}

// Covers a store that is silent, reads late, or returns an older copy: entries do not bring the upstream back.
TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: upstream says that it leaves: gets no further request until it starts anew")
{
    this->upstreams[0].incarnation = "1";
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    CHECK(this->isUsed("m1"));
    this->sayLeaving(this->upstreams[0]);
    CHECK_FALSE(this->isUsed("m1"));
    CHECK(this->scheduler.upstreams().isLeaving("m1"));
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    CHECK_FALSE(this->isUsed("m1"));
    this->scheduler.applyUpstreams({this->upstreams[1]}, this->now);
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    CHECK_FALSE(this->isUsed("m1"));
    const Upstream former = this->upstreams[0];
    this->upstreams[0].incarnation = "2";
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    CHECK(this->isUsed("m1"));
    this->sayLeaving(former);
    CHECK(this->isUsed("m1"));
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: other VM heard that an upstream leaves: neither order with its entry brings it back")
{
    const bool isEntryFirst = GENERATE(true, false);
    CAPTURE(isEntryFirst);
    const nlohmann::json message = {{"limits", nlohmann::json::object()}, {"leaving", {{"m1", {"2", 100}}}}};
    const auto applyMessage = [this, &message] {
        this->scheduler.applyPeerNotices(message, UpstreamNotices::Source::Zone, this->now);
    };
    this->upstreams[0].incarnation = "1";
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    this->upstreams[0].incarnation = "2";
    if (isEntryFirst) {
        this->scheduler.applyUpstreams(this->upstreams, this->now);
        CHECK(this->isUsed("m1"));
        applyMessage();
    } else {
        applyMessage();
        CHECK(this->isUsed("m1"));
        this->scheduler.applyUpstreams(this->upstreams, this->now);
    }
    CHECK_FALSE(this->isUsed("m1"));
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: upstream says that it leaves: waiting requests go elsewhere, running ones end there")
{
    this->upstreams.push_back(this->upstream("p2", "plain", 2));
    this->upstreams[2].incarnation = "1";
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    for (const char *id : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"})
        this->submit(this->ticket(id, "plain"));
    REQUIRE(this->started.size() == 6);
    this->sayLeaving(this->upstreams[2]);
    const RequestIds running = this->started;
    for (const std::string &id : running)
        this->scheduler.requestEnded(id, false, this->now);
    CHECK(this->started.size() > running.size());
    for (std::size_t i = running.size(); i < this->started.size(); ++i)
        CHECK(this->chosenUpstreams.at(this->started[i]) == "p2");
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: upstream wants a pause: others get the requests until its end")
{
    this->turnAway(this->upstreams[0], std::chrono::milliseconds(3000));
    CHECK_FALSE(this->isUsed("m1"));
    this->now += std::chrono::milliseconds(2999);
    CHECK_FALSE(this->isUsed("m1"));
    CHECK(this->refused.empty());
    this->now += std::chrono::milliseconds(1);
    CHECK(this->isUsed("m1"));
}

TEST_CASE_METHOD(
    RelaySchedulerFixture,
    "RelayScheduler: all upstreams want a pause: requests are refused at once, until the first one is back")
{
    this->turnAway(this->upstreams[0], std::chrono::milliseconds(3000));
    this->turnAway(this->upstreams[1], std::chrono::milliseconds(7200));
    this->submit(this->ticket("a", "model"));
    REQUIRE(this->refused.contains("a"));
    CHECK(this->refused["a"].verdict == Verdict::NotRun);
    CHECK(this->refused["a"].status == 503);
    CHECK(this->refused["a"].retryAfter == std::chrono::seconds(3));
    this->now += std::chrono::milliseconds(1500);
    this->submit(this->ticket("b", "model"));
    CHECK(this->refused["b"].retryAfter == std::chrono::seconds(2));
    this->submit(this->ticket("plain", "plain"));
    CHECK(this->started == RequestIds{"plain"});
    this->now += std::chrono::milliseconds(1500);
    this->submit(this->ticket("c", "model"));
    CHECK(this->chosenUpstreams["c"] == "m1");
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: last upstream wants a pause: all that wait are refused")
{
    for (const char *id : {"a", "b", "c", "d", "e"})
        this->submit(this->ticket(id, "plain"));
    REQUIRE(this->started.size() == 3);
    this->turnAway(this->upstreams[2], std::chrono::milliseconds(2000));
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->started.size() == 3);
    CHECK(this->refused["d"].retryAfter == std::chrono::seconds(2));
    CHECK(this->refused["e"].retryAfter == std::chrono::seconds(2));
    CHECK(this->scheduler.waitingCount("plain") == 0);
}

TEST_CASE_METHOD(RelaySchedulerFixture, "RelayScheduler: the others that do not pause are full: requests wait for them")
{
    this->upstreams.push_back(this->upstream("p2", "plain", 2));
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    this->turnAway(this->upstreams[2], std::chrono::milliseconds(2000));
    for (const char *id : {"a", "b", "c", "d"})
        this->submit(this->ticket(id, "plain"));
    CHECK(this->started.size() == 3);
    CHECK(this->refused.empty());
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->chosenUpstreams["d"] == "p2");
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: retried request or trial finds only upstreams that pause: is refused")
{
    this->turnAway(this->upstreams[0], std::chrono::milliseconds(3000));
    RelayTicket again = this->ticket("again", "model");
    again.excluded = {"m2"};
    this->submit(again);
    CHECK(this->refused["again"].retryAfter == std::chrono::seconds(1));
    this->turnAway(this->upstreams[1], std::chrono::milliseconds(3000));
    RelayTicket trial = this->ticket("trial", "model");
    trial.isTrial = true;
    this->submit(trial);
    CHECK(this->refused["trial"].retryAfter == std::chrono::seconds(3));
    CHECK(this->started.empty());
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: upstream that pauses is the one with the least load: a trial goes to another one")
{
    this->submit(this->ticket("first", "model", 1000.0));
    const std::string loaded = this->chosenUpstreams.at("first");
    this->turnAway(this->upstreams[loaded == "m1" ? 1 : 0], std::chrono::milliseconds(3000));
    RelayTicket trial = this->ticket("trial", "model", 1000.0);
    trial.isTrial = true;
    this->submit(trial);
    CHECK(this->chosenUpstreams.at("trial") == loaded);
}

// Guards against callers that wait until their deadline for an upstream that does not exist.
TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: last upstream that was not tried leaves: the waiting retry is refused at once")
{
    this->upstreams.push_back(this->upstream("p2", "plain", 2));
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    for (const char *id : {"a", "b", "c", "retry"}) {
        RelayTicket ticket = this->ticket(id, "plain");
        ticket.excluded = {"p1"};
        this->submit(ticket);
    }
    REQUIRE(this->started == RequestIds{"a", "b", "c"});
    this->upstreams.back().state = UpstreamState::Leaving;
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    REQUIRE(this->refused.contains("retry"));
    CHECK(this->refused.at("retry").code == "no-upstream");
    CHECK(this->refused.at("retry").retryAfter);
    CHECK(this->scheduler.waitingCount("plain") == 0);
    this->submit(this->ticket("first-attempt", "plain"));
    CHECK(this->chosenUpstreams["first-attempt"] == "p1");
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: only upstream that was not tried is full: the retry waits for it")
{
    this->upstreams.push_back(this->upstream("p2", "plain", 2));
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    for (const char *id : {"a", "b", "c", "retry"}) {
        RelayTicket ticket = this->ticket(id, "plain");
        ticket.excluded = {"p1"};
        this->submit(ticket);
    }
    this->scheduler.upstreamFailed("p2", this->now);
    this->scheduler.tick(this->now);
    CHECK(this->refused.empty());
    this->scheduler.requestEnded("a", false, this->now);
    CHECK(this->chosenUpstreams["retry"] == "p2");
}

TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: no upstream serves: a first attempt waits for one until its latest start")
{
    for (Upstream &upstream : this->upstreams)
        upstream.state = UpstreamState::Leaving;
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    this->submit(this->ticket("a", "plain"));
    this->scheduler.tick(this->now);
    CHECK(this->refused.empty());
    this->upstreams.push_back(this->upstream("p2", "plain", 2));
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    CHECK(this->chosenUpstreams["a"] == "p2");
}

// Guards against a large prompt at the head of the queue that keeps small ones from upstreams with room for them.
TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: large prompt fits nowhere: small ones of any rank start at the upstream not reserved")
{
    this->submit(this->ticket("a", "model", 20000.0));
    this->submit(this->ticket("b", "model", 25000.0));
    this->submit(this->ticket("large", "model", 17000.0));
    this->submit(this->ticket("equal", "model", 17000.0));
    RelayTicket small = this->ticket("small", "model", 2000.0);
    small.rank = 3;
    this->submit(small);
    CHECK(this->started == RequestIds{"a", "b", "small"});
    CHECK(this->chosenUpstreams["small"] == this->chosenUpstreams["b"]);
    this->scheduler.answerBegan("a", this->now);
    REQUIRE(this->started.size() >= 4);
    CHECK(this->started[3] == "large");
}

// Guards against small prompts that start past a large one until its latest start has passed.
TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: small prompts keep coming: the large one that waits starts within its target")
{
    this->submit(this->ticket("a", "model", 20000.0));
    this->submit(this->ticket("b", "model", 20000.0));
    this->submit(this->ticket("large", "model", 17000.0));
    std::vector<std::string> small;
    for (int i = 0; i < 90; ++i) {
        this->now += std::chrono::milliseconds(10);
        small.push_back("small-" + std::to_string(i));
        this->submit(this->ticket(small.back(), "model", 500.0));
        if (i == 40)
            this->scheduler.answerBegan("a", this->now);
        if (i == 41)
            this->scheduler.answerBegan("b", this->now);
        if (i > 10)
            this->scheduler.answerBegan(small[static_cast<std::size_t>(i) - 10], this->now);
    }
    this->scheduler.tick(this->now);
    CHECK(this->chosenUpstreams.contains("large"));
    CHECK(this->refused.empty());
}

// Guards against a retry that waits for one upstream and blocks first attempts that others can take.
TEST_CASE_METHOD(RelaySchedulerFixture,
                 "RelayScheduler: retry waits for the upstream that it has not tried: first attempts start elsewhere")
{
    this->upstreams.push_back(this->upstream("p2", "plain", 2));
    this->scheduler.applyUpstreams(this->upstreams, this->now);
    for (const char *id : {"a", "b", "c", "retry"}) {
        RelayTicket ticket = this->ticket(id, "plain");
        ticket.excluded = {"p1"};
        this->submit(ticket);
    }
    this->submit(this->ticket("first-attempt", "plain"));
    CHECK(this->chosenUpstreams["first-attempt"] == "p1");
    CHECK_FALSE(this->chosenUpstreams.contains("retry"));
}
