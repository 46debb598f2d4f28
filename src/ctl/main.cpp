#include "commands.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <functional>
#include <iostream>

namespace {

using hemlock::CommandOptions;
using Command = std::function<int(const CommandOptions &)>;

/// Adds all subcommands; the one on the command line is stored in @p selectedCommand.
void addCommands(CLI::App &app, CommandOptions &options, Command &selectedCommand)
{
    const auto add = [&](const std::string &name, const std::string &description, int (*run)(const CommandOptions &)) {
        CLI::App *command = app.add_subcommand(name, description);
        command->fallthrough();
        command->callback([&selectedCommand, run] { selectedCommand = run; });
        return command;
    };
    CLI::App *validate = add(
        "validate", "Validate a document, or a section together with the others in the store", hemlock::runValidate);
    validate->add_option("FILE", options.file, "File with {\"sections\": ...}, or with one section")->required();
    validate->add_option("--section", options.section, "The file contains only this section");
    CLI::App *init = add("init", "Commit the first document to an empty store", hemlock::runInit);
    init->add_option("DOCUMENT", options.file, "File with {\"sections\": ...}")->required();
    CLI::App *get = add("get", "Print the document, or one section", hemlock::runGet);
    get->add_option("SECTION", options.section, "Name of the section");
    CLI::App *diff = add("diff", "Show the changes between a section and a file", hemlock::runDiff);
    CLI::App *set = add("set", "Replace a section", hemlock::runSet);
    for (CLI::App *command : {diff, set}) {
        command->add_option("SECTION", options.section, "Name of the section")->required();
        command->add_option("FILE", options.file, "File with the new section")->required();
    }
    set->add_option("--expect", options.expectedRevision, "Revision that the file is based on; 0 for a new section")
        ->required();
    CLI::App *history = add("history", "List the stored revisions of a section", hemlock::runHistory);
    history->add_option("SECTION", options.section, "Name of the section")->required();
    add("status", "Show services, upstreams and entry VMs", hemlock::runStatus);
    CLI::App *drain = add("drain", "Stop sending new requests to an upstream", hemlock::runDrain);
    drain->add_option("UPSTREAM", options.upstream, "Identifier of the upstream's VM")->required();
    CLI::App *explain =
        add("explain", "Show the routing decisions of an entry process for a request", hemlock::runExplain);
    explain->add_option("REQUEST-ID", options.requestId, "X-Request-Id of the response")->required();
    CLI::App *timeline = add("story",
                             "Print the log records of a request from the log files of relays, in chronological order",
                             hemlock::runTimeline);
    timeline->add_option("REQUEST-ID", options.requestId, "Identifier of the request in the logs")->required();
    timeline->add_option("FILE", options.files, "Log files of all entry VMs")->required()->check(CLI::ExistingFile);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Command-line administration tool of hemlockflow");
    app.require_subcommand(1);
    CommandOptions options;
    Command selectedCommand;
    app.add_flag("--json", options.printsJson, "Print one JSON object instead of text");
    app.add_option("--store", options.storeAddress, "Key-value store, ADDRESS:PORT")->envname("HEMLOCK_STORE");
    app.add_option("--control", options.controlAddress, "Control process, ADDRESS:PORT")->envname("HEMLOCK_CONTROL");
    app.add_option("--entry", options.entryAddress, "Control address of an entry process")->envname("HEMLOCK_ENTRY");
    // A key given on the command line would be visible to other users of the machine.
    app.add_option("--control-key-file", options.controlKeyFile, "File whose first line is the control key");
    app.add_option("--author", options.author, "Author recorded with a change")->envname("USER");
    addCommands(app, options, selectedCommand);
    CLI11_PARSE(app, argc, argv);
    if (const char *key = std::getenv("HEMLOCK_CONTROL_KEY"))
        options.controlKey = key;
    try {
        return selectedCommand(options);
    } catch (const std::exception &error) {
        std::cerr << "hemlockctl: " << error.what() << "\n";
        return 1;
    }
}
