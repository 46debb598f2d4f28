#include "relay/upstreamnotices.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <memory>

using namespace hemlock;

namespace {

/// Entry VMs that all want to send to one upstream as often as it lets them.
class UpstreamNoticesFixture
{
protected:
    static constexpr std::chrono::milliseconds step{10};

    void startFleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i)
            this->addVm();
    }

    void addVm()
    {
        const std::string name = "vm-" + std::to_string(this->vms.size());
        this->vms.push_back(std::make_unique<UpstreamNotices>());
        this->names.insert(name);
        this->vms.back()->setFleet(name, [this, name] {
            std::set<std::string> others = this->names;
            others.erase(name);
            return others;
        });
    }

    static Upstream upstream(const std::string &incarnation = {})
    {
        Upstream upstream;
        upstream.id = "u";
        upstream.incarnation = incarnation;
        return upstream;
    }

    void nameLimitTo(UpstreamNotices &vm, double limit) const
    {
        UpstreamNotice notice;
        notice.limit = limit;
        vm.record(upstream(), notice, this->now);
    }

    void nameLimit(double limit)
    {
        for (const auto &vm : this->vms)
            this->nameLimitTo(*vm, limit);
    }

    bool sayLeaving(std::size_t vm, const std::string &incarnation)
    {
        UpstreamNotice notice;
        notice.isLeaving = true;
        return this->vms[vm]->record(upstream(incarnation), notice, this->now);
    }

    void turnAway(std::size_t vm, std::chrono::milliseconds pause)
    {
        UpstreamNotice notice;
        notice.pause = pause;
        this->vms[vm]->record(upstream("1"), notice, this->now);
    }

    bool isAvailable(std::size_t vm)
    {
        return !this->vms[vm]->unavailable(this->now).contains("u");
    }

    bool isLeaving(std::size_t vm, const std::string &incarnation) const
    {
        return this->vms[vm]->isLeaving(upstream(incarnation));
    }

    void runFor(std::chrono::milliseconds time)
    {
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            this->now += step;
            for (const auto &vm : this->vms) {
                while (!vm->unavailable(this->now).contains("u") && vm->limitOf("u") > 0.0) {
                    vm->requestStarted("u", this->now);
                    this->sent.push_back(this->now);
                }
            }
        }
    }

    /// Largest number of requests within 4 s.
    std::size_t busiestWindow() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < this->sent.size(); ++last) {
            while (this->sent[last] - this->sent[first] > std::chrono::seconds(4))
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    static double allowedIn4Seconds(double limit)
    {
        return 1.5 * limit * 4.0 + 5.0;
    }

    std::vector<std::unique_ptr<UpstreamNotices>> vms;
    std::set<std::string> names;
    std::vector<UpstreamNotices::Time> sent;
    UpstreamNotices::Time now{std::chrono::hours(1)};
};

} // namespace

// Load: all VMs of a small, a grown and a large fleet have requests waiting for the upstream all the time.
TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: all VMs press: the sum keeps to the limit and uses most of it")
{
    const std::size_t size = GENERATE(1, 7, 86, 295);
    const double limit = GENERATE(0.25, 1.0, 2.5, 20.0, 300.0);
    this->startFleet(size);
    this->nameLimit(limit);
    this->runFor(std::chrono::seconds(20));
    CAPTURE(size, limit);
    CHECK(static_cast<double>(this->busiestWindow()) <= allowedIn4Seconds(limit));
    CHECK(static_cast<double>(this->sent.size()) >= 0.7 * limit * 20.0);
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: VMs come and go: the sum keeps to the limit")
{
    const double limit = GENERATE(1.0, 20.0);
    this->startFleet(7);
    this->nameLimit(limit);
    for (int i = 0; i < 20; ++i) {
        this->runFor(std::chrono::milliseconds(700));
        this->names.erase("vm-" + std::to_string(i));
        this->vms[static_cast<std::size_t>(i)]->remove("u");
        this->addVm();
        this->nameLimitTo(*this->vms.back(), limit);
    }
    CAPTURE(limit);
    CHECK(static_cast<double>(this->busiestWindow()) <= allowedIn4Seconds(limit));
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: limit is named again and changes: no burst passes")
{
    this->startFleet(1);
    for (int i = 0; i < 80; ++i) {
        this->nameLimit(i % 2 == 0 ? 1.0 : 1.2);
        this->runFor(std::chrono::milliseconds(100));
    }
    CHECK(static_cast<double>(this->busiestWindow()) <= 1.2 * 4.0 + 1.0);
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: answer comes without a limit: it is no longer in force")
{
    this->startFleet(1);
    this->nameLimit(1.0);
    CHECK(this->vms[0]->unavailable(this->now).contains("u"));
    this->now += std::chrono::seconds(1);
    this->nameLimit(0.0);
    CHECK(this->vms[0]->unavailable(this->now).empty());
    CHECK(this->vms[0]->limitOf("u") == 0.0);
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: other VM got the answer: the limit and its end arrive")
{
    this->startFleet(2);
    this->nameLimitTo(*this->vms[0], 2.0);
    this->vms[1]->apply(this->vms[0]->encode(false, this->now), UpstreamNotices::Source::Zone, this->now);
    CHECK(this->vms[1]->limitOf("u") == 2.0);
    CHECK(this->vms[1]->encode(false, this->now).at("limits").empty());
    CHECK(this->vms[1]->encode(true, this->now).at("limits").size() == 1);
    const auto outdated = this->vms[0]->encode(false, this->now);
    this->now += std::chrono::seconds(1);
    this->nameLimitTo(*this->vms[0], 0.0);
    this->vms[1]->apply(this->vms[0]->encode(false, this->now), UpstreamNotices::Source::Zone, this->now);
    CHECK(this->vms[1]->limitOf("u") == 0.0);
    this->vms[1]->apply(outdated, UpstreamNotices::Source::Zone, this->now - std::chrono::seconds(1));
    CHECK(this->vms[1]->limitOf("u") == 0.0);
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: other zone reports a limit: is in force and not sent on to further zones")
{
    this->startFleet(2);
    this->nameLimitTo(*this->vms[0], 2.0);
    this->vms[1]->apply(this->vms[0]->encode(true, this->now), UpstreamNotices::Source::OtherZone, this->now);
    CHECK(this->vms[1]->limitOf("u") == 2.0);
    CHECK(this->vms[1]->encode(true, this->now).at("limits").empty());
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: upstream says that it leaves: no later answer or message takes it back")
{
    this->startFleet(2);
    const auto messageBefore = this->vms[1]->encode(false, this->now);
    CHECK(this->sayLeaving(0, "1"));
    CHECK_FALSE(this->sayLeaving(0, "1"));
    this->now += std::chrono::seconds(1);
    UpstreamNotice silent;
    silent.limit = 0.0;
    CHECK_FALSE(this->vms[0]->record(upstream("1"), silent, this->now));
    CHECK_FALSE(this->vms[0]->apply(messageBefore, UpstreamNotices::Source::Zone, this->now));
    this->vms[0]->remove("u");
    CHECK(this->isLeaving(0, "1"));
    CHECK(this->vms[0]->counts().leaving == 1);
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: upstream that leaves starts anew: what is told of the earlier start leaves it alone")
{
    this->startFleet(2);
    this->sayLeaving(0, "1");
    CHECK_FALSE(this->isLeaving(0, "2"));
    const auto message = this->vms[0]->encode(false, this->now);
    const bool isOwnAnswerFirst = GENERATE(true, false);
    CAPTURE(isOwnAnswerFirst);
    if (isOwnAnswerFirst)
        this->sayLeaving(1, "2");
    this->now += std::chrono::seconds(1);
    CHECK(this->vms[1]->apply(message, UpstreamNotices::Source::Zone, this->now));
    if (!isOwnAnswerFirst)
        this->sayLeaving(1, "2");
    CHECK(this->isLeaving(1, "1"));
    CHECK(this->isLeaving(1, "2"));
    CHECK_FALSE(this->isLeaving(1, "3"));
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: upstream without incarnations leaves the list: is not taken for leaving afterwards")
{
    this->startFleet(1);
    this->sayLeaving(0, "");
    CHECK(this->isLeaving(0, ""));
    this->vms[0]->remove("u");
    CHECK_FALSE(this->isLeaving(0, ""));
}

TEST_CASE_METHOD(
    UpstreamNoticesFixture,
    "UpstreamNotices: other VM got the answer that an upstream leaves: the message is dated and not repeated")
{
    this->startFleet(3);
    this->sayLeaving(0, "1");
    this->now += std::chrono::seconds(10);
    CHECK(this->vms[1]->apply(this->vms[0]->encode(false, this->now), UpstreamNotices::Source::Zone, this->now));
    CHECK(this->isLeaving(1, "1"));
    CHECK(this->vms[1]->encode(false, this->now).at("leaving").empty());
    const auto zoneMessage = this->vms[1]->encode(true, this->now);
    CHECK(zoneMessage.at("leaving") == nlohmann::json{{"u", {"1", 10000}}});
    CHECK(this->vms[2]->apply(zoneMessage, UpstreamNotices::Source::OtherZone, this->now));
    CHECK(this->isLeaving(2, "1"));
    CHECK(this->vms[2]->encode(true, this->now).at("leaving").empty());
    this->now += std::chrono::seconds(6);
    CHECK(this->vms[0]->encode(true, this->now).at("leaving").empty());
    CHECK(this->vms[1]->encode(true, this->now).at("leaving").empty());
    CHECK(this->isLeaving(0, "1"));
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: upstream left long ago: is forgotten unless it is still listed")
{
    this->startFleet(1);
    this->sayLeaving(0, "1");
    this->sayLeaving(0, "2");
    this->now += std::chrono::hours(1);
    this->vms[0]->prune({upstream("2")}, this->now);
    CHECK_FALSE(this->isLeaving(0, "1"));
    CHECK(this->isLeaving(0, "2"));
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: answer has invalid notices: they are counted, nothing changes")
{
    this->startFleet(1);
    this->nameLimit(2.0);
    UpstreamNotice invalid;
    invalid.invalidFields = {"limit", "leaving"};
    CHECK_FALSE(this->vms[0]->record(upstream(), invalid, this->now));
    CHECK(this->vms[0]->limitOf("u") == 2.0);
    CHECK_FALSE(this->isLeaving(0, ""));
    CHECK(this->vms[0]->counts().invalid == 2);
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: upstream wants a pause: this VM keeps it to its end, whatever else comes")
{
    this->startFleet(2);
    const auto start = this->now;
    this->turnAway(0, std::chrono::milliseconds(3000));
    this->now = start + std::chrono::milliseconds(500);
    // Answers to earlier requests, a restart, and the end of the entry.
    this->turnAway(0, std::chrono::milliseconds(1000));
    this->nameLimitTo(*this->vms[0], 100.0);
    this->vms[0]->remove("u");
    this->vms[0]->prune({upstream("2")}, this->now);
    CHECK(this->vms[0]->pauseEnd("u", this->now) == start + std::chrono::milliseconds(3000));
    CHECK(this->vms[0]->counts().pauses == 1);
    this->now = start + std::chrono::milliseconds(2999);
    CHECK_FALSE(this->isAvailable(0));
    CHECK(this->isAvailable(1));
    this->now = start + std::chrono::milliseconds(3000);
    CHECK(this->isAvailable(0));
    CHECK_FALSE(this->vms[0]->pauseEnd("u", this->now));
}

TEST_CASE_METHOD(UpstreamNoticesFixture,
                 "UpstreamNotices: upstream wants a longer pause meanwhile: the later end holds")
{
    this->startFleet(1);
    const auto start = this->now;
    this->turnAway(0, std::chrono::milliseconds(1000));
    this->now += std::chrono::milliseconds(500);
    this->turnAway(0, std::chrono::milliseconds(1000));
    this->now = start + std::chrono::milliseconds(1499);
    CHECK_FALSE(this->isAvailable(0));
    this->now = start + std::chrono::milliseconds(1500);
    CHECK(this->isAvailable(0));
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: pause ends: requests return one after the other")
{
    this->startFleet(1);
    this->turnAway(0, std::chrono::milliseconds(1000));
    this->now += std::chrono::milliseconds(1000);
    const auto sendAll = [this](std::chrono::milliseconds time) {
        std::size_t sentRequests = 0;
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            // A hundred wait all the time.
            for (int i = 0; i < 100 && this->isAvailable(0); ++i) {
                this->vms[0]->requestStarted("u", this->now);
                ++sentRequests;
            }
            this->now += step;
        }
        return sentRequests;
    };
    CHECK(sendAll(step) == 1);
    CHECK(sendAll(std::chrono::milliseconds(990)) == 19);
    CHECK(sendAll(step) == 100);
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: VM was frozen beyond the end of a pause: the pause is over")
{
    this->startFleet(1);
    this->turnAway(0, std::chrono::milliseconds(3000));
    this->now += std::chrono::minutes(1);
    CHECK(this->isAvailable(0));
    CHECK_FALSE(this->vms[0]->pauseEnd("u", this->now));
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: upstream wants a pause: peers are not told")
{
    this->startFleet(1);
    const auto before = this->vms[0]->encode(true, this->now);
    this->turnAway(0, std::chrono::milliseconds(3000));
    CHECK(this->vms[0]->encode(true, this->now) == before);
}

TEST_CASE_METHOD(UpstreamNoticesFixture, "UpstreamNotices: pause ends beside a limit: both are kept")
{
    this->startFleet(1);
    this->nameLimit(1.0);
    this->turnAway(0, std::chrono::milliseconds(1000));
    this->now += std::chrono::milliseconds(999);
    CHECK_FALSE(this->isAvailable(0));
    std::size_t sentRequests = 0;
    for (int i = 0; i < 400; ++i) {
        this->now += step;
        if (this->isAvailable(0)) {
            this->vms[0]->requestStarted("u", this->now);
            ++sentRequests;
        }
    }
    CHECK(sentRequests >= 3);
    CHECK(sentRequests <= 5);
}
