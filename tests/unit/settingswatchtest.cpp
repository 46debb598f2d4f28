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

    void writeSettings(std::chrono::seconds newDrainTime) const
    {
        const nlohmann::json settings = {
            {"node-name", "vm"},
            {"zone", "zone-a"},
            {"ip", "127.0.0.1"},
            {"port-range", {7600, 7615}},
            {"listen", {{"front", "127.0.0.1:1"}, {"ready", "127.0.0.1:2"}, {"control", "127.0.0.1:3"}}},
            {"platform", {{"address", "127.0.0.1:4"}}},
            {"bounds", {{"grace-s", newDrainTime.count()}}}};
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

// Guards against a SIGHUP without a handler, which ends the process and every call in progress.
TEST_CASE_METHOD(SettingsWatchFixture,
                 "SettingsWatch: SIGHUP after a change: new settings are applied and the process continues")
{
    this->writeSettings(std::chrono::seconds(11));
    std::raise(SIGHUP);
    this->runUntil([this] { return !this->drainTimes.empty(); });
    CHECK(this->drainTimes == std::vector<std::chrono::milliseconds>{std::chrono::seconds(11)});
}

TEST_CASE_METHOD(SettingsWatchFixture, "SettingsWatch: change without a signal: new settings are applied")
{
    this->writeSettings(std::chrono::seconds(12));
    this->runUntil([this] { return !this->drainTimes.empty(); });
    CHECK(this->drainTimes.back() == std::chrono::seconds(12));
}

TEST_CASE_METHOD(SettingsWatchFixture,
                 "SettingsWatch: partly written file: old settings stay in use until the file is complete")
{
    std::ofstream(this->file) << R"({"node-name": "vm", )";
    std::raise(SIGHUP);
    this->loop.run_one();
    CHECK(this->drainTimes.empty());
    this->writeSettings(std::chrono::seconds(13));
    this->runUntil([this] { return !this->drainTimes.empty(); });
    CHECK(this->drainTimes.back() == std::chrono::seconds(13));
}
