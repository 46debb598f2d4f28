#include "eventstream.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace hemlock;

namespace {

class EventStreamFixture
{
protected:
    std::vector<ServerSentEvent> events;
    EventStreamParser parser{[this](const ServerSentEvent &event) { this->events.push_back(event); }};
};

} // namespace

// Guards against lost or merged tokens when an event is split across TCP segments.
TEST_CASE_METHOD(EventStreamFixture, "EventStreamParser: input arrives byte by byte: events are complete")
{
    const std::string text =
        formatEvent({"1.u", "", "first"}) + ": comment\r\n" + formatEvent({"2.u", "error", "two\nlines"});
    for (const char byte : text)
        REQUIRE(this->parser.append(std::string_view(&byte, 1)));
    REQUIRE(this->events.size() == 2);
    CHECK(this->events[0].id == "1.u");
    CHECK(this->events[0].data == "first");
    CHECK(this->events[1].event == "error");
    CHECK(this->events[1].data == "two\nlines");
}

// Guards against reporting an event whose end never arrived.
TEST_CASE_METHOD(EventStreamFixture, "EventStreamParser: event without its blank line: is not reported")
{
    CHECK(this->parser.append("data: cut off\n"));
    CHECK(this->events.empty());
}

// Guards against unbounded memory use when an upstream sends a line that never ends.
TEST_CASE_METHOD(EventStreamFixture, "EventStreamParser: endless line: append fails")
{
    const std::string part(std::size_t{512} * 1024, 'x');
    CHECK(this->parser.append(part));
    CHECK(this->parser.append(part));
    CHECK_FALSE(this->parser.append(part));
}
