// A late write of the usage record, then the end of all processes: is a window reported twice with different counts?

#include "platform.h"

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(recordFile());
    Folder folder;
    Store store;
    std::mutex mutex;
    std::map<std::int64_t, std::vector<json>> reports; ///< Accepted counts by window.
    Server cloud([&](const Request &request, Connection &connection) {
        if (request.path() == "/usage") {
            const json body = json::parse(request.body);
            const std::lock_guard lock(mutex);
            reports[body.at("window").get<std::int64_t>()].push_back(body.at("counts"));
            record.line("cloud: usage report accepted: " + request.body + ", holder "
                        + request.value("X-Hemlockflow-Lease-Holder") + ", fencing token "
                        + request.value("X-Hemlockflow-Fencing-Token"));
        }
        return connection.send(answerText(200, {{"Content-Type", "application/json"}}, "{}"));
    });
    const auto isUsageRecord = [](const json &transaction) {
        for (const json &put : transaction.at("puts")) {
            if (put.at("key").get<std::string>().ends_with("/usage") && put.at("lease").get<std::int64_t>() == 0
                && unbase64(put.at("value")).find("\"windows\"") != std::string::npos)
                return true;
        }
        return false;
    };
    const auto recordText = [](const json &transaction) {
        return unbase64(transaction.at("puts").at(0).at("value").get<std::string>());
    };
    std::atomic<bool> losesNext{false};
    std::atomic<bool> lateDone{false};
    std::atomic<bool> lateHeld{false};
    std::atomic<std::int64_t> lateWindow{-1};
    // The late write is done once the next window is reported, 6 s after it was sent at most.
    store.lateReady = [&] {
        const std::lock_guard lock(mutex);
        return reports.contains(lateWindow + 1);
    };
    store.fate = [&](const json &transaction) {
        if (!isUsageRecord(transaction))
            return Store::Fate::Done;
        if (losesNext.exchange(false)) {
            lateWindow = std::stoll(json::parse(recordText(transaction)).at("windows").begin().key());
            record.line("store: a write is not answered, and done later: " + recordText(transaction));
            return Store::Fate::Late;
        }
        return Store::Fate::Done;
    };
    store.executed = [&](const json &transaction, bool isLate, bool isDone) {
        if (!isUsageRecord(transaction))
            return;
        record.line("store: " + std::string(isLate ? "late " : "") + "write "
                    + (isDone ? "done: " : "refused, its condition does not hold: ") + recordText(transaction));
        if (isLate) {
            lateHeld = isDone;
            lateDone = true;
        }
    };
    std::atomic<int> ran{0};
    Worker worker(store, "i-7f3a91c2", "wuno96b", 64, [&](const Request &request, Connection &connection) {
        ++ran;
        return connection.send(answerText(200, signedFields(request, "w1"), "ok"));
    });
    store.put("op/config",
              configuration(7,
                            json::array({route("r-check", "/cufi504/", "idempotent", 3000, 300, "wuno96b", 2)}),
                            json::array({{{"name", "wuno96b"}, {"health-path", "/healthz"}, {"max-conns", 96}}}))
                  .dump());
    Relay first(folder.path, "frontend-quito-a-1", store, cloud.address());
    Relay second(folder.path, "frontend-quito-a-2", store, cloud.address());
    first.start();
    second.start();
    if (!first.waitUntilReady() || !second.waitUntilReady())
        leave(notRun);
    std::atomic<bool> isOver{false};
    std::atomic<int> sent{0};
    std::thread traffic([&] {
        for (int i = 0; !isOver; ++i) {
            Relay &relay = i % 2 == 0 ? first : second;
            if (const auto connection = Connection::open(relay.front)) {
                connection->send(requestText("GET", "/cufi504/x", "a" + std::to_string(i), 3000, ""));
                ++sent;
                connection->readAnswer(Ms(500));
            }
            std::this_thread::sleep_for(Ms(50));
        }
    });
    const auto finish = [&](int result) {
        isOver = true;
        traffic.join();
        record.line("client: requests sent " + std::to_string(sent) + "; run by the worker " + std::to_string(ran));
        leave(result);
    };
    const auto reportCount = [&] {
        const std::lock_guard lock(mutex);
        return reports.size();
    };
    const auto waitFor = [](Ms timeout, const std::function<bool()> &condition) {
        const auto until = Clock::now() + timeout;
        while (Clock::now() < until) {
            if (condition())
                return true;
            std::this_thread::sleep_for(Ms(10));
        }
        return false;
    };
    if (!waitFor(Ms(25000), [&] { return reportCount() >= 2; }))
        finish(notRun);
    if (hasTrouble) {
        losesNext = true;
        if (!waitFor(Ms(15000), [&] { return lateDone.load(); }) || !lateHeld)
            finish(notRun);
        std::this_thread::sleep_for(Ms(1000));
        record.line("bench: all processes are killed");
        first.kill();
        second.kill();
        std::this_thread::sleep_for(Ms(1000));
        record.line("bench: all processes start again");
        first.start();
        second.start();
        if (!first.waitUntilReady() || !second.waitUntilReady())
            finish(notRun);
    }
    const std::size_t before = reportCount();
    waitFor(Ms(25000), [&] { return reportCount() >= before + 3; });
    int result = held;
    const std::lock_guard lock(mutex);
    for (const auto &[window, counts] : reports) {
        for (const json &other : counts) {
            if (other == counts.front())
                continue;
            record.line("ONE: window " + std::to_string(window) + " was reported as " + counts.front().dump()
                        + " and as " + other.dump());
            result = broken;
        }
    }
    isOver = true;
    traffic.join();
    record.line("client: requests sent " + std::to_string(sent) + "; run by the worker " + std::to_string(ran));
    if (result == held)
        record.line("ONE holds: no window was reported with different counts");
    leave(result);
}
