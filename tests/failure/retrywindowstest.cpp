#include "retrywindows.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class RetryWindowsFixture
{
public:
    void addRequests(int number, std::chrono::milliseconds time)
    {
        for (int i = 0; i < number; ++i)
            this->windows.addRequest("app", this->start + time);
    }

    void addRetries(int number, std::chrono::milliseconds time)
    {
        for (int i = 0; i < number; ++i)
            this->windows.addRetry("app", this->start + time);
    }

    RetryWindows::Window worst() const
    {
        return this->windows.worstWindows().at(0);
    }

    RetryWindows::Time start;
    RetryWindows windows{0.2, 10.0, std::chrono::seconds(10)};
};

} // namespace

TEST_CASE_METHOD(RetryWindowsFixture, "RetryWindows: retries lie in two windows: the sum of one window counts")
{
    addRequests(50, std::chrono::milliseconds(0));
    addRetries(12, std::chrono::milliseconds(1000));
    addRetries(9, std::chrono::milliseconds(10900));
    CHECK(worst().retries == 21);
    CHECK(worst().allowed == Approx(20.0));
    addRetries(9, std::chrono::milliseconds(21000));
    CHECK(worst().retries == 21);
}

TEST_CASE_METHOD(RetryWindowsFixture, "RetryWindows: requests before the retries: they count for one window")
{
    addRequests(100, std::chrono::milliseconds(0));
    addRetries(5, std::chrono::milliseconds(10000));
    CHECK(worst().retries == 5);
    CHECK(worst().allowed == Approx(30.0));
    addRetries(11, std::chrono::milliseconds(31000));
    CHECK(worst().retries == 11);
    CHECK(worst().allowed == Approx(10.0));
}

TEST_CASE_METHOD(RetryWindowsFixture, "RetryWindows: several services: each has its own windows")
{
    addRetries(3, std::chrono::milliseconds(0));
    windows.addRetry("model", start);
    const auto worst = windows.worstWindows();
    REQUIRE(worst.size() == 2);
    CHECK(worst[0].retries == 3);
    CHECK(worst[1].service == "model");
    CHECK(worst[1].retries == 1);
}
