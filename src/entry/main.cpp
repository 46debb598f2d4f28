#include "entryprocess.h"
#include "entrysettings.h"
#include "logger.h"
#include "programoptions.h"
#include "settings.h"

#include <iostream>

namespace {

void run(const hemlock::EntrySettings &settings)
{
    asio::io_context loop(1);
    hemlock::EntryProcess process(loop, settings);
    process.start();
    loop.run();
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto options = hemlock::parseProgramOptions(argc, argv, "Serves callers on one entry VM", exitCode);
    if (!options)
        return exitCode;
    try {
        const auto settings = hemlock::parseEntrySettings(hemlock::loadSettings(options->settings, "entry.json"));
        hemlock::setupLogger("hemlock-entry", settings.id);
        if (!options->validateOnly)
            run(settings);
    } catch (const std::exception &error) {
        std::cerr << "hemlock-entry: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
