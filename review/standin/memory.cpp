// One worker sends bytes without end in the body of an answer. Does the machine stay up, and do the requests that it
// has passed on to sound workers get their answers?

#include "platform.h"

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(recordFile());
    Folder folder;
    Store store;
    std::mutex mutex;
    std::set<std::string> passedOn; ///< Bookings that have reached a sound worker.
    const auto book = [&](const std::string &name) {
        return [&, name](const Request &request, Connection &connection) {
            {
                const std::lock_guard lock(mutex);
                passedOn.insert(request.value("X-Hemlockflow-Attempt-Id"));
            }
            std::this_thread::sleep_for(Ms(250));
            return connection.send(answerText(200, signedFields(request, name), "booked"));
        };
    };
    Worker sound1(store, "i-7f3a91c2", "wuno96b", 6, book("w1"));
    Worker sound2(store, "i-02d9e6b4", "wuno96b", 6, book("w2"));
    std::atomic<long> sentBytes{0};
    Worker garbling(store, "i-55aa01d7", "huvo11a", 64, [&](const Request &request, Connection &connection) {
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto &[name, value] : signedFields(request, "m1"))
            head += name + ": " + value + "\r\n";
        const std::string event = "id: 1\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        connection.send(head + "\r\n" + size + event + "\r\n0\r\n");
        if (!hasTrouble)
            return connection.send("\r\n");
        // The last chunk is followed by lines that end neither the body nor the connection; at most 400 Mbit/s.
        record.line("model worker: sends bytes without end in the body of its answer");
        std::string lines;
        while (lines.size() < 50000)
            lines += "k" + std::to_string(lines.size()) + ": piece\r\n";
        const auto start = Clock::now();
        while (connection.send(lines)) {
            sentBytes += static_cast<long>(lines.size());
            std::this_thread::sleep_until(start + std::chrono::microseconds(sentBytes / 50));
        }
        record.line("model worker: the caller has closed after " + std::to_string(sentBytes / 1000000) + " MB");
        return false;
    });
    store.put("op/config",
              configuration(7,
                            json::array({route("r-book", "/puxa403/", "non_idempotent", 3000, 300, "wuno96b", 1),
                                         route("r-plan", "/lohu930/", "streaming", 12000, 1000, "huvo11a", 1)}),
                            json::array({{{"name", "wuno96b"}, {"health-path", "/healthz"}, {"max-conns", 96}},
                                         {{"name", "huvo11a"}, {"health-path", "/healthz"}, {"max-conns", 360}}}))
                  .dump());
    Relay relay(folder.path, "frontend-quito-a-1", store, "");
    relay.start();
    if (!relay.waitUntilReady())
        leave(notRun);
    std::this_thread::sleep_for(Ms(2000));
    const long memoryLimit = relay.settings["limits"]["memory-mb"].get<long>();

    std::atomic<bool> isOver{false};
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> clients;
    for (int client = 0; client < 6; ++client) {
        clients.emplace_back([&, client] {
            auto connection = Connection::open(relay.front);
            for (int i = 0; connection && !isOver; ++i) {
                const std::string id = "booking-" + std::to_string(client) + "-" + std::to_string(i);
                connection->send(requestText("POST", "/puxa403/2f", id, 3000, "{}"));
                const Answer answer = connection->readAnswer(Ms(3500));
                if (answer.end == End::Complete) {
                    ++answered;
                    continue;
                }
                const std::lock_guard lock(mutex);
                const bool wasPassedOn = passedOn.contains(id);
                record.line("client: " + id + " on a kept connection: " + endName(answer.end) + " without an answer, "
                            + (wasPassedOn ? "after a sound worker had got it" : "no worker had got it"));
                if (wasPassedOn && i > 0)
                    ++lost;
                return;
            }
        });
    }
    std::this_thread::sleep_for(Ms(1500));
    record.line("relay: memory " + std::to_string(relay.memoryMb()) + " MB, the limit is "
                + std::to_string(memoryLimit));
    std::thread planner([&] {
        const auto connection = Connection::open(relay.front);
        connection->send(requestText("POST", "/lohu930/2f", "plan", 12000, "{}"));
        record.line("client: plan sent");
        const Answer answer = connection->readAnswer(Ms(12500));
        record.line("client: plan ended: " + std::to_string(answer.status) + ", " + endName(answer.end));
    });
    const auto until = Clock::now() + Ms(14000);
    long memory = 0;
    while (Clock::now() < until && memory <= memoryLimit) {
        std::this_thread::sleep_for(Ms(20));
        memory = relay.memoryMb();
    }
    record.line("relay: memory " + std::to_string(memory)
                + " MB at its peak; bytes sent by the model worker: " + std::to_string(sentBytes));
    if (memory > memoryLimit) {
        record.line("platform: kills the process, which exceeds memory-mb");
        relay.kill();
    }
    isOver = true;
    for (std::thread &client : clients)
        client.join();
    planner.join();
    record.line("client: bookings answered " + std::to_string(answered) + ", lost " + std::to_string(lost));
    if (answered < 6)
        leave(notRun);
    if (lost > 3) {
        record.line("LOST: more than three requests from kept connections that sound workers had got have no answer");
        leave(broken);
    }
    record.line("LOST holds");
    leave(held);
}
