#include "callercrowd.h"
#include "memorysampler.h"
#include "relayvm.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <list>
#include <memory>

using namespace hemlock;

namespace {

constexpr std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t nearlyWholeBytes = 4190000;

constexpr std::size_t crowdSize = 60;

/// Times that a caller comes again when it has lost its connection.
constexpr int returns = 5;

/// Time for a crowd to send what it is let send.
constexpr std::chrono::seconds crowdTime{20};

/// A relay process on a VM of little memory, and callers that do not respect its limits.
class CallerCrowdFixture
{
protected:
    static constexpr int memoryMb = 64;
    static constexpr int maxDescriptors = 4100;
    static constexpr int fileDescriptors = 200;

    static RelayVmLimits limits()
    {
        RelayVmLimits limits;
        limits.memoryMb = memoryMb;
        limits.maxDescriptors = maxDescriptors;
        return limits;
    }

    explicit CallerCrowdFixture(const RelayVmLimits &limits = CallerCrowdFixture::limits())
        : vm(limits,
             [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                 this->upstreamHandler(request, responder);
             })
        , memory(this->vm.relay->id(), {this->vm.ports["front"], this->vm.ports["ready"], this->vm.ports["control"]})
    {
    }

    CallerCrowd &startCrowd(const std::string &listener)
    {
        return *this->crowds.emplace_back(
            std::make_unique<CallerCrowd>(this->vm.http.loop(), this->vm.ports.at(listener)));
    }

    /// Lets a crowd of callers that come again send, and checks the process afterwards.
    void checkCrowd(const std::string &listener, const CallerBytes &form, bool isInTurn)
    {
        INFO(listener << ", " << form.name << (isInTurn ? ", one after the other" : ", all at once"));
        CallerCrowd &crowd = this->startCrowd(listener);
        crowd.setInTurn(isInTurn);
        crowd.add(crowdSize, {form}, returns);
        this->runCrowds();
        this->checkHealth();
    }

    /// Lets the callers send until they have sent all, and no longer than crowdTime.
    void runCrowds()
    {
        this->runFor(crowdTime, [this] {
            return std::all_of(
                this->crowds.begin(), this->crowds.end(), [](const auto &crowd) { return crowd->hasSentAll(); });
        });
    }

    void runFor(
        std::chrono::milliseconds time, const std::function<bool()> &isDone = [] { return false; })
    {
        const auto end = std::chrono::steady_clock::now() + time;
        this->vm.http.waitFor([&] { return isDone() || std::chrono::steady_clock::now() >= end; });
    }

    void checkHealth()
    {
        CHECK(this->vm.openSockets() <= maxDescriptors - fileDescriptors);
        CHECK(this->vm.isServed("front"));
        CHECK(this->vm.isServed("ready"));
        CHECK(this->vm.isServed("control"));
        CHECK_FALSE(this->vm.relay->hasEnded());
        INFO("bytes at the peak: " << this->memory.peakBytes() << ", not read: " << this->memory.unreadBytesAtPeak());
        CHECK(this->memory.peakBytes() < std::uint64_t{memoryMb} * 1000 * 1000);
    }

    std::function<void(const HttpRequest &request, const HttpResponderPtr &responder)> upstreamHandler =
        [](const HttpRequest &request, const HttpResponderPtr &responder) {
            RelayVm::answerWhole(request, responder, "received " + std::to_string(request.body.size()) + "\n");
        };
    RelayVm vm;
    MemorySampler memory;
    std::list<std::unique_ptr<CallerCrowd>> crowds;
};

CallerBytes plainRequest()
{
    CallerBytes bytes;
    bytes.name = "plain request";
    bytes.begin = "GET /metrics HTTP/1.1\r\nHost: test.example\r\nX-Hemlockflow-Attempt-Id: attempt-of-crowd\r\n\r\n";
    return bytes;
}

std::vector<CallerBytes> incompleteBodies()
{
    return {CallerBytes::announced(maxBodyBytes, nearlyWholeBytes),
            CallerBytes::chunked(std::size_t{64} * 1024, nearlyWholeBytes),
            CallerBytes::chunked(std::size_t{1024} * 1024, nearlyWholeBytes),
            CallerBytes::chunked(16, 1000000),
            CallerBytes::chunked(1, 200000)};
}

std::vector<CallerBytes> excessiveBodies()
{
    return {CallerBytes::announced(std::size_t{1} << 30, 2 * maxBodyBytes),
            CallerBytes::chunked(std::size_t{64} * 1024, 2 * maxBodyBytes),
            CallerBytes::chunked(1, 2000000)};
}

/// The large VM of a deployment, on which a single caller is served in calm.
class SingleCallerFixture
{
protected:
    static RelayVmLimits limits()
    {
        RelayVmLimits limits;
        limits.memoryMb = 260;
        return limits;
    }

    /// Sends bytes on a connection of its own and returns what is received until it is closed.
    std::string answer(const std::string &bytes)
    {
        asio::ip::tcp::socket socket(this->vm.http.loop());
        socket.connect({asio::ip::make_address("127.0.0.1"), this->vm.ports.at("front")});
        std::string received;
        bool hasEnded = false;
        asio::async_write(socket, asio::buffer(bytes), [](const asio::error_code &, std::size_t) {});
        asio::async_read(
            socket, asio::dynamic_buffer(received), [&](const asio::error_code &, std::size_t) { hasEnded = true; });
        this->vm.http.waitFor([&hasEnded] { return hasEnded; });
        return received;
    }

    RelayVm vm{limits(), [](const HttpRequest &request, const HttpResponderPtr &responder) {
                   RelayVm::answerWhole(request, responder, "received " + std::to_string(request.body.size()) + "\n");
               }};
};

} // namespace

// Guards against memory that bodies take beside the bytes that are counted, and against chunks that take more than
// their size.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: many bodies stop short of their end: memory is bounded")
{
    const CallerBytes form = GENERATE(from_range(incompleteBodies()));
    this->checkCrowd("front", form, GENERATE(false, true));
}

// Guards against the same fault at the listeners that are not for callers.
TEST_CASE_METHOD(CallerCrowdFixture,
                 "hemlock-relay: many bodies at the other listeners stop short of their end: memory is bounded")
{
    const std::string listener = GENERATE(as<std::string>(), "ready", "control");
    this->checkCrowd(listener, CallerBytes::announced(maxBodyBytes, nearlyWholeBytes), true);
}

// Guards against bodies that are read although they are longer than any request may be.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: many bodies are above the limit: memory is bounded")
{
    const CallerBytes form = GENERATE(from_range(excessiveBodies()));
    this->checkCrowd("front", form, GENERATE(false, true));
}

// Guards against copies of whole requests that are not counted.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: many whole uploads wait for a slow upstream: memory is bounded")
{
    constexpr std::size_t uploadBytes = std::size_t{1024} * 1024;
    const CallerBytes form = GENERATE_COPY(values<CallerBytes>(
        {CallerBytes::announced(uploadBytes, uploadBytes), CallerBytes::chunked(4096, uploadBytes).ended()}));
    this->upstreamHandler = [this](const HttpRequest &request, const HttpResponderPtr &responder) {
        auto timer = std::make_shared<asio::steady_timer>(this->vm.http.loop(), std::chrono::milliseconds(300));
        timer->async_wait([timer, request = HttpRequest{.headers = request.headers}, responder](
                              const asio::error_code &) { RelayVm::answerWhole(request, responder, "late"); });
    };
    this->checkCrowd("front", form, false);
}

// Guards against answers that are held for callers that do not read them.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: many callers do not read large answers: memory is bounded")
{
    this->upstreamHandler = [](const HttpRequest &request, const HttpResponderPtr &responder) {
        constexpr std::size_t answerBytes = std::size_t{2} * 1024 * 1024;
        const bool isCrowd = request.headers.value("X-Hemlockflow-Attempt-Id") == "attempt-of-crowd";
        RelayVm::answerWhole(request, responder, std::string(isCrowd ? answerBytes : 1, 'x'));
    };
    CallerCrowd &crowd = this->startCrowd("front");
    crowd.setReading(false);
    crowd.add(crowdSize, {plainRequest()});
    this->runFor(std::chrono::seconds(3));
    this->checkHealth();
}

// Guards against what the kernel holds for connections that the process has not read from or not accepted yet.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: callers arrive while the process stands still: memory is bounded")
{
    constexpr std::size_t waitingCallers = 1500;
    const CallerBytes form = GENERATE(CallerBytes::announced(maxBodyBytes, nearlyWholeBytes),
                                      CallerBytes::chunked(std::size_t{64} * 1024, nearlyWholeBytes));
    INFO(form.name);
    this->vm.relay->pause();
    this->startCrowd("front").add(waitingCallers, {form});
    this->runFor(std::chrono::milliseconds(2500));
    this->vm.relay->resume();
    this->runFor(std::chrono::seconds(3));
    this->checkHealth();
}

// Guards against memory that does not come back, and against callers that come again as soon as they are refused.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: crowds of all forms return for several rounds: memory is bounded")
{
    constexpr int rounds = 3;
    constexpr long maxIdleSockets = 64;
    std::vector<CallerBytes> forms = incompleteBodies();
    for (CallerBytes &form : excessiveBodies())
        forms.push_back(std::move(form));
    for (int round = 0; round < rounds; ++round) {
        CallerCrowd &crowd = this->startCrowd("front");
        crowd.add(crowdSize, forms, returns);
        this->runCrowds();
        this->checkHealth();
        crowd.leave();
        this->vm.http.waitFor([this] { return this->vm.openSockets() <= maxIdleSockets; });
    }
}

// Guards against a few bodies that do not advance and hold the room that others need.
TEST_CASE_METHOD(CallerCrowdFixture, "hemlock-relay: bodies stop short of their end: a large upload is served")
{
    const std::vector<CallerBytes> forms = incompleteBodies();
    const CallerBytes form = GENERATE_COPY(from_range(forms));
    INFO(form.name);
    CallerCrowd &crowd = this->startCrowd("front");
    crowd.setInTurn(true);
    crowd.add(crowdSize, {form}, returns);
    this->runCrowds();
    CHECK(this->vm.isServed("front", std::string(maxBodyBytes, 'x')));
    this->checkHealth();
}

// Guards against a limit that refuses a request for the size of its chunks.
TEST_CASE_METHOD(SingleCallerFixture, "hemlock-relay: body within the limits in chunks of any size: it is served")
{
    const std::size_t chunkBytes =
        GENERATE(std::size_t{1}, std::size_t{16}, std::size_t{64}, std::size_t{4096}, std::size_t{1} << 20);
    const std::size_t bodyBytes = GENERATE(std::size_t{1000}, std::size_t{100000}, maxBodyBytes);
    CallerBytes form = CallerBytes::chunked(std::min(chunkBytes, bodyBytes), bodyBytes);
    const std::size_t chunks = bodyBytes / std::min(chunkBytes, bodyBytes);
    INFO(form.name << ", " << chunks << " of them");
    form.begin.insert(form.begin.find("\r\n") + 2, "Connection: close\r\n");
    std::string bytes = form.begin;
    const std::size_t end = bytes.size() + form.repeatedBytes;
    while (bytes.size() < end)
        bytes.append(*form.pattern, 0, std::min(form.pattern->size(), end - bytes.size()));
    const std::string received = this->answer(bytes + "0\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 200"));
    CHECK(received.find("received " + std::to_string(chunks * std::min(chunkBytes, bodyBytes)) + "\n")
          != std::string::npos);
}
