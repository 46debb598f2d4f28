#include "meteredsocket.h"

#include "logger.h"
#include "serverbuffers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstring>

#include <sys/socket.h>

namespace hemlock {

namespace {

/// Time after which a caller may repeat a request that found no room, in seconds.
constexpr std::string_view retryAfter = "1";

/// Memory of a field beside its bytes: RESTinio's record has 72 bytes, in a vector that is up to three times as large
/// while it grows, and each copy for the handler has 64.
constexpr std::size_t fieldRecordBytes = 300;

/// A request that is sent without a pause advances by this much within a moment, also on a slow link.
constexpr std::size_t advanceBytes = std::size_t{16} * 1024;

} // namespace

MeteredSocket::ReadingScope::ReadingScope(MeteredSocket &socket)
    : buffers(*socket.buffers)
    , outer(std::exchange(this->buffers.readingSocket, &socket))
{
}

MeteredSocket::ReadingScope::~ReadingScope()
{
    this->buffers.readingSocket = this->outer;
}

MeteredSocket::MeteredSocket(asio::io_context &loop)
    : asio::ip::tcp::socket(loop)
    , buffers(&asio::use_service<ServerBuffers>(loop))
{
}

MeteredSocket::~MeteredSocket()
{
    this->leave();
}

void MeteredSocket::close()
{
    this->leave();
    asio::error_code ignored;
    asio::ip::tcp::socket::close(ignored);
}

bool MeteredSocket::hasCompleteRequest() const
{
    return this->isComplete;
}

MeteredSocket::Request MeteredSocket::takeRequest()
{
    this->isComplete = false;
    this->hadRequest = true;
    this->since = std::chrono::steady_clock::now();
    return {std::exchange(this->request, nullptr), std::exchange(this->completeBody, {})};
}

const std::shared_ptr<OpenResponses> &MeteredSocket::openResponses() const
{
    return this->responses;
}

ConnectionProgress MeteredSocket::progress() const
{
    using Stage = ConnectionProgress::Stage;
    ConnectionProgress progress;
    progress.since = this->since;
    if (this->responses->unanswered > 0)
        progress.stage = Stage::Running;
    else if (this->responses->unwritten > 0)
        progress.stage = Stage::Writing;
    else if (this->hadRequest && this->decoder.isEmpty() && !this->request)
        progress.stage = Stage::Idle;
    progress.isInHead = this->decoder.isInHead();
    progress.requestBytes = this->request ? this->request->size() : 0;
    progress.responseBytes = this->responses->pendingBytes;
    if (this->request) {
        progress.advanced = this->advanced;
        progress.received = this->received;
    }
    if (progress.stage == Stage::Idle || progress.stage == Stage::Writing)
        progress.since = this->responses->since;
    return progress;
}

void MeteredSocket::refuseMalformed()
{
    logEvent(LogLevel::Warning, "request-malformed", {{"caller", this->callerAddress()}});
    this->writeRefusal(400, "malformed", false);
}

void MeteredSocket::refuse(int status, std::string_view code, bool isTemporary)
{
    logEvent(LogLevel::Warning,
             "caller-refused",
             {{"caller", this->callerAddress()},
              {"code", code},
              {"bytes", this->request ? this->request->size() : 0},
              {"allBytes", this->buffers->pool->usedBytes()},
              {"connections", this->buffers->sockets.size()}});
    if (this->request)
        this->writeRefusal(status, code, isTemporary);
    this->isRefused = true;
    this->request.reset();
    this->decoder.beginRequest();
    this->output = {};
    this->completeBody = {};
    this->unread = {};
    this->close();
}

bool MeteredSocket::enter()
{
    if (this->index != notRegistered)
        return true;
    if (this->isRefused)
        return false;
    // Not in the constructor: RESTinio's acceptor moves from the same socket again and again.
    this->responses = std::make_shared<OpenResponses>();
    this->since = std::chrono::steady_clock::now();
    this->maxBodyBytes = this->buffers->acceptingMaxBodyBytes;
    this->index = this->buffers->sockets.size();
    this->buffers->sockets.push_back(this);
    return this->buffers->enforceLimits(*this);
}

void MeteredSocket::leave()
{
    if (this->index == notRegistered)
        return;
    auto &sockets = this->buffers->sockets;
    sockets[this->index] = sockets.back();
    sockets[this->index]->index = this->index;
    sockets.pop_back();
    this->index = notRegistered;
}

bool MeteredSocket::receive(std::string_view bytes)
{
    using Result = RequestDecoder::Result;
    const auto now = std::chrono::steady_clock::now();
    // RESTinio's parser takes the head for an incomplete one.
    if (this->isComplete) {
        this->refuse(400, "malformed", false);
        return false;
    }
    if (!this->request) {
        this->request = std::make_shared<BufferPool::Share>(this->buffers->pool);
        this->since = now;
        this->advanced = now;
        this->receivedBytes = 0;
        this->advancedBytes = 0;
    }
    this->received = now;
    this->receivedBytes += bytes.size();
    if (this->receivedBytes - this->advancedBytes >= advanceBytes) {
        this->advancedBytes = this->receivedBytes;
        this->advanced = now;
    }
    RequestSizeLimits limits;
    if (this->buffers->limits.maxHeadBytes > 0)
        limits.maxHeadBytes = this->buffers->limits.maxHeadBytes;
    limits.maxBodyBytes = this->maxBodyBytes;
    if (this->buffers->limits.maxBodyBytes > 0)
        limits.maxBodyBytes = std::min(limits.maxBodyBytes, this->buffers->limits.maxBodyBytes);
    const Result result = this->decoder.add(bytes, limits);
    switch (result) {
    case Result::Incomplete:
        return this->accountForRequest();
    case Result::Complete:
        this->unread = bytes;
        if (!this->accountForRequest())
            return false;
        this->completeRequest();
        return true;
    case Result::HeadTooLarge:
        ++this->buffers->refused.largeHeads;
        this->refuse(431, "head-too-large", false);
        return false;
    case Result::BodyTooLarge:
        ++this->buffers->refused.largeBodies;
        this->refuse(413, "too-large", false);
        return false;
    case Result::Malformed:
        this->refuse(400, "malformed", false);
        return false;
    }
    return false;
}

bool MeteredSocket::accountForRequest()
{
    std::size_t size = this->decoder.heldBytes();
    if (this->buffers->limits.memoryBytes > 0)
        size += this->decoder.lineCount() * fieldRecordBytes;
    if (this->buffers->resize(*this->request, size, this))
        return this->buffers->enforceLimits(*this);
    const bool isTemporary = this->buffers->pool->fits(size);
    this->refuse(isTemporary ? 503 : 413, "too-large", isTemporary);
    return false;
}

void MeteredSocket::completeRequest()
{
    this->output = this->decoder.takeHead();
    this->outputPosition = 0;
    this->completeBody = this->decoder.takeBody();
    this->isComplete = true;
    this->decoder.beginRequest();
}

bool MeteredSocket::hasOutput() const
{
    return this->outputPosition < this->output.size();
}

std::size_t MeteredSocket::takeOutput(char *destination, std::size_t size)
{
    const std::size_t taken = std::min(size, this->output.size() - this->outputPosition);
    std::memcpy(destination, this->output.data() + this->outputPosition, taken);
    this->outputPosition += taken;
    if (!this->hasOutput()) {
        this->output = {};
        this->outputPosition = 0;
    }
    return taken;
}

void MeteredSocket::writeRefusal(int status, std::string_view code, bool isTemporary)
{
    if (this->responses->unwritten > 0)
        return;
    const std::string body = R"({"error":{"code":")" + std::string(code) + R"(","verdict":"not-run"}})";
    std::string response = "HTTP/1.1 " + std::to_string(status) + " Error\r\n";
    if (isTemporary)
        response.append("Retry-After: ").append(retryAfter).append("\r\n");
    response.append("Connection: close\r\nContent-Type: application/json\r\nContent-Length: ");
    response.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
    // Asio's synchronous calls would wait for a caller that does not read.
    ::send(this->native_handle(), response.data(), response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    asio::error_code ignored;
    this->shutdown(shutdown_send, ignored);
    this->discardReceived();
}

void MeteredSocket::discardReceived()
{
    // A close with unread bytes resets the connection, and the caller may lose the response.
    constexpr int maxReads = 16;
    std::array<char, std::size_t{16} * 1024> bytes{};
    for (int i = 0; i < maxReads; ++i) {
        if (::recv(this->native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT) <= 0)
            return;
    }
}

std::string MeteredSocket::callerAddress() const
{
    asio::error_code ignored;
    return this->remote_endpoint(ignored).address().to_string();
}

} // namespace hemlock
