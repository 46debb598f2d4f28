#pragma once

#include "configstore.h"
#include "httpclient.h"
#include "kvclient.h"

#include <asio/io_context.hpp>

#include <optional>
#include <random>
#include <string>

namespace hemlock {

/// The connections of one run of hemlockctl; each call blocks until its answer is there.
class Session
{
public:
    /// @p store is "ADDRESS:PORT" or "http://ADDRESS:PORT".
    explicit Session(const std::string &store);

    ConfigRead readConfig();
    CommitOutcome commit(const SectionCommit &commit, const nlohmann::json &schema);

private:
    void runUntilDone(const bool &isDone);
    ConfigStore::Hooks configHooks();

    asio::io_context loop;
    HttpClient http;
    KvClient kv;
    std::mt19937_64 engine;
    ConfigStore config;
};

} // namespace hemlock
