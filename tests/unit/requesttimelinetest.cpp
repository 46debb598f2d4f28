#include "requesttimeline.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// Logs of several entry VMs, one after the other, so that the lines are not sorted by time.
class RequestTimelineFixture
{
protected:
    RequestTimelineFixture()
    {
        this->add("00:01.300", "vm-2", "route", {{"request", "r1"}, {"upstream", "m2"}});
        this->add("00:01.900", "vm-2", "request", {{"request", "r1"}, {"status", 200}});
        this->add("00:01.400", "vm-2", "upstream", {{"upstream", "m1"}, {"state", "gone"}});
        this->add("00:01.500", "vm-2", "upstream", {{"upstream", "m7"}, {"state", "gone"}});
        this->add("00:01.000", "vm-1", "route", {{"request", "r1"}, {"upstream", "m1"}});
        this->add("00:01.100", "vm-1", "route", {{"request", "r2"}, {"upstream", "m1"}});
        this->add("00:01.200", "vm-1", "request", {{"request", "r1"}, {"status", 502}});
        this->add("00:05.000", "vm-1", "store-lost", {{"error", "timeout"}});
        this->add("00:01.600", "vm-3", "store-lost", {{"error", "timeout"}});
    }

    void add(const std::string &time, const std::string &vm, const std::string &event, nlohmann::json fields)
    {
        fields["time"] = time;
        fields["instance"] = vm;
        fields["event"] = event;
        this->timeline.addLine("  1.2 " + vm + " " + fields.dump());
    }

    std::vector<std::string> events() const
    {
        std::vector<std::string> events;
        for (const auto &record : this->timeline.records())
            events.push_back(record.at("instance").get<std::string>() + " " + record.at("event").get<std::string>());
        return events;
    }

    RequestTimeline timeline{"r1"};
};

} // namespace

TEST_CASE_METHOD(RequestTimelineFixture,
                 "RequestTimeline: logs of several VMs: the request's records are sorted by time")
{
    CHECK(this->events()
          == std::vector<std::string>{"vm-1 route", "vm-1 request", "vm-2 route", "vm-2 upstream", "vm-2 request"});
}

TEST_CASE_METHOD(RequestTimelineFixture, "RequestTimeline: line without a record: is skipped")
{
    CHECK_FALSE(this->timeline.addLine("no record"));
    CHECK_FALSE(this->timeline.addLine("{broken"));
    CHECK(this->events().size() == 5);
}

TEST_CASE("RequestTimeline: no line belongs to the request: has no records")
{
    RequestTimeline timeline("unknown");
    timeline.addLine(R"({"time":"1","instance":"vm-1","event":"store-lost"})");
    CHECK(timeline.records().empty());
}

TEST_CASE("RequestTimeline: record as text: time, VM and event come first")
{
    const nlohmann::json record = {
        {"time", "t"}, {"instance", "vm-1"}, {"event", "route"}, {"request", "r"}, {"attempt", 1}, {"reason", "least"}};
    CHECK(formatTimelineRecord(record) == "t  vm-1  route  attempt=1  reason=least");
}
