#include "httpclient.h"

#include "answerframing.h"
#include "bufferpool.h"
#include "logger.h"

#include <asio.hpp>
#include <curl/curl.h>
#include <linux/sockios.h>
#include <nlohmann/json.hpp>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <unordered_map>
#include <utility>

namespace hemlock {

namespace {

/// Buffer of each call with a large body; the smallest that libcurl allows.
constexpr long uploadBufferBytes = 16L * 1024;

/// Bytes in the socket's send queue, including those that the peer has not acknowledged.
std::optional<std::size_t> unsentBytes(curl_socket_t socket)
{
    int bytes = 0;
    if (socket == CURL_SOCKET_BAD || ioctl(socket, SIOCOUTQ, &bytes) != 0)
        return std::nullopt;
    return static_cast<std::size_t>(bytes);
}

struct Transfer
{
    Transfer(HttpClient::CallId id, HttpCall call, HttpCallHooks hooks)
        : id(id)
        , call(std::move(call))
        , hooks(std::move(hooks))
        , buffered(this->call.buffers)
    {
    }

    HttpClient::CallId id = 0;
    CURL *easyHandle = nullptr;
    curl_slist *headerList = nullptr;
    HttpCall call;
    HttpCallHooks hooks;
    HttpOutcome outcome;
    int sendAttempts = 0;
    curl_socket_t socket = CURL_SOCKET_BAD;
    AnswerFraming framing;
    bool cancelled = false;
    bool isRequestReceived = true; ///< See checkRequestReceived().
    BufferPool::Share buffered; ///< Fields, and the body if there is no data hook.
    std::string rejection; ///< Why this client broke the answer off; empty if it did not.

    ~Transfer()
    {
        if (this->easyHandle)
            curl_easy_cleanup(this->easyHandle);
        curl_slist_free_all(this->headerList);
    }

    /// Takes a line of the head. Returns false if the answer has to be broken off.
    bool takeHeadLine(std::string_view line)
    {
        if (!this->buffer(line.size()))
            return false;
        // Other versions of libcurl may pass on the lines of a trailer, which addBody() takes.
        if (this->framing.isHeadComplete())
            return true;
        if (!this->framing.addHeadLine(line)) {
            this->rejection = this->framing.error();
            return false;
        }
        if (!this->framing.isHeadComplete())
            return true;
        this->permitReuse();
        this->checkRequestReceived();
        if (this->hooks.head && !this->cancelled)
            this->hooks.head(this->framing.status(), this->framing.headers());
        return true;
    }

    /// Takes bytes of the body as they were sent. Returns false if the answer has to be broken off.
    bool takeBody(std::string_view bytes)
    {
        const bool isSound =
            this->framing.addBody(bytes, [this](std::string_view content) { return this->takeContent(content); });
        if (!isSound && !this->cancelled && this->rejection.empty())
            this->rejection = this->framing.error();
        this->permitReuse();
        this->checkRequestReceived();
        return isSound;
    }

    bool takeContent(std::string_view content)
    {
        if (this->cancelled)
            return false;
        if (this->hooks.data) {
            this->hooks.data(content);
            return !this->cancelled;
        }
        if (this->outcome.body.size() + content.size() > this->call.maxBodyBytes) {
            this->rejection = "the body is longer than " + std::to_string(this->call.maxBodyBytes) + " bytes";
            return false;
        }
        if (!this->buffer(content.size()))
            return false;
        this->outcome.body.append(content);
        return true;
    }

    /// Called when bytes were read, and before the end of the connection is. libcurl does not tell a peer that has
    /// received the whole request and ends its answer from one that breaks off in between.
    void checkRequestReceived()
    {
        if (this->framing.bodyEnd() != BodyEnd::Connection)
            return;
        curl_off_t uploaded = 0;
        curl_easy_getinfo(this->easyHandle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
        this->isRequestReceived = std::cmp_greater_equal(uploaded, this->call.sentBody().size())
            && unsentBytes(this->socket).value_or(0) == 0;
    }

    /// Lets libcurl keep the connection after a whole answer.
    void permitReuse()
    {
        const bool isReusable =
            this->framing.isComplete() && !this->framing.hasExcess() && !this->call.closesConnection;
        curl_easy_setopt(this->easyHandle, CURLOPT_FORBID_REUSE, isReusable ? 0L : 1L);
    }

    /// Accounts for bytes that are kept. Returns false if the answer has to be broken off.
    bool buffer(std::size_t bytes)
    {
        if (this->buffered.grow(bytes))
            return true;
        this->rejection = "the answers in progress take too much memory, this one "
            + std::to_string(this->buffered.size()) + " bytes";
        return false;
    }
};

/// Called by libcurl when the connection is established, before the first byte of the request is written.
int beforeRequest(void *context, char *, char *, int, int)
{
    auto *transfer = static_cast<Transfer *>(context);
    ++transfer->sendAttempts;
    // libcurl resends a request by itself when a reused connection turns out to be closed, which could run it twice.
    if (transfer->sendAttempts > 1)
        return CURL_PREREQFUNC_ABORT;
    if (transfer->hooks.sending && !transfer->cancelled)
        transfer->hooks.sending();
    return CURL_PREREQFUNC_OK;
}

std::size_t headerReceived(char *bytes, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string_view line(bytes, size * count);
    // A cancelled transfer must fail here: libcurl may read the whole response at once and would then keep the
    // connection for reuse.
    return transfer->takeHeadLine(line) && !transfer->cancelled ? line.size() : 0;
}

std::size_t dataReceived(char *bytes, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::size_t length = size * count;
    return !transfer->cancelled && transfer->takeBody(std::string_view(bytes, length)) ? length : 0;
}

/// Closes a socket for libcurl. Bytes that the peer has not acknowledged belong to a request that was given up. A reset
/// discards them; otherwise the kernel would still deliver them after a network failure.
int closeSocket(void *, curl_socket_t socket)
{
    if (unsentBytes(socket).value_or(0) > 0) {
        const linger discard{1, 0};
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    }
    return close(socket);
}

/// Waits for events of a socket that libcurl owns; the descriptor releases the socket without closing it.
struct WatchedSocket
{
    explicit WatchedSocket(asio::io_context &loop, curl_socket_t socket)
        : descriptor(loop, socket)
    {
    }

    ~WatchedSocket()
    {
        this->release();
    }

    /// Cancels all waits. Holders of this object can no longer affect the socket.
    void release()
    {
        if (this->descriptor.is_open())
            this->descriptor.release();
    }

    asio::posix::stream_descriptor descriptor;
    HttpClient::CallId transfer = 0; ///< That uses the socket.
    int requestedEvents = CURL_POLL_NONE;
    bool readPending = false;
    bool writePending = false;
};

} // namespace

class HttpClient::Private : public std::enable_shared_from_this<HttpClient::Private>
{
public:
    explicit Private(asio::io_context &loop)
        : loop(loop)
        , timer(loop)
        , multiHandle(curl_multi_init())
    {
        this->setMaxConnections(defaultMaxConnections);
        curl_multi_setopt(this->multiHandle, CURLMOPT_SOCKETFUNCTION, &Private::socketChanged);
        curl_multi_setopt(this->multiHandle, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multiHandle, CURLMOPT_TIMERFUNCTION, &Private::timerChanged);
        curl_multi_setopt(this->multiHandle, CURLMOPT_TIMERDATA, this);
    }

    ~Private()
    {
        for (auto &[id, transfer] : this->transfers) {
            transfer->cancelled = true;
            curl_multi_remove_handle(this->multiHandle, transfer->easyHandle);
        }
        this->transfers.clear();
        curl_multi_cleanup(this->multiHandle);
    }

    void setMaxConnections(std::size_t count) const
    {
        curl_multi_setopt(this->multiHandle, CURLMOPT_MAXCONNECTS, static_cast<long>(count));
    }

    void add(const std::shared_ptr<Transfer> &transfer)
    {
        if (transfer->cancelled) {
            if (transfer->hooks.closed)
                transfer->hooks.closed(std::nullopt);
            return;
        }
        this->transfers[transfer->id] = transfer;
        curl_multi_add_handle(this->multiHandle, transfer->easyHandle);
    }

    void remove(CallId id)
    {
        const auto found = this->transfers.find(id);
        if (found == this->transfers.end())
            return;
        const std::shared_ptr<Transfer> transfer = found->second;
        const auto unsent = unsentBytes(transfer->socket);
        curl_multi_remove_handle(this->multiHandle, transfer->easyHandle);
        this->transfers.erase(id);
        if (transfer->hooks.closed)
            transfer->hooks.closed(unsent);
    }

    void configure(Transfer &transfer) const;

    asio::io_context &loop;
    asio::steady_timer timer;
    CURLM *multiHandle;
    CallId nextId = 1;
    std::uint64_t brokenOffAnswers = 0;
    std::unordered_map<CallId, std::shared_ptr<Transfer>> transfers;
    std::unordered_map<CallId, std::weak_ptr<Transfer>> queuedTransfers;

private:
    static int socketChanged(CURL *easyHandle, curl_socket_t socket, int pollAction, void *context, void *)
    {
        auto *self = static_cast<Private *>(context);
        Transfer *transfer = nullptr;
        curl_easy_getinfo(easyHandle, CURLINFO_PRIVATE, &transfer);
        if (transfer)
            transfer->socket = pollAction == CURL_POLL_REMOVE ? CURL_SOCKET_BAD : socket;
        if (pollAction == CURL_POLL_REMOVE) {
            // The handler that called libcurl still holds the watched socket, and the descriptor number may be reused
            // before that handler returns.
            const auto found = self->sockets.find(socket);
            if (found == self->sockets.end())
                return 0;
            found->second->release();
            self->sockets.erase(found);
            return 0;
        }
        auto &watched = self->sockets[socket];
        if (!watched)
            watched = std::make_shared<WatchedSocket>(self->loop, socket);
        watched->requestedEvents = pollAction;
        watched->transfer = transfer ? transfer->id : 0;
        self->watch(socket, watched);
        return 0;
    }

    static int timerChanged(CURLM *, long timeoutMs, void *context)
    {
        auto *self = static_cast<Private *>(context);
        self->timer.cancel();
        if (timeoutMs < 0)
            return 0;
        self->timer.expires_after(std::chrono::milliseconds(timeoutMs));
        self->timer.async_wait([weak = self->weak_from_this()](const asio::error_code &error) {
            const auto client = weak.lock();
            if (!error && client)
                client->performSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
        return 0;
    }

    void watch(curl_socket_t socket, const std::shared_ptr<WatchedSocket> &watched)
    {
        if ((watched->requestedEvents & CURL_POLL_IN) && !watched->readPending) {
            watched->readPending = true;
            this->waitForSocket(socket, watched, asio::posix::descriptor_base::wait_read);
        }
        if ((watched->requestedEvents & CURL_POLL_OUT) && !watched->writePending) {
            watched->writePending = true;
            this->waitForSocket(socket, watched, asio::posix::descriptor_base::wait_write);
        }
    }

    void waitForSocket(curl_socket_t socket,
                       const std::shared_ptr<WatchedSocket> &watched,
                       asio::posix::descriptor_base::wait_type direction)
    {
        const bool isRead = direction == asio::posix::descriptor_base::wait_read;
        watched->descriptor.async_wait(
            direction,
            [weak = this->weak_from_this(), socket, weakWatched = std::weak_ptr(watched), isRead](
                const asio::error_code &error) {
                const auto client = weak.lock();
                const auto watched = weakWatched.lock();
                if (!client || !watched)
                    return;
                (isRead ? watched->readPending : watched->writePending) = false;
                const int flag = isRead ? CURL_POLL_IN : CURL_POLL_OUT;
                if (error || !(watched->requestedEvents & flag))
                    return;
                const auto transfer = client->transfers.find(watched->transfer);
                if (isRead && transfer != client->transfers.end())
                    transfer->second->checkRequestReceived();
                client->performSocketAction(socket, isRead ? CURL_CSELECT_IN : CURL_CSELECT_OUT);
                const auto current = client->sockets.find(socket);
                if (current != client->sockets.end() && current->second == watched)
                    client->watch(socket, watched);
            });
    }

    void performSocketAction(curl_socket_t socket, int events)
    {
        int runningTransfers = 0;
        curl_multi_socket_action(this->multiHandle, socket, events, &runningTransfers);
        this->reportFinished();
    }

    void reportFinished()
    {
        std::vector<std::shared_ptr<Transfer>> finished;
        int remainingMessages = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multiHandle, &remainingMessages)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer *transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            const CURLcode code = message->data.result;
            const auto found = this->transfers.find(transfer->id);
            if (found == this->transfers.end())
                continue;
            setOutcome(*transfer, code);
            finished.push_back(found->second);
            curl_multi_remove_handle(this->multiHandle, transfer->easyHandle);
            this->transfers.erase(found);
        }
        for (const auto &transfer : finished) {
            if (!transfer->cancelled)
                transfer->hooks.done(transfer->outcome);
        }
    }

    void setOutcome(Transfer &transfer, CURLcode code)
    {
        AnswerFraming &framing = transfer.framing;
        curl_off_t expectedBytes = -1;
        curl_easy_getinfo(transfer.easyHandle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &expectedBytes);
        // Without a length, libcurl reads until the peer ends the connection.
        if (code == CURLE_OK && expectedBytes < 0 && transfer.isRequestReceived)
            framing.connectionEnded();
        transfer.outcome.status = framing.status();
        transfer.outcome.headers = framing.headers();
        transfer.outcome.bodyEnd = framing.bodyEnd();
        transfer.outcome.bodyBytes = framing.bodyBytes();
        if (code == CURLE_OK && framing.isComplete()) {
            transfer.outcome.verdict = Verdict::Ran;
            return;
        }
        transfer.outcome.verdict = transfer.sendAttempts == 0 ? Verdict::NotRun : Verdict::MayHaveRun;
        transfer.outcome.error = code == CURLE_OK ? framing.error() : curl_easy_strerror(code);
        if (code == CURLE_OK && !transfer.isRequestReceived)
            transfer.outcome.error = "the connection ended before the peer had received the request";
        if (!transfer.rejection.empty()) {
            transfer.outcome.isRejected = true;
            transfer.outcome.error = transfer.rejection;
            transfer.outcome.body = {};
            ++this->brokenOffAnswers;
            logEvent(LogLevel::Warning,
                     "answer-broken-off",
                     {{"url", transfer.call.url}, {"status", transfer.outcome.status}, {"error", transfer.rejection}});
        }
        if (transfer.sendAttempts == 0)
            transfer.outcome.failure = HttpFailure::Connect;
        else if (code == CURLE_OPERATION_TIMEDOUT)
            transfer.outcome.failure = HttpFailure::Timeout;
        else
            transfer.outcome.failure = HttpFailure::Broken;
    }

    std::unordered_map<curl_socket_t, std::shared_ptr<WatchedSocket>> sockets;
};

void HttpClient::Private::configure(Transfer &transfer) const
{
    transfer.easyHandle = curl_easy_init();
    CURL *easyHandle = transfer.easyHandle;
    const HttpCall &call = transfer.call;
    curl_easy_setopt(easyHandle, CURLOPT_URL, call.url.c_str());
    if (!call.target.empty())
        curl_easy_setopt(easyHandle, CURLOPT_REQUEST_TARGET, call.target.c_str());
    if (call.maxIdleTime.count() > 0)
        curl_easy_setopt(easyHandle, CURLOPT_MAXAGE_CONN, static_cast<long>(call.maxIdleTime.count()));
    curl_easy_setopt(easyHandle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easyHandle, CURLOPT_PROXY, "");
    curl_easy_setopt(easyHandle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easyHandle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easyHandle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easyHandle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    const std::string &body = call.sentBody();
    if (!body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(easyHandle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(easyHandle, CURLOPT_POSTFIELDS, body.c_str());
    }
    curl_easy_setopt(easyHandle, CURLOPT_UPLOAD_BUFFERSIZE, uploadBufferBytes);
    // libcurl waits one second for "100 Continue" before it sends a large body, unless the field is removed.
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    if (call.omitsDefaultHeaders) {
        for (const char *name : {"Accept", "Content-Type"}) {
            if (!call.headers.has(name))
                transfer.headerList = curl_slist_append(transfer.headerList, (std::string(name) + ":").c_str());
        }
    }
    for (const HttpHeader &field : call.headers) {
        // A field with an empty value is written "Name;", since libcurl removes the field for "Name:".
        const std::string line = field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
        transfer.headerList = curl_slist_append(transfer.headerList, line.c_str());
    }
    curl_easy_setopt(easyHandle, CURLOPT_HTTPHEADER, transfer.headerList);
    curl_easy_setopt(easyHandle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
    curl_easy_setopt(easyHandle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    if (call.forcesNewConnection)
        curl_easy_setopt(easyHandle, CURLOPT_FRESH_CONNECT, 1L);
    // AnswerFraming decodes the body, since it has to see the chunks.
    curl_easy_setopt(easyHandle, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easyHandle, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easyHandle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easyHandle, CURLOPT_PREREQFUNCTION, &beforeRequest);
    curl_easy_setopt(easyHandle, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easyHandle, CURLOPT_HEADERFUNCTION, &headerReceived);
    curl_easy_setopt(easyHandle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easyHandle, CURLOPT_WRITEFUNCTION, &dataReceived);
    curl_easy_setopt(easyHandle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easyHandle, CURLOPT_CLOSESOCKETFUNCTION, &closeSocket);
    curl_easy_setopt(easyHandle, CURLOPT_PRIVATE, &transfer);
}

std::string endpointUrl(const std::string &endpoint)
{
    return endpoint.find("://") == std::string::npos ? "http://" + endpoint : endpoint;
}

HttpClient::HttpClient(asio::io_context &loop)
    : d(std::make_shared<Private>(loop))
{
}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::start(HttpCall call, HttpCallHooks hooks)
{
    auto transfer = std::make_shared<Transfer>(this->d->nextId++, std::move(call), std::move(hooks));
    this->d->configure(*transfer);
    this->d->queuedTransfers[transfer->id] = transfer;
    // libcurl rejects calls to its multi interface from its own callbacks, from which hooks are called.
    asio::post(this->d->loop, [weak = std::weak_ptr(this->d), transfer] {
        const auto client = weak.lock();
        if (!client)
            return;
        client->queuedTransfers.erase(transfer->id);
        client->add(transfer);
    });
    return transfer->id;
}

void HttpClient::cancel(CallId id)
{
    if (const auto found = this->d->queuedTransfers.find(id); found != this->d->queuedTransfers.end()) {
        if (const auto transfer = found->second.lock())
            transfer->cancelled = true;
        return;
    }
    const auto found = this->d->transfers.find(id);
    if (found == this->d->transfers.end())
        return;
    found->second->cancelled = true;
    asio::post(this->d->loop, [weak = std::weak_ptr(this->d), id] {
        if (const auto client = weak.lock())
            client->remove(id);
    });
}

std::optional<std::size_t> HttpClient::unacknowledgedBytes(CallId id) const
{
    const auto found = this->d->transfers.find(id);
    return found == this->d->transfers.end() ? std::nullopt : unsentBytes(found->second->socket);
}

void HttpClient::setMaxConnections(std::size_t count)
{
    this->d->setMaxConnections(count);
}

std::uint64_t HttpClient::brokenOffAnswers() const
{
    return this->d->brokenOffAnswers;
}

} // namespace hemlock
