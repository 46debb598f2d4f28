#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hemlock {

/// Upper limit of each wait for an event; a test fails when it is reached.
inline constexpr std::chrono::seconds eventTimeout{30};

/// One program of the repository, run as a child process. Its JSON lines on stdout and stderr are kept.
class Process
{
public:
    /// Starts bin/@p program with the settings, which are written to a file in @p folder.
    Process(const std::string &program,
            const std::string &name,
            const nlohmann::json &settings,
            const std::filesystem::path &folder);
    ~Process(); ///< Kills the process and waits for its end.

    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    pid_t id() const;

    /// Waits for the "listening" line of that name; without a name for the first one. Returns "ADDRESS:PORT".
    std::string address(const std::string &name = {});

    /// Waits for a JSON line that has the event and meets the condition, including past lines.
    nlohmann::json waitForEvent(
        const std::string &event,
        const std::function<bool(const nlohmann::json &line)> &condition = [](const nlohmann::json &) { return true; });

    void signal(int number) const;
    void pause() const; ///< SIGSTOP; returns once the process has stopped.
    void resume() const; ///< SIGCONT; returns once the process runs again.
    void kill(); ///< SIGKILL; returns after the end of the process.

    /// Waits for the process to end; returns its exit status, or 128 plus the number of the signal that ended it.
    int waitForExit();

    /// All lines so far, for the report of a failed test.
    std::string output();

private:
    void readLines();
    void storeLine(const std::string &line);
    std::string outputLocked() const;

    std::string name;
    pid_t pid = -1;
    int exitStatus = -1;
    bool hasExited = false;
    int outputPipe = -1;
    std::thread reader;
    std::mutex mutex;
    std::condition_variable outputChanged;
    std::vector<std::string> lines;
    std::vector<nlohmann::json> events;
    bool isOutputClosed = false;
};

/// Starts programs in a temporary folder; ends all of them and removes the folder in its destructor.
class Processes
{
public:
    Processes();
    ~Processes();

    Processes(const Processes &) = delete;
    Processes &operator=(const Processes &) = delete;

    /// @p name identifies the process in the test's messages and names its settings file.
    Process &start(const std::string &program, const std::string &name, const nlohmann::json &settings);

    const std::filesystem::path &folder() const;

private:
    std::filesystem::path temporaryFolder;
    std::vector<std::unique_ptr<Process>> processes;
};

} // namespace hemlock
