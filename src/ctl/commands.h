#pragma once

#include <string>

namespace hemlock {

/// Options and arguments of hemlockctl.
struct CommandOptions
{
    std::string store;
    std::string author;
    std::string file;
    std::string section;
    bool printsJson = false;
};

// Each command returns the exit status: 0 when done, 1 when refused. Errors of use throw std::exception.

int runInit(const CommandOptions &options);
int runGet(const CommandOptions &options);

} // namespace hemlock
