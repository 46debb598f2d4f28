#include "noticecheck.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class NoticeCheckFixture
{
public:
    NoticeCheck::Time at(int milliseconds) const
    {
        return this->start + std::chrono::milliseconds(milliseconds);
    }

    std::string ruleOf(const std::string &vm, int sent, int time)
    {
        const auto finding = this->notices.requestArrived(vm, "u1", this->at(sent), this->at(time));
        return finding ? finding->rule : "";
    }

    NoticeCheck::Time start;
    NoticeCheck notices{std::chrono::milliseconds(2000)};
};

} // namespace

TEST_CASE_METHOD(NoticeCheckFixture, "NoticeCheck: upstream leaves: later requests of VMs that passed it on")
{
    notices.leavingPassedOn("vm-1", "u1", at(0));
    notices.leavingPassedOn("vm-1", "u1", at(1500));
    CHECK(ruleOf("vm-1", 2000, 2600) == "");
    CHECK(ruleOf("vm-1", 2001, 2600) == "DRAIN");
    CHECK(ruleOf("vm-2", 2001, 2600) == "");
    notices.forgetVm("vm-1");
    CHECK(ruleOf("vm-1", 2001, 2600) == "");
    notices.leavingPassedOn("vm-1", "u1", at(0));
    notices.forgetUpstream("u1");
    CHECK(ruleOf("vm-1", 2001, 2600) == "");
}

TEST_CASE_METHOD(NoticeCheckFixture, "NoticeCheck: upstream asks for a pause: the third request is one too many")
{
    notices.turnedAway("vm-1", "u1", at(0), std::chrono::seconds(2));
    CHECK(ruleOf("vm-1", 0, 499) == "");
    CHECK(ruleOf("vm-1", 0, 500) == "");
    CHECK(ruleOf("vm-1", 0, 1000) == "");
    CHECK(ruleOf("vm-2", 0, 1000) == "");
    CHECK(ruleOf("vm-1", 0, 2000) == "BUDGET");
    CHECK(ruleOf("vm-1", 0, 2001) == "");
}

TEST_CASE_METHOD(NoticeCheckFixture, "NoticeCheck: restart or lost bytes after a pause was asked for: no finding")
{
    for (int i = 0; i < 2; ++i) {
        notices.turnedAway("vm-1", "u1", at(0), std::chrono::seconds(2));
        i == 0 ? notices.forgetVm("vm-1") : notices.forgetTurnedAway("u1");
        for (int request = 0; request < 3; ++request)
            CHECK(ruleOf("vm-1", 0, 1000) == "");
    }
}
