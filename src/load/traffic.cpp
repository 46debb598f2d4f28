#include "traffic.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

std::string randomText(std::uint64_t seed, int tokens)
{
    std::mt19937_64 random(seed);
    std::string text(static_cast<std::size_t>(tokens) * bytesPerToken, ' ');
    constexpr std::size_t charactersPerDraw = 8;
    for (std::size_t offset = 0; offset < text.size(); offset += charactersPerDraw) {
        std::uint64_t bits = random();
        for (std::size_t i = offset; i < std::min(offset + charactersPerDraw, text.size()); ++i, bits >>= 8U)
            text[i] = static_cast<char>('a' + (bits & 0xffU) % 26);
    }
    return text;
}

int drawFromRange(const int (&range)[2], std::mt19937_64 &random)
{
    return std::uniform_int_distribution<int>(range[0], std::max(range[0], range[1]))(random);
}

} // namespace

std::vector<TrafficRequest>
generateTraffic(const Scenario &scenario, std::uint64_t seed, double loadFactor, bool includeFloods)
{
    struct Document
    {
        std::uint64_t id;
        int tokens;
    };
    std::vector<TrafficRequest> requests;
    for (std::size_t index = 0; index < scenario.traffic.size(); ++index) {
        const TrafficSource &source = scenario.traffic[index];
        if (source.isFlood && !includeFloods)
            continue;
        // Each source has its own random engine, so that skipping one does not change the others.
        std::mt19937_64 random(seed * 1000 + index);
        std::uniform_int_distribution<int> entryVm(0, scenario.entryVms - 1);
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        std::exponential_distribution<double> interArrivalS(source.ratePerS * loadFactor);
        std::vector<Document> documents;
        const auto newDocument = [&] { return Document{random() | 1U, drawFromRange(source.documentTokens, random)}; };
        for (int i = 0; i < source.documents; ++i)
            documents.push_back(newDocument());
        double arrivalS = source.fromS;
        while ((arrivalS += interArrivalS(random)) < source.toS) {
            TrafficRequest request;
            request.atS = arrivalS;
            request.sourceIndex = index;
            if (!documents.empty()) {
                Document &document = documents[random() % documents.size()];
                if (uniform(random) < 1.0 / source.questionsPerDocument)
                    document = newDocument();
                request.document = document.id;
                request.documentTokens = document.tokens;
            }
            request.questionTokens = drawFromRange(source.questionTokens, random);
            request.answerTokens = std::max(1, drawFromRange(source.answerTokens, random));
            request.entryVm = source.entryVm >= 0 ? source.entryVm : entryVm(random);
            request.seed = random();
            requests.push_back(request);
        }
    }
    std::sort(requests.begin(), requests.end(), [](const auto &a, const auto &b) { return a.atS < b.atS; });
    return requests;
}

std::string promptText(const TrafficRequest &request)
{
    return randomText(request.document, request.documentTokens) + randomText(request.seed, request.questionTokens);
}

} // namespace hemlock
