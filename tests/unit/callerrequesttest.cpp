#include "callerrequest.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class CallerRequestFixture
{
protected:
    /// Error code from parsing the header fields, or "" if they are accepted.
    std::string headerErrorCode(const HttpHeaders &headers) const
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseCallerFields(headers, this->limits));
                return std::string();
            },
            [](const RequestError &error) { return error.code; },
            [] { return std::string("unknown"); });
    }

    /// Status and error code from parsing a body, or "" if it is accepted.
    std::string bodyErrorStatusAndCode(const std::string &body) const
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(parseCompletion(body, this->limits));
                return std::string();
            },
            [](const RequestError &error) { return std::to_string(error.status) + " " + error.code; },
            [] { return std::string("unknown"); });
    }

    CallerLimits limits{.maxPromptBytes = 10, .maxTokens = 100};
};

} // namespace

// Guards against malformed fields that are silently ignored.
TEST_CASE_METHOD(CallerRequestFixture, "CallerRequest: malformed header fields: are refused with their own codes")
{
    CHECK(this->headerErrorCode({{"X-Deadline-Ms", "soon"}}) == "invalid-deadline");
    CHECK(this->headerErrorCode({{"X-Deadline-Ms", "0"}}) == "invalid-deadline");
    CHECK(this->headerErrorCode({{"X-Deadline-Ms", "-5"}}) == "invalid-deadline");
    CHECK(this->headerErrorCode({{"X-Deadline-Ms", "99999999999999999999"}}) == "invalid-deadline");
    CHECK(this->headerErrorCode({{"X-Priority", "10"}}) == "invalid-priority");
    CHECK(this->headerErrorCode({{"X-Priority", "1.5"}}) == "invalid-priority");
    CHECK(this->headerErrorCode({{"X-Request-Id", "a b"}}) == "invalid-request-id");
    CHECK(this->headerErrorCode({{"Idempotency-Key", std::string(201, 'k')}}) == "invalid-idempotency-key");
    CHECK(this->headerErrorCode({{"X-Request-Id", "r"}, {"Last-Event-ID", "x.u1"}}) == "invalid-last-event-id");
    CHECK(this->headerErrorCode({{"Last-Event-ID", "3.u1"}}) == "missing-request-id");
}

// Guards against rejecting values that the API documentation allows.
TEST_CASE_METHOD(CallerRequestFixture, "CallerRequest: valid header fields: are accepted")
{
    CHECK(this->headerErrorCode({}).empty());
    CHECK(this->headerErrorCode({{"X-Deadline-Ms", "250"},
                                 {"X-Priority", "0"},
                                 {"X-Request-Id", "r-1"},
                                 {"Idempotency-Key", "k-1"},
                                 {"Last-Event-ID", "3.vm-1.a"}})
              .empty());
    const auto point = parseResumePoint("3.vm-1.a");
    REQUIRE(point);
    CHECK(point->tokens == 3);
    CHECK(point->upstream == "vm-1.a");
}

// Guards against malformed bodies that reach an engine or raise an exception.
TEST_CASE_METHOD(CallerRequestFixture, "CallerRequest: malformed bodies: are refused with stable codes")
{
    CHECK(this->bodyErrorStatusAndCode("{") == "400 malformed-json");
    CHECK(this->bodyErrorStatusAndCode("[]") == "400 invalid-body");
    CHECK(this->bodyErrorStatusAndCode(R"({"prompt":"a"})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m"})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":1,"prompt":"a"})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":["a"]})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":"a","max_tokens":0})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":"a","max_tokens":"5"})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":"a","max_tokens":101})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":"a","stream":1})") == "400 invalid-field");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":"01234567890"})") == "413 prompt-too-large");
    CHECK(this->bodyErrorStatusAndCode(R"({"model":"m","prompt":"a","max_tokens":100,"stream":true})").empty());
}
