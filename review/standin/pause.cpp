// A worker turns one request away with 503 and Retry-After. Does it get requests before that time is over?

#include "platform.h"

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(recordFile());
    Folder folder;
    Store store;
    std::mutex mutex;
    std::optional<Clock::time_point> turnedAway;
    int early = 0;
    Worker worker(store, "i-7f3a91c2", "wuno96b", 6, [&](const Request &request, Connection &connection) {
        const std::lock_guard lock(mutex);
        auto fields = signedFields(request, "w1");
        const std::string id = request.value("X-Hemlockflow-Attempt-Id");
        if (hasTrouble && !turnedAway) {
            turnedAway = Clock::now();
            record.line("worker: turns " + id + " away with 503, Retry-After: 3");
            fields.emplace_back("X-Hemlockflow-Not-Executed", "1");
            fields.emplace_back("Retry-After", "3");
            return connection.send(answerText(503, fields, ""));
        }
        const auto since = turnedAway ? Clock::now() - *turnedAway : Ms(0);
        if (since > Ms(500) && since < Ms(3000)) {
            ++early;
            record.line("worker: gets " + id);
        }
        return connection.send(answerText(200, fields, "ok"));
    });
    store.put("op/config",
              configuration(7,
                            json::array({route("r-check", "/cufi504/", "idempotent", 3000, 300, "wuno96b", 1)}),
                            json::array({{{"name", "wuno96b"}, {"health-path", "/healthz"}, {"max-conns", 96}}}))
                  .dump());
    Relay relay(folder.path, "frontend-quito-a-1", store, "");
    relay.start();
    if (!relay.waitUntilReady())
        leave(notRun);
    std::this_thread::sleep_for(Ms(2000));
    for (int i = 0; i < 60; ++i) {
        const auto connection = Connection::open(relay.front);
        if (!connection)
            leave(notRun);
        connection->send(requestText("GET", "/cufi504/x", "check-" + std::to_string(i), 3000, ""));
        connection->readAnswer(Ms(3000));
        std::this_thread::sleep_for(Ms(60));
    }
    record.line("worker: requests before the time was over: " + std::to_string(early));
    leave(early > 2 ? broken : held);
}
