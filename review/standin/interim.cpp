// Some answers of a worker are no answers in the protocol: their status is 101, which no request asked for. What does
// the client get?

#include "platform.h"

int main()
{
    const bool hasTrouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    Record record(recordFile());
    Folder folder;
    Store store;
    std::atomic<int> handled{0}; ///< Of w1; it spoils one answer in 34.
    std::atomic<int> garbled{0};
    const auto handler = [&](const std::string &name, bool isGarbling) {
        return [&, name, isGarbling](const Request &request, Connection &connection) {
            const std::string id = request.value("X-Hemlockflow-Attempt-Id");
            std::string answer = answerText(200, signedFields(request, name), "stock");
            if (isGarbling && ++handled % 34 == 0) {
                ++garbled;
                answer.replace(9, 3, "101");
                record.line("worker " + name + ": answers " + id + " with status 101");
                connection.send(answer);
                return false;
            }
            return connection.send(answer);
        };
    };
    Worker first(store, "i-7f3a91c2", "wuno96b", 6, handler("w1", hasTrouble));
    Worker second(store, "i-02d9e6b4", "wuno96b", 6, handler("w2", false));
    store.put("op/config",
              configuration(7,
                            json::array({route("r-check", "/cufi504/", "idempotent", 3000, 300, "wuno96b", 2)}),
                            json::array({{{"name", "wuno96b"}, {"health-path", "/healthz"}, {"max-conns", 96}}}))
                  .dump());
    Relay relay(folder.path, "frontend-quito-a-1", store, "");
    relay.start();
    if (!relay.waitUntilReady())
        leave(notRun);
    std::this_thread::sleep_for(Ms(2000));
    int answered = 0;
    int wrong = 0;
    for (int i = 1; i <= 800 && garbled < 5; ++i) {
        const std::string id = "check-" + std::to_string(i);
        const auto connection = Connection::open(relay.front);
        if (!connection)
            leave(notRun);
        connection->send(requestText("GET", "/cufi504/x", id, 3000, ""));
        Answer answer = connection->readAnswer(Ms(3500));
        if (answer.end == End::Complete && answer.status >= 200) {
            ++answered;
            continue;
        }
        record.line("client: " + id + " gets status " + std::to_string(answer.status) + ", signature "
                    + answer.value("X-Hemlockflow-Response-Signature") + ", body " + answer.body);
        // A status below 200 is no final answer, so the client waits for one until its deadline.
        answer = connection->readAnswer(Ms(3000));
        record.line("client: after that: " + std::to_string(answer.status) + ", " + endName(answer.end));
        if (answer.end != End::Complete)
            ++wrong;
    }
    record.line("client: answered " + std::to_string(answered) + ", without a final answer " + std::to_string(wrong));
    if (answered == 0 || (hasTrouble && garbled == 0))
        leave(notRun);
    if (wrong > 0) {
        record.line("MIXED: clients got bytes that are no answer in the protocol, and no answer");
        leave(broken);
    }
    leave(held);
}
