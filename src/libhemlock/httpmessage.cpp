#include "httpmessage.h"

#include "httptext.h"

#include <algorithm>

namespace hemlock {

HttpHeaders::HttpHeaders(std::initializer_list<HttpHeader> fields)
    : fields(fields)
{
}

void HttpHeaders::add(std::string name, std::string value)
{
    this->fields.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(this->fields, [name](const HttpHeader &field) { return equalsIgnoringCase(field.name, name); });
}

std::string HttpHeaders::value(std::string_view name) const
{
    const HttpHeader *field = this->find(name);
    return field ? field->value : std::string();
}

bool HttpHeaders::has(std::string_view name) const
{
    return this->find(name) != nullptr;
}

std::vector<HttpHeader>::const_iterator HttpHeaders::begin() const
{
    return this->fields.begin();
}

std::vector<HttpHeader>::const_iterator HttpHeaders::end() const
{
    return this->fields.end();
}

const HttpHeader *HttpHeaders::find(std::string_view name) const
{
    const auto match = std::find_if(this->fields.begin(), this->fields.end(), [name](const HttpHeader &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return match == this->fields.end() ? nullptr : &*match;
}

std::string HttpRequest::queryValue(std::string_view name) const
{
    std::string_view rest = this->query;
    while (!rest.empty()) {
        const std::size_t ampersand = rest.find('&');
        const std::string_view pair = rest.substr(0, ampersand);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : std::string(pair.substr(equals + 1));
        if (ampersand == std::string_view::npos)
            break;
        rest.remove_prefix(ampersand + 1);
    }
    return {};
}

} // namespace hemlock
