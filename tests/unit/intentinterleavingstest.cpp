#include "intentsimulation.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

/// Applies random calls, retries, pauses, kills and store faults to three nodes and records the calls that ran.
class RandomInterleaving : private IntentFixture
{
public:
    explicit RandomInterleaving(std::uint32_t seed)
        : generator(seed)
    {
        this->settings.slotCount = 2;
        this->settings.segmentBytes = 600;
        for (int i = 0; i < 3; ++i)
            this->addNode(this->nextName());
    }

    void run()
    {
        constexpr int steps = 400;
        for (int i = 0; i < steps; ++i) {
            this->step();
            this->advance(std::chrono::milliseconds(this->randomBelow(60)));
        }
    }

    int dispatches = 0;
    int replays = 0;
    std::map<std::string, int> runs; ///< Attempts per key that ran or may have run.
    bool hasWrongAnswer = false;

private:
    int randomBelow(int bound)
    {
        return static_cast<int>(this->generator() % static_cast<std::uint32_t>(bound));
    }

    std::string nextName()
    {
        return "node" + std::to_string(this->nodes.size());
    }

    SimulatedNode &randomNode()
    {
        return *this->nodes[this->nodes.size() - 3 + static_cast<std::size_t>(this->randomBelow(3))];
    }

    void step()
    {
        switch (this->randomBelow(40)) {
        case 0:
            this->randomNode().pause();
            return;
        case 1:
        case 2:
            this->randomNode().resume();
            return;
        case 3:
            this->randomNode().kill();
            this->addNode(this->nextName());
            return;
        case 4:
            this->store.lostAnswers = this->randomBelow(3);
            return;
        case 5:
            this->store.lostWrites = this->randomBelow(3);
            return;
        case 6:
            this->store.isUnavailable = !this->store.isUnavailable;
            return;
        case 7:
            this->store.delayNextWrite = true;
            return;
        case 8:
            for (const auto &write : std::exchange(this->store.delayedWrites, {}))
                write();
            return;
        case 9:
            this->advance(std::chrono::seconds(this->randomBelow(8)));
            return;
        default:
            this->send(this->randomNode(), this->request("key " + std::to_string(this->randomBelow(60))), 0);
        }
    }

    void send(SimulatedNode &node, const IntentRequest &call, int hops)
    {
        if (!node.isAlive() || hops > 3)
            return;
        node.log().submit(call, [this, &node, call, hops](const IntentDecision &decision) {
            switch (decision.action) {
            case IntentAction::Dispatch:
                this->dispatch(node, call);
                return;
            case IntentAction::Replay:
                ++this->replays;
                this->hasWrongAnswer |= decision.answer.body != call.key;
                return;
            case IntentAction::Refuse:
                return;
            case IntentAction::Forward:
                for (const auto &other : this->nodes) {
                    if (other->address() == decision.ownerAddress && other->isAlive() && this->randomBelow(4) != 0) {
                        this->send(*other, call, hops + 1);
                        return;
                    }
                }
                node.log().forwardingFailed(call, decision.ownerAddress, ForwardingFailure::Unreachable);
                this->send(node, call, hops + 1);
                return;
            }
        });
    }

    /// Runs the call with a random outcome at once and reports the outcome to the node later.
    void dispatch(SimulatedNode &node, const IntentRequest &call)
    {
        ++this->dispatches;
        const int outcome = this->randomBelow(4);
        const Verdict verdict = outcome == 0 ? Verdict::NotRun : outcome == 1 ? Verdict::MayHaveRun : Verdict::Ran;
        if (verdict != Verdict::NotRun)
            ++this->runs[call.key];
        this->clock.after(std::chrono::milliseconds(this->randomBelow(300)), [&node, call, verdict] {
            if (node.isAlive())
                node.log().complete(call, verdict, {200, "text/plain", call.key});
        });
    }

    std::mt19937 generator;
};

} // namespace

// Guards against a second run of a call in any order of retries, pauses, kills, takeovers and store faults.
TEST_CASE("IntentLog: random interleavings: no key runs twice and each replay is the key's own answer")
{
    int dispatches = 0;
    int replays = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
        RandomInterleaving interleaving(seed);
        interleaving.run();
        dispatches += interleaving.dispatches;
        replays += interleaving.replays;
        INFO("seed " << seed);
        for (const auto &[key, count] : interleaving.runs)
            REQUIRE(count == 1);
        REQUIRE_FALSE(interleaving.hasWrongAnswer);
    }
    // With few dispatches or replays, the checks above would not be meaningful.
    CHECK(dispatches > 1000);
    CHECK(replays > 1000);
}
