#include "commands.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    CLI::App app("Operators' command line of hemlockflow");
    app.require_subcommand(1);
    hemlock::CommandOptions options;
    app.add_flag("--json", options.printsJson, "Print one JSON object instead of text");
    app.add_option("--store", options.store, "Key-value store, ADDRESS:PORT")->envname("HEMLOCK_STORE");
    app.add_option("--author", options.author, "Name kept with a change")->envname("USER");

    CLI::App *init = app.add_subcommand("init", "Put a first document into an empty store");
    init->add_option("DOCUMENT", options.file, "File with {\"sections\": ...}")->required();
    CLI::App *get = app.add_subcommand("get", "Print the document, or one section");
    get->add_option("SECTION", options.section, "Name of the section");
    for (CLI::App *command : {init, get})
        command->fallthrough();

    CLI11_PARSE(app, argc, argv);
    try {
        if (init->parsed())
            return hemlock::runInit(options);
        return hemlock::runGet(options);
    } catch (const std::exception &error) {
        std::cerr << "hemlockctl: " << error.what() << "\n";
        return 1;
    }
}
