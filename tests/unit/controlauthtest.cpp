#include "controlauth.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class ControlAuthFixture
{
protected:
    HttpRequest signedRequest(const std::string &body) const
    {
        HttpRequest request;
        request.path = "/rpc";
        request.body = body;
        request.headers = this->auth.sign(request.path, body, this->now);
        return request;
    }

    ControlAuth auth{"shared key"};
    std::chrono::system_clock::time_point now{std::chrono::hours(1)};
};

} // namespace

// Guards against control messages that are forged, altered or replayed without knowledge of the key.
TEST_CASE_METHOD(ControlAuthFixture, "ControlAuth: message signed with the key: is accepted")
{
    CHECK(this->auth.check(this->signedRequest("{}"), this->now).empty());
}

TEST_CASE_METHOD(ControlAuthFixture, "ControlAuth: altered body: is refused")
{
    HttpRequest request = this->signedRequest("{}");
    request.body = "{\"altered\":true}";
    CHECK(this->auth.check(request, this->now) == "the message's signature does not match");
}

TEST_CASE_METHOD(ControlAuthFixture, "ControlAuth: message recorded a minute ago: is refused")
{
    const HttpRequest request = this->signedRequest("{}");
    CHECK(this->auth.check(request, this->now + std::chrono::minutes(1))
          == "the message is too old or from the future");
}

TEST_CASE_METHOD(ControlAuthFixture, "ControlAuth: message without a signature: is refused")
{
    HttpRequest request = this->signedRequest("{}");
    request.headers = {};
    CHECK(this->auth.check(request, this->now) == "the message carries no valid time");
}
