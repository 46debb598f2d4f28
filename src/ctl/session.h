#pragma once

#include "configstore.h"
#include "httpclient.h"
#include "kvclient.h"
#include "rpc.h"

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

/// Connection to the key-value store for one run of hemlockctl; each call blocks until the store has responded.
class StoreSession
{
public:
    /// @p store is "ADDRESS:PORT" or "http://ADDRESS:PORT".
    explicit StoreSession(const std::string &storeAddress);

    /// Reads the configuration from the store. Throws std::runtime_error when there is none or the store does not
    /// respond.
    ConfigRecords readConfig();
    CommitOutcome commit(const SectionCommit &commit, const nlohmann::json &schema);
    std::vector<SectionRevision> history(const std::string &section);

private:
    ConfigStore::Hooks configHooks();

    asio::io_context loop;
    HttpClient http;
    KvClient kv;
    std::mt19937_64 randomEngine;
    ConfigStore configStore;
};

/// Calls a method of a control or entry process and returns its result. Throws std::runtime_error when the call fails.
nlohmann::json callProcess(const std::string &address,
                           const std::string &controlKey,
                           const std::string &method,
                           const nlohmann::json &params);

} // namespace hemlock
