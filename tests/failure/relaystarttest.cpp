#include "freeports.h"
#include "processes.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

using namespace hemlock;

namespace {

/// A relay whose settings file is a named pipe, so that it waits in the middle of its start.
class RelayStartFixture
{
protected:
    RelayStartFixture()
        : settingsFile(this->processes.folder() / "relay.json")
    {
        mkfifo(this->settingsFile.c_str(), S_IRUSR | S_IWUSR);
    }

    static nlohmann::json settings()
    {
        return {{"node-name", "vm"},
                {"zone", "zone-a"},
                {"ip", "127.0.0.1"},
                {"listen", {{"front", freeAddress()}, {"ready", freeAddress()}, {"control", freeAddress()}}},
                {"port-range", {freePort()}},
                {"platform", {{"address", "127.0.0.1:1"}}}};
    }

    /// Lets the relay read its settings; it finds an ordinary file when it opens them again.
    void provideSettings(int pipe)
    {
        const std::string text = settings().dump();
        const std::filesystem::path ordinaryFile = this->processes.folder() / "ordinary.json";
        std::ofstream(ordinaryFile) << text;
        std::filesystem::rename(ordinaryFile, this->settingsFile);
        REQUIRE(write(pipe, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(pipe);
    }

    Processes processes;
    std::filesystem::path settingsFile;
};

} // namespace

// Guards against a reload that ends a process which has just started.
TEST_CASE_METHOD(RelayStartFixture, "hemlock-relay: SIGHUP while it reads its settings: the process starts")
{
    Process &relay = this->processes.startWithFile("hemlock-relay", "relay", this->settingsFile);
    // Opening the pipe waits until the relay has opened it.
    const int pipe = open(this->settingsFile.c_str(), O_WRONLY | O_CLOEXEC);
    REQUIRE(pipe >= 0);
    relay.signal(SIGHUP);
    this->provideSettings(pipe);
    CHECK(relay.waitForEvent("start").value("instance", std::string()) == "vm");
}
