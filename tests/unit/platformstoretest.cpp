#include "platformstore.h"

#include "encoding.h"
#include "httpclient.h"
#include "httpserver.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

/// The adapter's access to a store that gives one prepared answer.
class PlatformStoreFixture
{
protected:
    static json item(const std::string &key, const std::string &encodedValue)
    {
        return {{"key", key}, {"value", encodedValue}, {"revision", 7}, {"created-rev", 7}, {"lease", 0}};
    }

    KvPage readPage()
    {
        std::optional<KvPage> result;
        this->access.readPage("servers/", {}, [&result](const KvPage &page) { result = page; });
        while (!result)
            this->loop.run_one();
        return *result;
    }

    KvChanges waitForChanges()
    {
        std::optional<KvChanges> result;
        this->access.waitForChanges(
            "servers/", 1, std::chrono::milliseconds(100), [&result](const KvChanges &changes) { result = changes; });
        while (!result)
            this->loop.run_one();
        return *result;
    }

    asio::io_context loop{1};
    json answer;
    int status = 200;
    HttpHeaders headers;
    HttpServer server{this->loop, {}, [this](const HttpRequest &, const HttpResponderPtr &responder) {
                          responder->reply(this->status, this->headers, this->answer.dump());
                      }};
    HttpClient http{this->loop};
    KvAccess access = platform::storeAccess(this->http, this->server.start());
};

} // namespace

TEST_CASE_METHOD(PlatformStoreFixture, "storeAccess: answer has Store-Era: its result tells the era, failures as well")
{
    this->headers = {{"Store-Era", "12"}};
    this->answer = {{"items", json::array()}, {"current-rev", 9}};
    CHECK(this->readPage().range.era == 12);
    this->status = 410;
    CHECK(this->waitForChanges().era == 12);
}

TEST_CASE_METHOD(PlatformStoreFixture, "storeAccess: Store-Era is missing or no number: the era is unknown")
{
    this->answer = {{"items", json::array()}, {"current-rev", 9}};
    CHECK(this->readPage().range.era == 0);
    for (const std::string era : {"x", "12x", "-1", "99999999999999999999", ""}) {
        this->headers = {{"Store-Era", era}};
        CHECK(this->readPage().range.era == 0);
        CHECK(this->readPage().range.status == KvStatus::Ok);
    }
}

// Guards against a list that is not followed any more because of one entry.
TEST_CASE_METHOD(PlatformStoreFixture, "storeAccess: one item cannot be decoded: the others are read")
{
    const std::string good = encodeBase64("good");
    const json odd = GENERATE(json{{"key", "servers/b"}, {"value", "not base64!"}, {"revision", 7}},
                              json{{"key", "servers/b"}, {"revision", 7}},
                              json{{"key", "servers/b"}, {"value", json::array({1})}, {"revision", 7}},
                              json{{"key", "servers/b"}, {"value", ""}, {"revision", "seven"}},
                              json("no object"));
    this->answer = {{"items", {item("servers/a", good), odd, item("servers/c", good)}}, {"current-rev", 9}};
    const KvPage page = this->readPage();
    REQUIRE(page.range.status == KvStatus::Ok);
    REQUIRE(page.range.entries.size() == 2);
    CHECK(page.range.entries[1].key == "servers/c");

    this->answer = {{"events", {item("servers/a", good), odd, item("servers/c", good)}}, {"current-rev", 9}};
    const KvChanges changes = this->waitForChanges();
    REQUIRE(changes.status == KvStatus::Ok);
    CHECK(changes.events.size() == 2);
}
