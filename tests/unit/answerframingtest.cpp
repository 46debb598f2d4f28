#include "answerframing.h"
#include "answerforms.h"
#include "httpclient.h"

#include <asio.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cctype>
#include <functional>
#include <iostream>
#include <optional>

using namespace hemlock;
using asio::ip::tcp;

namespace {

/// How the connection ends behind the bytes of an answer.
enum class Ending {
    Close,
    Reset,
};

/// What is told about an answer to the one who asked.
struct Received
{
    bool isComplete = false;
    int status = 0;
    std::string body;
    std::string error;

    bool isSuccess() const
    {
        return this->isComplete && this->status >= 200 && this->status < 300;
    }
};

/// Bytes in pieces of a size each, the last one shorter.
std::vector<std::string> pieces(const std::string &bytes, std::size_t size)
{
    std::vector<std::string> pieces;
    for (std::size_t begin = 0; begin < bytes.size(); begin += size)
        pieces.push_back(bytes.substr(begin, size));
    return pieces;
}

/// Gives bytes to AnswerFraming: the head line by line, the rest in pieces.
Received receivedDirectly(const std::string &bytes, std::size_t pieceSize, Ending ending)
{
    AnswerFraming framing;
    Received received;
    std::size_t begin = 0;
    bool isSound = true;
    while (isSound && !framing.isHeadComplete() && begin < bytes.size()) {
        const std::size_t lineEnd = bytes.find('\n', begin);
        if (lineEnd == std::string::npos)
            break;
        isSound = framing.addHeadLine(std::string_view(bytes).substr(begin, lineEnd + 1 - begin));
        begin = lineEnd + 1;
    }
    const auto takeContent = [&received](std::string_view content) {
        received.body += content;
        return true;
    };
    if (isSound && framing.isHeadComplete()) {
        // The transport delivers no more than the announced length.
        std::string rest = bytes.substr(begin);
        if (framing.bodyEnd() == BodyEnd::Head)
            rest.clear();
        if (framing.bodyEnd() == BodyEnd::Length)
            rest.resize(std::min(rest.size(), std::stoul(framing.headers().value("Content-Length"))));
        for (const std::string &piece : pieces(rest, pieceSize)) {
            if (!framing.addBody(piece, takeContent))
                break;
        }
    }
    if (ending == Ending::Close)
        framing.connectionEnded();
    received.isComplete = framing.isComplete();
    received.status = framing.status();
    received.error = framing.error();
    return received;
}

/// A client, and a server that sends prepared bytes in pieces for each request.
class RawExchange
{
public:
    RawExchange()
    {
        this->accept();
    }

    Received receive(const std::string &bytes, std::size_t pieceSize, Ending ending)
    {
        this->answerPieces = std::make_shared<const std::vector<std::string>>(pieces(bytes, pieceSize));
        this->ending = ending;
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()) + "/";
        call.timeout = std::chrono::seconds(5);
        // Late bytes of an answer before must not be taken for this one.
        call.forcesNewConnection = true;
        std::optional<HttpOutcome> outcome;
        HttpCallHooks hooks;
        hooks.done = [&outcome](const HttpOutcome &result) { outcome = result; };
        this->client.start(call, std::move(hooks));
        while (!outcome)
            this->loop.run_one();
        return {outcome->isComplete(), outcome->status, outcome->body, outcome->error};
    }

private:
    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code &error, tcp::socket accepted) {
            if (error)
                return;
            const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
            socket->set_option(tcp::no_delay(true));
            const auto request = std::make_shared<std::string>();
            asio::async_read_until(*socket,
                                   asio::dynamic_buffer(*request),
                                   "\r\n\r\n",
                                   [this, socket, request](const asio::error_code &, std::size_t) {
                                       this->sendPieces(socket, this->answerPieces, 0, this->ending);
                                   });
            this->accept();
        });
    }

    void sendPieces(const std::shared_ptr<tcp::socket> &socket,
                    const std::shared_ptr<const std::vector<std::string>> &answer,
                    std::size_t index,
                    Ending end)
    {
        asio::error_code ignored;
        if (index >= answer->size()) {
            if (end == Ending::Reset)
                socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
            return;
        }
        asio::write(*socket, asio::buffer((*answer)[index]), ignored);
        asio::post(this->loop,
                   [this, socket, answer, index, end] { this->sendPieces(socket, answer, index + 1, end); });
    }

    asio::io_context loop;
    tcp::acceptor acceptor{this->loop, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    HttpClient client{this->loop};
    std::shared_ptr<const std::vector<std::string>> answerPieces;
    Ending ending = Ending::Close;
};

/// A sound answer, and where the bytes lie whose change no receiver can notice.
class GeneratedAnswer
{
public:
    GeneratedAnswer()
        : bodyEnd(*rc::gen::element(BodyEnd::Length, BodyEnd::LastChunk, BodyEnd::Connection))
        , body(*rc::gen::suchThat(rc::gen::container<std::string>(rc::gen::inRange('a', 'z')),
                                  [](const std::string &text) { return !text.empty(); }))
    {
        const int interimHeads = *rc::gen::inRange(0, 3);
        for (int i = 0; i < interimHeads; ++i) {
            this->bytes += "HTTP/1.1 ";
            this->addUnverifiable(*rc::gen::element<std::string>("100", "103"));
            this->bytes += " Interim\r\nX-Hint: a\r\n\r\n";
        }
        this->bytes += "HTTP/1.1 ";
        if (this->bodyEnd == BodyEnd::Connection)
            this->addUnverifiable("200");
        else
            this->bytes += "200";
        this->bytes += " OK";
        this->addUnverifiable("\r");
        this->bytes += "\n";
        const std::string fields = *rc::gen::element<std::string>("", "X-Field: a\r\n", "X-A: 1\r\nX-B: 2, 3\r\n");
        const bool areFieldsFirst = *rc::gen::arbitrary<bool>();
        this->bytes += areFieldsFirst ? fields : "";
        if (this->bodyEnd == BodyEnd::Length) {
            this->bytes += "Content-Length: ";
            this->addUnverifiable(std::to_string(this->body.size()));
            this->bytes += "\r\n";
        } else if (this->bodyEnd == BodyEnd::LastChunk) {
            this->addUnverifiable("Transfer-Encoding");
            this->bytes += ": chunked\r\n";
        }
        this->bytes += (areFieldsFirst ? "" : fields) + "\r\n";
        this->bodyBegin = this->bytes.size();
        if (this->bodyEnd == BodyEnd::LastChunk)
            this->addChunks();
        else
            this->bytes += this->body;
    }

    /// Whether a faulty byte at a position may give another sound answer: a digit of the one length or of a chunk
    /// size, of a status that decides whether a body follows, a letter of the field that announces the chunks, the
    /// CR of the status line, as two LF end a head whose lines end with LF alone, or a blank behind a chunk size that
    /// has become another digit of it.
    bool isUnverifiable(std::size_t position, char faultyByte) const
    {
        const bool isSizeBlank =
            std::find(this->sizeBlanks.begin(), this->sizeBlanks.end(), position) != this->sizeBlanks.end();
        if (isSizeBlank && std::isxdigit(static_cast<unsigned char>(faultyByte)) != 0)
            return true;
        return std::any_of(this->unverifiable.begin(), this->unverifiable.end(), [position](const auto &range) {
            return position >= range.first && position < range.second;
        });
    }

    std::string bytes;
    std::size_t bodyBegin = 0; ///< Position behind the head.
    BodyEnd bodyEnd;
    std::string body;

private:
    void addUnverifiable(const std::string &text)
    {
        this->unverifiable.emplace_back(this->bytes.size(), this->bytes.size() + text.size());
        this->bytes += text;
    }

    void addChunks()
    {
        const std::string extension = *rc::gen::element<std::string>("", ";name=value", " ; a");
        std::size_t begin = 0;
        while (begin < this->body.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, this->body.size() - begin + 1);
            std::ostringstream digits;
            digits << std::hex << size;
            this->addUnverifiable(digits.str());
            if (extension.starts_with(' '))
                this->sizeBlanks.push_back(this->bytes.size());
            this->bytes += extension + "\r\n" + this->body.substr(begin, size) + "\r\n";
            begin += size;
        }
        this->bytes += "0" + extension + "\r\n" + *rc::gen::element<std::string>("", "X-Late: 1\r\n") + "\r\n";
    }

    std::vector<std::pair<std::size_t, std::size_t>> unverifiable;
    std::vector<std::size_t> sizeBlanks;
};

enum class Fault {
    None,
    Cut,
    DoubledByte,
    ChangedByte,
    LostByte,
    DoubledAnswer,
};

std::string withFault(const std::string &bytes, Fault fault, std::size_t position)
{
    std::string faulty = bytes;
    if (fault == Fault::Cut)
        faulty.resize(position);
    else if (fault == Fault::DoubledByte)
        faulty.insert(position, 1, bytes[position]);
    else if (fault == Fault::ChangedByte)
        faulty[position] =
            *rc::gen::suchThat(rc::gen::oneOf(rc::gen::arbitrary<char>(),
                                              rc::gen::elementOf(std::string("\r\n\0 \t:;,+-0123456789x", 20))),
                               [&bytes, position](char byte) { return byte != bytes[position]; });
    else if (fault == Fault::LostByte)
        faulty.erase(position, 1);
    else if (fault == Fault::DoubledAnswer)
        faulty += bytes;
    return faulty;
}

/// A receiver that is given bytes, the size of the pieces they come in, and how their connection ends.
using Receiver = std::function<Received(const std::string &bytes, std::size_t pieceSize, Ending ending)>;

/// Checks that a faulty answer gives the whole body or a failure.
void checkFaultyAnswer(const Receiver &receiver)
{
    const GeneratedAnswer answer;
    const auto fault = *rc::gen::element(
        Fault::None, Fault::Cut, Fault::DoubledByte, Fault::ChangedByte, Fault::LostByte, Fault::DoubledAnswer);
    const auto position = *rc::gen::inRange<std::size_t>(0, answer.bytes.size());
    const auto ending = *rc::gen::element(Ending::Close, Ending::Reset);
    const auto pieceSize = *rc::gen::element<std::size_t>(1, 2, 3, 7, 50, answer.bytes.size() * 2);
    const std::string faulty = withFault(answer.bytes, fault, position);
    const Received received = receiver(faulty, pieceSize, ending);
    RC_TAG(std::string(received.isSuccess() ? "success" : "failure"));
    RC_LOG() << "sent: " << faulty << "\nreceived: " << received.body << "\nerror: " << received.error << "\n";

    if (fault == Fault::None && ending == Ending::Close) {
        RC_ASSERT(received.isSuccess());
        RC_ASSERT(received.body == answer.body);
        return;
    }
    if (!received.isSuccess())
        return;
    const bool hasOneFaultyByte =
        fault == Fault::DoubledByte || fault == Fault::ChangedByte || fault == Fault::LostByte;
    if (hasOneFaultyByte && answer.isUnverifiable(position, faulty[position]))
        return;
    if (answer.bodyEnd == BodyEnd::Connection) {
        // Only a reset tells that bytes are missing or added.
        RC_ASSERT(ending == Ending::Close);
        if (fault == Fault::DoubledAnswer || position + 1 >= answer.bodyBegin)
            return;
    }
    // A length cannot tell that a byte is another one.
    if (hasOneFaultyByte && position + 1 >= answer.bodyBegin)
        RC_ASSERT(received.body.size() == answer.body.size());
    else
        RC_ASSERT(received.body == answer.body);
}

/// Runs a property on many cases. The environment variable RC_PARAMS may set the seed, as "seed=1".
void checkCases(const std::function<void()> &property, int cases, bool takesSeed)
{
    rc::detail::TestParams params = takesSeed ? rc::detail::configuration().testParams : rc::detail::TestParams();
    params.maxSuccess = cases;
    constexpr std::uint64_t fixedSeed = 38;
    if (!takesSeed)
        params.seed = fixedSeed;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO("seed " << params.seed << ": " << text.str());
    CHECK(result.template is<rc::detail::SuccessResult>());
    if (takesSeed)
        std::cout << "seed " << params.seed << ": " << text.str() << '\n';
}

} // namespace

TEST_CASE("AnswerFraming: answer is not sound: is not complete")
{
    const AnswerForm form = GENERATE(from_range(unsoundAnswers()));
    INFO(form.name);
    const Received received = receivedDirectly(form.bytes(), GENERATE(1, 3, 10000), Ending::Close);
    CHECK_FALSE(received.isComplete);
    CHECK_FALSE(received.error.empty());
}

TEST_CASE("AnswerFraming: answer is sound: is complete and has the whole body")
{
    const AnswerForm form = GENERATE(from_range(soundAnswers()));
    INFO(form.name);
    const Received received = receivedDirectly(form.bytes(), GENERATE(1, 3, 10000), Ending::Close);
    CHECK(received.error.empty());
    CHECK(received.isComplete);
    CHECK(received.body == wholeAnswerBody());
}

TEST_CASE("AnswerFraming: answer is cut at any byte: is not complete, unless its connection ends it")
{
    const AnswerForm form = GENERATE(from_range(soundAnswers()));
    INFO(form.name);
    const std::string bytes = form.bytes();
    const std::size_t headBytes = bytes.size() - form.body.size();
    const bool hasEnd = !form.framing.empty();
    for (std::size_t size = 0; size < (hasEnd ? bytes.size() : headBytes); ++size) {
        INFO(size);
        CHECK_FALSE(receivedDirectly(bytes.substr(0, size), bytes.size(), Ending::Close).isComplete);
    }
}

TEST_CASE("AnswerFraming: connection is reset behind an answer without a length: is not complete")
{
    const AnswerForm form{"", "", wholeAnswerBody()};
    CHECK_FALSE(receivedDirectly(form.bytes(), 10000, Ending::Reset).isComplete);
}

TEST_CASE("AnswerFraming: bytes follow the last chunk: are reported")
{
    AnswerFraming framing;
    for (const char *line : {"HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n", "\r\n"})
        REQUIRE(framing.addHeadLine(line));
    const auto takeContent = [](std::string_view) { return true; };
    CHECK(framing.addBody("2\r\nab\r\n0\r\n\r\n", takeContent));
    CHECK(framing.isComplete());
    CHECK_FALSE(framing.hasExcess());
    CHECK(framing.addBody("H", takeContent));
    CHECK(framing.isComplete());
    CHECK(framing.hasExcess());
}

TEST_CASE("AnswerFraming: faulty bytes: give the whole body or a failure")
{
    checkCases([] { checkFaultyAnswer(&receivedDirectly); }, 3000, false);
}

TEST_CASE("HttpClient: faulty bytes: give the whole body or a failure")
{
    RawExchange exchange;
    checkCases(
        [&exchange] {
            checkFaultyAnswer([&exchange](const std::string &bytes, std::size_t pieceSize, Ending ending) {
                return exchange.receive(bytes, pieceSize, ending);
            });
        },
        500,
        false);
}

TEST_CASE("AnswerFraming: many faulty bytes: give the whole body or a failure", "[.fuzz]")
{
    checkCases([] { checkFaultyAnswer(&receivedDirectly); }, 300000, true);
}

TEST_CASE("HttpClient: many faulty bytes: give the whole body or a failure", "[.fuzz]")
{
    RawExchange exchange;
    checkCases(
        [&exchange] {
            checkFaultyAnswer([&exchange](const std::string &bytes, std::size_t pieceSize, Ending ending) {
                return exchange.receive(bytes, pieceSize, ending);
            });
        },
        30000,
        true);
}
