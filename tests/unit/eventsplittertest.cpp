#include "relay/eventsplitter.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class EventSplitterFixture
{
protected:
    EventSplitter splitter;
};

} // namespace

TEST_CASE_METHOD(EventSplitterFixture, "EventSplitter: bytes end within an event: the incomplete event is buffered")
{
    CHECK(this->splitter.append("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    CHECK(this->splitter.lastEventId() == "1");
    CHECK(this->splitter.hasPartialEvent());
    CHECK(this->splitter.append("ta: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(this->splitter.lastEventId() == "2");
    CHECK_FALSE(this->splitter.hasPartialEvent());
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter: separator arrives in two pieces: event is returned when complete")
{
    CHECK(this->splitter.append("id:7\r\ndata: a\r\n").empty());
    CHECK(this->splitter.append("\r\n") == "id:7\r\ndata: a\r\n\r\n");
    CHECK(this->splitter.lastEventId() == "7");
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "EventSplitter: stream continues from another upstream: incomplete event is discarded")
{
    this->splitter.append("id: 1\ndata: a\n\nid: 2\nda");
    this->splitter.discardPartialEvent();
    CHECK(this->splitter.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

TEST_CASE_METHOD(EventSplitterFixture, "EventSplitter: event grows beyond the limit: is reported as too long")
{
    this->splitter.append("id: 1\ndata: ");
    CHECK_FALSE(this->splitter.isPartialEventTooLong());
    const std::string bytes(std::size_t{300} * 1024, 'x');
    this->splitter.append(bytes);
    CHECK_FALSE(this->splitter.isPartialEventTooLong());
    this->splitter.append(bytes);
    CHECK(this->splitter.isPartialEventTooLong());
}
