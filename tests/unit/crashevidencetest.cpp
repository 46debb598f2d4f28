#include "relay/crashevidence.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class CrashEvidenceFixture
{
protected:
    CrashEvidenceFixture()
    {
        this->broken.failure = HttpFailure::Broken;
        this->complete.status = 200;
        this->complete.isSuccess = true;
    }

    AttemptEnd broken; ///< An attempt that broke off before its answer.
    AttemptEnd complete; ///< An attempt with a complete answer.
};

} // namespace

TEST_CASE_METHOD(CrashEvidenceFixture, "CrashEvidence: connection breaks: tells by how far the answer got")
{
    CHECK(crashEvidence(this->broken) == CrashEvidence::BrokeBeforeAnswer);
    this->broken.status = 200;
    CHECK(crashEvidence(this->broken) == CrashEvidence::BrokeAtAnswerStart);
    this->broken.eventWrites = 1;
    CHECK(crashEvidence(this->broken) == CrashEvidence::BrokeAtAnswerStart);
    this->broken.eventWrites = 2;
    CHECK(crashEvidence(this->broken) == CrashEvidence::BrokeInAnswer);
}

TEST_CASE_METHOD(CrashEvidenceFixture, "CrashEvidence: something else may have ended the attempt: tells nothing")
{
    SECTION("no connection")
    {
        this->broken.failure = HttpFailure::Connect;
    }
    SECTION("time limit")
    {
        this->broken.failure = HttpFailure::Timeout;
    }
    SECTION("broken off by this process")
    {
        this->broken.isAborted = true;
    }
    SECTION("upstream leaves")
    {
        this->broken.isUpstreamLeaving = true;
    }
    SECTION("answer with a failure")
    {
        this->broken.status = 500;
    }
    CHECK(crashEvidence(this->broken) == CrashEvidence::None);
}

TEST_CASE_METHOD(CrashEvidenceFixture, "CrashEvidence: answer is complete: the request is sound")
{
    CHECK(crashEvidence(this->complete) == CrashEvidence::Answered);
    this->complete.isStream = true;
    CHECK(crashEvidence(this->complete) == CrashEvidence::Answered);
}

TEST_CASE_METHOD(CrashEvidenceFixture,
                 "CrashEvidence: answer ends with its connection: only events show that the request is sound")
{
    this->complete.endsWithConnection = true;
    CHECK(crashEvidence(this->complete) == CrashEvidence::None);
    this->complete.isStream = true;
    CHECK(crashEvidence(this->complete) == CrashEvidence::BrokeAtAnswerStart);
    this->complete.eventWrites = 1;
    CHECK(crashEvidence(this->complete) == CrashEvidence::None);
    this->complete.eventWrites = 2;
    CHECK(crashEvidence(this->complete) == CrashEvidence::Answered);
}
