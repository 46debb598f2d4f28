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

/// Header fields in the order of the message; names compare without regard to case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields);

    void add(std::string name, std::string value);

    /// Removes all fields of the name.
    void remove(std::string_view name);

    /// First value of the field, or an empty string when it is absent.
    std::string value(std::string_view name) const;
    bool has(std::string_view name) const;

    std::vector<HttpHeader>::const_iterator begin() const;
    std::vector<HttpHeader>::const_iterator end() const;

private:
    const HttpHeader *find(std::string_view name) const;

    std::vector<HttpHeader> fields;
};

/// A whole request as received by HttpServer.
struct HttpRequest
{
    std::string method;
    std::string target; ///< As sent, with the query string.
    std::string path; ///< Target without the query string.
    std::string query; ///< Part after '?', without it.
    HttpHeaders headers;
    std::string body;
    std::string remoteAddress; ///< "IP:PORT".

    /// Value of a query parameter without percent decoding, or an empty string.
    std::string queryValue(std::string_view name) const;
};

} // namespace hemlock
