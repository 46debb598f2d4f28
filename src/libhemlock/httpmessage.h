#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// One header field of an HTTP message.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// Header fields in message order; names are case-insensitive.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    void add(std::string name, std::string value);

    /// Removes all fields with this name.
    void remove(std::string_view name);

    /// Value of the first field with this name, or an empty string when there is none.
    std::string value(std::string_view name) const;
    bool has(std::string_view name) const;

    std::vector<HttpHeader>::const_iterator begin() const;
    std::vector<HttpHeader>::const_iterator end() const;

private:
    const HttpHeader *find(std::string_view name) const;

    std::vector<HttpHeader> fields;
};

/// Complete request as received by HttpServer.
struct HttpRequest
{
    std::string method;
    std::string target; ///< As received, including the query string.
    std::string path; ///< Target without the query string.
    std::string query; ///< Part of the target after '?'.
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< "IP:PORT".

    /// Value of a query parameter, not percent-decoded, or an empty string when it is absent.
    std::string queryValue(std::string_view name) const;
};

} // namespace hemlock
