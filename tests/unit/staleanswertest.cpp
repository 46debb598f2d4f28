#include "answerforms.h"
#include "rawupstream.h"

#include <catch2/catch.hpp>

using namespace hemlock;

// An upstream that sends its answer twice: the copy lies on the connection when the next call is sent on it.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: second copy of an answer precedes the next one: is not forwarded")
{
    this->raw.bytesFor = [](std::size_t index, const std::string &attemptId) {
        return index == 0 ? RawUpstream::answer(attemptId) + RawUpstream::answer(attemptId)
                          : RawUpstream::answer(attemptId);
    };
    CHECK(this->call("attempt-1").body == "whole-attempt-1");
    const HttpOutcome second = this->call("attempt-2");
    CHECK(second.body.find("attempt-1") == std::string::npos);
    CHECK((second.status == 502 || second.body == "whole-attempt-2"));
}

// The copy arrives late, between the next request on the connection and its answer.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: second copy of an answer arrives late: is not forwarded")
{
    this->raw.bytesFor = [](std::size_t index, const std::string &attemptId) {
        return index == 1 ? RawUpstream::answer("attempt-1") + RawUpstream::answer(attemptId)
                          : RawUpstream::answer(attemptId);
    };
    CHECK(this->call("attempt-1").body == "whole-attempt-1");
    const HttpOutcome second = this->call("attempt-2");
    CHECK(second.status == 502);
    CHECK(second.body.find("whole") == std::string::npos);
    const HttpOutcome third = this->call("attempt-3");
    CHECK(third.body == "whole-attempt-3");
    CHECK(this->raw.connectionCount == 2);
}

// The answer breaks off, and the connection closes in an orderly way.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: answer is shorter than announced: does not look complete")
{
    this->raw.bytesFor = [](std::size_t, const std::string &attemptId) {
        std::string bytes = RawUpstream::answer(attemptId);
        return bytes.substr(0, bytes.size() - 3);
    };
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK((!outcome.isComplete() || outcome.status >= 500));
}

// Guards against an empty success in place of an answer whose upstream stopped within the head.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: answer breaks off within its head: does not look complete")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream));
    const std::string end =
        GENERATE("", "Content-Ty", "Content-Length: 4", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n");
    this->raw.ending = RawUpstream::Ending::Close;
    this->raw.bytesFor = [end](std::size_t, const std::string &attemptId) {
        return "HTTP/1.1 200 OK\r\nX-Hemlockflow-Attempt-Id: " + attemptId
            + "\r\nX-Hemlockflow-Response-Signature: signed\r\n" + end;
    };
    INFO(end);
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK((!outcome.isComplete() || outcome.status == 502));
    CHECK(outcome.body.find("\"ran\"") == std::string::npos);
}

// Guards against a caller that gets an interim answer and then nothing.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: status of the answer is not final: is not forwarded")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::Stream));
    const std::string status = GENERATE("101 Switching", "600 Unknown");
    this->raw.bytesFor = [status](std::size_t, const std::string &attemptId) {
        return "HTTP/1.1 " + status + "\r\nX-Hemlockflow-Attempt-Id: " + attemptId
            + "\r\nX-Hemlockflow-Response-Signature: signed\r\nContent-Length: 5\r\n\r\nwhole";
    };
    CHECK(this->call("attempt-1").status == 502);
}

TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: answer ends with its connection: is forwarded whole")
{
    this->answerUnframed("whole", RawUpstream::Ending::Close);
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK(outcome.status == 200);
    CHECK(outcome.body == "whole");
}

TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: answer that ends with its connection is reset: does not look complete")
{
    this->answerUnframed("half", RawUpstream::Ending::Reset);
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK((!outcome.isComplete() || outcome.status >= 500));
}

TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: stream ends with its connection: is forwarded as complete")
{
    this->configure(CallKind::Stream);
    this->answerUnframed("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", RawUpstream::Ending::Close);
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK(outcome.isComplete());
    CHECK(outcome.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_CASE_METHOD(StaleAnswerFixture,
                 "RelayCall: stream ends with its connection within an event: does not look complete")
{
    this->configure(CallKind::Stream);
    this->answerUnframed("id: 1\ndata: a\n\nid: 2\nda", RawUpstream::Ending::Close);
    CHECK_FALSE(this->call("attempt-1").isComplete());
}

TEST_CASE_METHOD(StaleAnswerFixture,
                 "RelayCall: stream that ends with its connection is reset between events: does not look complete")
{
    this->configure(CallKind::Stream);
    this->answerUnframed("id: 1\ndata: a\n\n", RawUpstream::Ending::Reset);
    CHECK_FALSE(this->call("attempt-1").isComplete());
}

// Guards against an empty success in place of a stream whose upstream crashed before the first event.
TEST_CASE_METHOD(StaleAnswerFixture,
                 "RelayCall: stream ends with its connection before its first event: fails, and counts as a crash")
{
    this->configure(CallKind::Stream);
    this->answerUnframed("", RawUpstream::Ending::Close);
    const auto now = std::chrono::steady_clock::now();
    const std::string fingerprint = requestFingerprint({}, "/p/x", {});
    this->quarantine.recordCrash(fingerprint, {.id = "upstream-2", .zone = {"zone-b"}}, now);
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK((!outcome.isComplete() || outcome.status == 502));
    CHECK(this->quarantine.isRefused(fingerprint));
}

// Guards against a crash that is forgotten because the next one breaks an answer off where it may as well end.
TEST_CASE_METHOD(StaleAnswerFixture,
                 "RelayCall: answer of a suspect request ends with its connection: the request stays suspect")
{
    this->configure(GENERATE(CallKind::Stream, CallKind::Idempotent));
    this->answerUnframed("id: 1\ndata: a\n\n", RawUpstream::Ending::Close);
    const auto now = std::chrono::steady_clock::now();
    const std::string fingerprint = requestFingerprint({}, "/p/x", {});
    this->quarantine.recordCrash(fingerprint, {.id = "upstream-2", .zone = {"zone-b"}}, now);
    CHECK(this->call("attempt-1").status == 200);
    CHECK(this->quarantine.permissionFor(fingerprint, std::chrono::steady_clock::now())
          == Quarantine::Permission::Isolated);
}

// Guards against "not run" for a request that runs, by an earlier refusal on the same connection.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: earlier refusal arrives once more: the request counts as possibly run")
{
    const std::string attemptHeader = GENERATE("X-Hemlockflow-Attempt-Id: attempt-1\r\n", "");
    this->raw.bytesFor = [attemptHeader](std::size_t index, const std::string &attemptId) {
        return index == 0 ? RawUpstream::refusal("X-Hemlockflow-Attempt-Id: attempt-1\r\n")
                          : RawUpstream::refusal(attemptHeader) + RawUpstream::answer(attemptId);
    };
    CHECK(this->call("attempt-1").status == 503);
    CHECK(this->call("attempt-2").status == 502);
}

TEST_CASE_METHOD(StaleAnswerFixture,
                 "RelayCall: upstream answers with a status that promises not run, but does not say so: is no promise")
{
    const int status = GENERATE(408, 429, 503);
    this->raw.bytesFor = [status](std::size_t, const std::string &attemptId) {
        return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Hemlockflow-Attempt-Id: " + attemptId
            + "\r\nContent-Length: 0\r\n\r\n";
    };
    CHECK(this->call("attempt-1").status == 502);
}

namespace {

/// An upstream that sends each answer once more, late: before the answer to the next request on the connection.
class StutteringUpstreamFixture : public StaleAnswerFixture
{
protected:
    StutteringUpstreamFixture()
    {
        this->retries = RetryBudget({.earnedPerRequest = 0.0, .earnedPerSecond = 0.0, .maxRetries = allowedRetries});
        this->raw.earlierAnswers = true;
        this->raw.bytesFor = [](std::size_t, const std::string &attemptId) { return RawUpstream::answer(attemptId); };
    }

    /// Makes one call after another. Returns how many of them failed.
    int failedCalls(int calls)
    {
        int failures = 0;
        for (int i = 0; i < calls; ++i) {
            const std::string id = "attempt-" + std::to_string(i);
            const HttpOutcome outcome = this->call(id);
            if (outcome.status == 200)
                CHECK(outcome.body == "whole-" + id);
            else
                ++failures;
        }
        return failures;
    }

    int retriesLeft()
    {
        int count = 0;
        while (this->retries.tryRetry({}, "service", std::chrono::steady_clock::now()))
            ++count;
        return count;
    }

    static constexpr int allowedRetries = 20;
};

} // namespace

// Guards against failing every second call at an upstream that always answers twice.
TEST_CASE_METHOD(StutteringUpstreamFixture,
                 "RelayCall: upstream always sends its answers twice: one call fails, the others get their own answers")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent));
    CHECK(this->failedCalls(20) == 1);
    CHECK(this->retriesLeft() == allowedRetries);
}

// Guards against spending the retry budget on upstreams that always answer twice.
TEST_CASE_METHOD(StutteringUpstreamFixture,
                 "RelayCall: two upstreams always send their answers twice: one retry for each, then none")
{
    RawUpstream second(this->loop);
    second.earlierAnswers = true;
    second.bytesFor = this->raw.bytesFor;
    this->applyUpstreams({this->raw.address(), second.address()});
    this->configure(CallKind::Idempotent, 2);
    CHECK(this->failedCalls(20) <= 1);
    CHECK(this->retriesLeft() >= allowedRetries - 2);
}

// A copy that arrives before the connection is used again is noticed there.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: second copy of an answer arrives between two calls: no call fails")
{
    this->raw.bytesFor = [](std::size_t, const std::string &attemptId) {
        return RawUpstream::answer(attemptId) + RawUpstream::answer(attemptId);
    };
    for (const char *id : {"attempt-1", "attempt-2", "attempt-3"})
        CHECK(this->call(id).body == "whole-" + std::string(id));
}

// Guards against a success with a part of the upstream's body.
TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: framing of the answer is not sound: does not look complete")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent));
    const AnswerForm form = GENERATE(from_range(unsoundAnswers()));
    INFO(form.name);
    this->raw.ending = RawUpstream::Ending::Close;
    this->raw.bytesFor = [form](std::size_t, const std::string &attemptId) {
        return form.bytes(RawUpstream::signedFields(attemptId));
    };
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK(outcome.isComplete());
    CHECK(outcome.status == 502);
    CHECK(outcome.body.find("may-have-run") != std::string::npos);
}

namespace {

/// Two upstreams whose answers have no sound framing.
class SpoilingUpstreamsFixture : public StaleAnswerFixture
{
protected:
    SpoilingUpstreamsFixture()
    {
        this->applyUpstreams({this->raw.address(), this->second.address()});
        this->configure(CallKind::Idempotent, 2);
    }

    /// Makes the same call several times, whose answers have these fields and a body. Returns the statuses.
    std::vector<int> callStatuses(const std::string &fields)
    {
        for (RawUpstream *upstream : {&this->raw, &this->second}) {
            upstream->ending = RawUpstream::Ending::Close;
            upstream->bytesFor = [fields](std::size_t, const std::string &attemptId) {
                return "HTTP/1.1 200 OK\r\n" + RawUpstream::signedFields(attemptId) + fields + "\r\nwhole";
            };
        }
        std::vector<int> statuses;
        for (const char *id : {"attempt-1", "attempt-2", "attempt-3"})
            statuses.push_back(this->call(id).status);
        return statuses;
    }

    RawUpstream second{this->loop};
};

} // namespace

// Guards against refusing a sound request because upstreams spoil their answers to it.
TEST_CASE_METHOD(SpoilingUpstreamsFixture,
                 "RelayCall: lengths of all answers are not valid: the request is not quarantined")
{
    CHECK(this->callStatuses("Content-Length: 4x\r\n") == std::vector<int>{502, 502, 502});
}

// As above; libcurl reports a malformed chunk like a broken connection.
TEST_CASE_METHOD(SpoilingUpstreamsFixture,
                 "RelayCall: chunks of all answers are malformed: the request is not quarantined")
{
    CHECK(this->callStatuses("Transfer-Encoding: chunked\r\n") == std::vector<int>{502, 502, 502});
}

TEST_CASE_METHOD(StaleAnswerFixture, "RelayCall: framing of the answer is sound: is forwarded whole")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent));
    const AnswerForm form = GENERATE(from_range(soundAnswers()));
    INFO(form.name);
    this->raw.ending = RawUpstream::Ending::Close;
    this->raw.bytesFor = [form](std::size_t, const std::string &attemptId) {
        return form.bytes(RawUpstream::signedFields(attemptId));
    };
    const HttpOutcome outcome = this->call("attempt-1");
    CHECK(outcome.isComplete());
    CHECK(outcome.status == 200);
    CHECK(outcome.body == wholeAnswerBody());
}
