// A machine is stopped while it still serves: is a booking that it has read and passed on answered?

#include "platform.h"

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(recordFile());
    Folder folder;
    Store store;
    Worker worker(store, "i-7f3a91c2", "wuno96b", 6, [&](const Request &request, Connection &connection) {
        const std::string id = request.value("X-Hemlockflow-Attempt-Id");
        record.line("worker: runs " + id + ", deadline " + request.value("X-Hemlockflow-Deadline-Ms") + " ms");
        const auto until = Clock::now() + (id == "booking-late" ? Ms(2300) : Ms(60));
        while (Clock::now() < until) {
            if (connection.isClosedByPeer()) {
                record.line("worker: the connection of " + id + " was closed while it ran");
                return false;
            }
            std::this_thread::sleep_for(Ms(5));
        }
        record.line("worker: answers " + id);
        return connection.send(answerText(200, signedFields(request, "w1"), "booked " + id));
    });
    Worker model(store, "i-02d9e6b4", "huvo11a", 64, [&](const Request &request, Connection &connection) {
        record.line("model worker: runs " + request.value("X-Hemlockflow-Attempt-Id"));
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        for (const auto &[name, value] : signedFields(request, "m1"))
            head += name + ": " + value + "\r\n";
        if (!connection.send(head + "\r\n"))
            return false;
        for (int i = 1; i <= 57; ++i) {
            const std::string event = "id: " + std::to_string(i) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", event.size());
            if (!connection.send(size + event + "\r\n"))
                return false;
            std::this_thread::sleep_for(Ms(120));
        }
        return connection.send("0\r\n\r\n");
    });
    store.put("op/config",
              configuration(7,
                            json::array({route("r-book", "/puxa403/", "non_idempotent", 3000, 300, "wuno96b", 1),
                                         route("r-chat", "/lohu930/", "streaming", 15000, 600, "huvo11a", 1)}),
                            json::array({{{"name", "wuno96b"}, {"health-path", "/healthz"}, {"max-conns", 96}},
                                         {{"name", "huvo11a"}, {"health-path", "/healthz"}, {"max-conns", 360}}}))
                  .dump());
    Relay relay(folder.path, "frontend-quito-a-1", store, "");
    relay.start();
    if (!relay.waitUntilReady())
        leave(notRun);
    std::this_thread::sleep_for(Ms(2000));

    // A client books on a connection that it keeps.
    const auto kept = Connection::open(relay.front);
    if (!kept || !kept->send(requestText("POST", "/puxa403/2f", "booking-early", 3000, "{}")))
        leave(notRun);
    const Answer early = kept->readAnswer(Ms(3000));
    record.line("client: booking-early answered " + std::to_string(early.status) + " " + early.body);
    if (early.status != 200 || !early.keptOpen)
        leave(notRun);

    // Another client's stream lasts seven seconds.
    Answer streamAnswer;
    std::thread streaming([&] {
        const auto connection = Connection::open(relay.front);
        connection->send(requestText("POST", "/lohu930/2f", "chat", 15000, "{}"));
        record.line("client: chat sent");
        streamAnswer = connection->readAnswer(Ms(12000));
        record.line("client: chat ended: " + std::to_string(streamAnswer.status) + ", " + endName(streamAnswer.end)
                    + ", " + std::to_string(streamAnswer.body.size()) + " bytes");
    });
    std::this_thread::sleep_for(Ms(300));
    if (hasTrouble) {
        relay.signal(SIGTERM);
        record.line("bench: SIGTERM");
    }
    const auto termTime = Clock::now();
    std::thread killer([&] {
        std::this_thread::sleep_until(termTime + Ms(8000));
        if (hasTrouble && !relay.hasEnded()) {
            record.line("bench: SIGKILL, grace-s is over");
            relay.signal(SIGKILL);
        }
    });
    std::this_thread::sleep_until(termTime + Ms(5400));
    const bool isSent = kept->send(requestText("POST", "/puxa403/2f", "booking-late", 3000, "{}"));
    const auto sentTime = Clock::now();
    record.line("client: booking-late sent on the kept connection: " + std::string(isSent ? "yes" : "no")
                + ", 5.4 s after the SIGTERM");
    const Answer late = kept->readAnswer(Ms(3500));
    const auto took = std::chrono::duration_cast<Ms>(Clock::now() - sentTime);
    record.line("client: booking-late ended after " + std::to_string(took.count())
                + " ms: " + std::to_string(late.status) + ", " + endName(late.end) + ", " + late.body);
    streaming.join();
    killer.join();
    if (streamAnswer.status != 200 || streamAnswer.end != End::Complete)
        leave(notRun);
    if (late.end == End::Complete) {
        record.line("LOST holds: the booking got a complete answer");
        leave(held);
    }
    if (!isSent || took >= Ms(2950))
        leave(notRun);
    record.line("LOST: the connection ended without an answer to a booking that was passed on to a worker");
    leave(broken);
}
