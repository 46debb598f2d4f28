#include "callerrequest.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class CallerRequestFixture
{
protected:
    /// Code of the error that parsing the fields ends with, or "" when they are accepted.
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

// Guards against fields that are silently ignored when they cannot be understood.
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

// Guards against checks that refuse what the callers' documentation allows.
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

// Guards against a body of the wrong shape that reaches an engine or raises an exception.
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
