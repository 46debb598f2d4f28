#pragma once

#include "processes.h"
#include "soakstore.h"
#include "testhttp.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

/// Limits of a VM and of the configuration in force on it.
struct RelayVmLimits
{
    int memoryMb = 60; ///< In units of 10^6 bytes. The process takes about 17 of them without any caller.
    int maxDescriptors = 4100; ///< 200 of them are for files.
    std::chrono::milliseconds headTimeout{60000};
};

/// A relay process with the limits of a small VM, the platform's store, and one upstream.
///
/// Store and upstream run on the loop of http, so they answer only while that loop runs.
class RelayVm
{
public:
    /// @p upstreamHandler answers the requests of the upstream; see answerWhole().
    RelayVm(const RelayVmLimits &limits, HttpHandler upstreamHandler);

    /// Signed answer with status 200, as an upstream sends it.
    static void answerWhole(const HttpRequest &request, const HttpResponderPtr &responder, std::string body);

    /// Address of a listener: front, ready or control.
    std::string address(const std::string &listener) const;

    /// An ordinary request to a listener, with @p body unless it is empty. Returns the answer's status; 0 if there is
    /// no complete answer.
    int requestStatus(const std::string &listener, std::string body = {});

    /// Sends ordinary requests one after the other until one is answered 200. Returns false if none was within
    /// eventTimeout.
    bool isServed(const std::string &listener, const std::string &body = {});

    /// Open sockets of the process.
    long openSockets() const;

    Processes processes;
    TestHttp http;
    std::map<std::string, std::uint16_t> ports; ///< By listener; "peers" is the one for datagrams.
    Process *relay = nullptr;

private:
    void writeConfiguration(std::chrono::milliseconds headTimeout);

    SoakStore store{this->http.loop()};
    HttpServer upstream;
    int requests = 0;
};

} // namespace hemlock
