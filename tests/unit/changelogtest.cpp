#include "relay/changelog.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class ChangeLogFixture
{
protected:
    static KvEvent event(const std::string &key, std::int64_t revision)
    {
        KvEvent event;
        event.entry.key = key;
        event.entry.modRevision = revision;
        return event;
    }

    std::vector<std::string> keysAfter(std::int64_t revision) const
    {
        std::vector<std::string> keys;
        const auto events = this->log.eventsAfter(revision);
        REQUIRE(events);
        for (const KvEvent &event : *events)
            keys.push_back(event.entry.key);
        return keys;
    }

    ChangeLog log{3};
};

} // namespace

TEST_CASE_METHOD(ChangeLogFixture, "ChangeLog: nothing was read yet: no revision can be continued")
{
    CHECK_FALSE(this->log.eventsAfter(0));
    CHECK_FALSE(this->log.eventsAfter(7));
}

TEST_CASE_METHOD(ChangeLogFixture, "ChangeLog: reader knows a revision: gets the later changes only")
{
    this->log.reset(10);
    this->log.append({event("a", 11), event("b", 12)}, 12);
    this->log.append({event("c", 15)}, 16);
    CHECK(this->keysAfter(10) == std::vector<std::string>{"a", "b", "c"});
    CHECK(this->keysAfter(12) == std::vector<std::string>{"c"});
    CHECK(this->keysAfter(20).empty());
    CHECK(this->log.revision() == 16);
}

TEST_CASE_METHOD(ChangeLogFixture, "ChangeLog: reader is older than the log: has to read all keys")
{
    this->log.reset(10);
    CHECK_FALSE(this->log.eventsAfter(9));
}

TEST_CASE_METHOD(ChangeLogFixture, "ChangeLog: more changes than it keeps: only readers that miss none continue")
{
    this->log.reset(10);
    this->log.append({event("a", 11), event("b", 12), event("c", 13), event("d", 14)}, 14);
    CHECK_FALSE(this->log.eventsAfter(10));
    CHECK(this->keysAfter(11) == std::vector<std::string>{"b", "c", "d"});
}

TEST_CASE_METHOD(ChangeLogFixture, "ChangeLog: all keys were read again: earlier changes are discarded")
{
    this->log.reset(10);
    this->log.append({event("a", 11)}, 11);
    this->log.reset(20);
    CHECK_FALSE(this->log.eventsAfter(11));
    CHECK(this->keysAfter(20).empty());
}
