#include "settingswatch.h"

#include <asio.hpp>
#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <csignal>
#include <fstream>

using namespace hemlock;

namespace {

class SettingsWatchFixture
{
protected:
    SettingsWatchFixture()
        : file(std::filesystem::temp_directory_path() / ("settingswatchtest-" + std::to_string(getpid()) + ".json"))
    {
        this->writeSettings(std::chrono::seconds(8));
        this->watch = std::make_unique<platform::SettingsWatch>(
            this->loop, this->file, [this](const platform::PlatformSettings &settings) {
                this->drainTimes.push_back(settings.relay.drainTime);
            });
    }

    ~SettingsWatchFixture()
    {
        std::filesystem::remove(this->file);
    }

    void writeSettings(std::chrono::seconds drainTime) const
    {
        const nlohmann::json settings = {
            {"node-name", "vm"},
            {"zone", "zone-a"},
            {"ip", "127.0.0.1"},
            {"port-range", {7600, 7615}},
            {"listen", {{"front", "127.0.0.1:1"}, {"ready", "127.0.0.1:2"}, {"control", "127.0.0.1:3"}}},
            {"platform", {{"address", "127.0.0.1:4"}}},
            {"bounds", {{"grace-s", drainTime.count()}}}};
        std::ofstream(this->file) << settings;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition())
            this->loop.run_one();
    }

    asio::io_context loop{1};
    std::filesystem::path file;
    std::vector<std::chrono::milliseconds> drainTimes;
    std::unique_ptr<platform::SettingsWatch> watch;
};

} // namespace

// Without a handler SIGHUP ends the process, and every call in progress with it.
TEST_CASE_METHOD(SettingsWatchFixture,
                 "SettingsWatch: SIGHUP after a change: the process goes on with the new settings")
{
    this->writeSettings(std::chrono::seconds(11));
    std::raise(SIGHUP);
    this->runUntil([this] { return !this->drainTimes.empty(); });
    CHECK(this->drainTimes == std::vector<std::chrono::milliseconds>{std::chrono::seconds(11)});
}

TEST_CASE_METHOD(SettingsWatchFixture, "SettingsWatch: file changes without a signal: is noticed")
{
    this->writeSettings(std::chrono::seconds(12));
    this->runUntil([this] { return !this->drainTimes.empty(); });
    CHECK(this->drainTimes.back() == std::chrono::seconds(12));
}

TEST_CASE_METHOD(SettingsWatchFixture, "SettingsWatch: file is half written: the old settings hold until it is whole")
{
    std::ofstream(this->file) << R"({"node-name": "vm", )";
    std::raise(SIGHUP);
    this->loop.run_one();
    CHECK(this->drainTimes.empty());
    this->writeSettings(std::chrono::seconds(13));
    this->runUntil([this] { return !this->drainTimes.empty(); });
    CHECK(this->drainTimes.back() == std::chrono::seconds(13));
}
