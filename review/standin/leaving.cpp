// A worker says in its answers that it leaves while the store is down: does it still get requests?

#include "platform.h"

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(recordFile());
    Folder folder;
    Store store;
    std::atomic<bool> isLeaving{false};
    std::atomic<bool> hasExited{false};
    std::mutex mutex;
    std::optional<Clock::time_point> firstNamed; ///< When the machine had passed on the first such answer.
    std::map<std::string, Clock::time_point> sentAt;
    int late = 0;
    const auto handler = [&](bool leaves, const std::string &name) {
        return [&, leaves, name](const Request &request, Connection &connection) {
            const std::string id = request.value("X-Hemlockflow-Attempt-Id");
            auto fields = signedFields(request, name);
            if (leaves && isLeaving)
                fields.emplace_back("Server-Leaving", "1");
            {
                const std::lock_guard lock(mutex);
                if (leaves && firstNamed && sentAt.contains(id) && sentAt[id] > *firstNamed + Ms(2000)) {
                    ++late;
                    record.line("worker " + name + ": gets " + id + ", sent "
                                + std::to_string(std::chrono::duration_cast<Ms>(sentAt[id] - *firstNamed).count())
                                + " ms after the machine had passed on Server-Leaving");
                }
            }
            std::this_thread::sleep_for(Ms(60));
            return connection.send(answerText(200, fields, "booked " + id));
        };
    };
    Worker leaving(store, "i-7f3a91c2", "wuno96b", 6, handler(true, "w1"));
    Worker staying(store, "i-02d9e6b4", "wuno96b", 6, handler(false, "w2"));
    store.put("op/config",
              configuration(7,
                            json::array({route("r-book", "/puxa403/", "non_idempotent", 3000, 300, "wuno96b", 1)}),
                            json::array({{{"name", "wuno96b"}, {"health-path", "/healthz"}, {"max-conns", 96}}}))
                  .dump());
    Relay relay(folder.path, "frontend-quito-a-1", store, "");
    relay.start();
    if (!relay.waitUntilReady())
        leave(notRun);
    std::this_thread::sleep_for(Ms(2500));
    const auto start = Clock::now();
    const auto at = [&](int ms) { return Clock::now() >= start + Ms(ms); };
    int total = 0;
    for (int i = 0; !at(7000); ++i) {
        if (hasTrouble && at(1000) && !store.isSilent && !at(5400)) {
            store.isSilent = true;
            record.line("store: silent");
        }
        if (at(1200) && !isLeaving) {
            isLeaving = true;
            leaving.state = "draining";
            record.line("worker w1: leaves; it says so in its answers and reports it to the store");
            if (!hasTrouble)
                store.remove("servers/none");
        }
        if (store.isSilent && at(5500)) {
            store.isSilent = false;
            record.line("store: back");
        }
        const std::string id = "booking-" + std::to_string(i);
        {
            const std::lock_guard lock(mutex);
            sentAt[id] = Clock::now();
        }
        const auto connection = Connection::open(relay.front);
        if (!connection)
            leave(notRun);
        connection->send(requestText("POST", "/puxa403/2f", id, 3000, "{}"));
        const Answer answer = connection->readAnswer(Ms(3500));
        ++total;
        if (answer.find("Server-Leaving")) {
            const std::lock_guard lock(mutex);
            if (!firstNamed) {
                firstNamed = Clock::now();
                record.line("client: " + id + " answered " + std::to_string(answer.status)
                            + " with Server-Leaving by w1, for the first time");
            }
        }
        std::this_thread::sleep_for(Ms(30));
    }
    record.line("client: bookings sent " + std::to_string(total));
    relay.kill();
    if (!firstNamed)
        leave(notRun);
    if (late == 0) {
        record.line("DRAIN holds: the worker got no request later than drain-ms");
        leave(held);
    }
    record.line("DRAIN: requests that reached the leaving worker too late: " + std::to_string(late));
    leave(broken);
}
