#include "document.h"

#include "settings.h"

#include <set>
#include <stdexcept>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::string_view sectionsPointerPrefix = "/sections/";

/// Section and JSON pointer of the first definition of a key.
struct Definition
{
    std::string section;
    std::string pointer;
};

/// First definitions by identifier, or by account and service for rules.
using Definitions = std::map<std::string, Definition>;

std::string memberPointer(std::string_view field, std::size_t index, std::string_view member)
{
    return "/" + std::string(field) + "/" + std::to_string(index) + "/" + std::string(member);
}

std::string quoted(const std::string &text)
{
    return "\"" + text + "\"";
}

std::string listNames(const Definitions &definitions)
{
    constexpr std::size_t maxListedNames = 12;
    std::string text;
    std::size_t listedNames = 0;
    for (const auto &[name, definition] : definitions) {
        if (listedNames++ == maxListedNames)
            return text + ", ...";
        text += (text.empty() ? "" : ", ") + quoted(name);
    }
    return text.empty() ? "none is defined" : text;
}

/// Follows "$ref" references within the schema.
const json &resolveReference(const json &schema, const json &node)
{
    const json *current = &node;
    while (current->is_object() && current->contains("$ref"))
        current = &schema.at(json::json_pointer(current->at("$ref").get<std::string>().substr(1)));
    return *current;
}

/// Returns the subschema that applies to the value at the JSON pointer, or null when there is none.
const json *findSubschema(const json &schema, const std::string &pointer)
{
    const json *node = &resolveReference(schema, schema);
    json::json_pointer remaining(pointer);
    std::vector<std::string> tokens;
    for (; !remaining.empty(); remaining.pop_back())
        tokens.insert(tokens.begin(), remaining.back());
    for (const std::string &token : tokens) {
        if (node->contains("properties") && node->at("properties").contains(token))
            node = &node->at("properties").at(token);
        else if (node->contains("items"))
            node = &node->at("items");
        else if (node->contains("additionalProperties") && node->at("additionalProperties").is_object())
            node = &node->at("additionalProperties");
        else
            return nullptr;
        node = &resolveReference(schema, *node);
    }
    return node;
}

std::string listKeys(const json &object)
{
    std::string text;
    for (const auto &[name, value] : object.items())
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

std::string joinStrings(const json &strings)
{
    std::string text;
    for (const json &element : strings)
        text += (text.empty() ? "" : ", ") + (element.is_string() ? element.get<std::string>() : element.dump());
    return text;
}

/// Describes what a subschema allows as text; empty when it sets no limits that are known here.
std::string describeAllowed(const json *node)
{
    if (node == nullptr || !node->is_object())
        return {};
    std::string text;
    const auto add = [&text](const std::string &part) { text += (text.empty() ? "" : "; ") + part; };
    if (node->contains("enum"))
        add("one of " + node->at("enum").dump());
    else if (node->contains("type"))
        add(node->at("type").is_string() ? node->at("type").get<std::string>() : node->at("type").dump());
    for (const char *limit : {"minimum", "exclusiveMinimum", "maximum", "minLength", "maxLength", "pattern"}) {
        if (node->contains(limit))
            add(std::string(limit) + " " + node->at(limit).dump());
    }
    if (node->contains("properties"))
        add("fields " + listKeys(node->at("properties")));
    if (node->contains("required"))
        add("required " + joinStrings(node->at("required")));
    return text;
}

/// Extracts the field name from valijson's message about an unknown field; empty for other messages.
std::string unknownFieldName(const std::string &message)
{
    const std::size_t end = message.rfind('\'');
    if (message.find("'additionalProperties'") == std::string::npos || end == std::string::npos || end == 0)
        return {};
    const std::size_t start = message.rfind('\'', end - 1);
    return start == std::string::npos ? "" : message.substr(start + 1, end - start - 1);
}

/// Splits "/sections/NAME/services/0" into the section's name and the pointer within it.
DocumentProblem toDocumentProblem(const SettingsProblem &problem, const json &schema)
{
    DocumentProblem converted{"", problem.pointer, problem.found, problem.allowed};
    const std::string allowed = describeAllowed(findSubschema(schema, problem.pointer));
    if (!allowed.empty())
        converted.allowed = allowed;
    if (const std::string field = unknownFieldName(problem.allowed); !field.empty())
        converted.found = "the unknown field " + quoted(field);
    if (!problem.pointer.starts_with(sectionsPointerPrefix))
        return converted;
    const std::string remaining = problem.pointer.substr(sectionsPointerPrefix.size());
    const std::size_t slash = remaining.find('/');
    converted.section = remaining.substr(0, slash);
    converted.pointer = slash == std::string::npos ? "" : remaining.substr(slash);
    return converted;
}

/// Drops the problems of a value when a nested value has a problem too, since that is more specific.
std::vector<SettingsProblem> keepInnermostProblems(const std::vector<SettingsProblem> &problems)
{
    std::vector<SettingsProblem> innermost;
    for (const SettingsProblem &problem : problems) {
        bool hasNestedProblem = false;
        for (const SettingsProblem &other : problems)
            hasNestedProblem = hasNestedProblem || other.pointer.starts_with(problem.pointer + "/");
        if (!hasNestedProblem)
            innermost.push_back(problem);
    }
    return innermost;
}

/// Calls visit(section, index, entry) for each entry of a field of all sections.
template <class Visit>
void forEachEntry(const Document::Sections &sections, std::string_view field, Visit visit)
{
    for (const auto &[name, section] : sections) {
        const auto entries = section.find(std::string(field));
        if (entries == section.end())
            continue;
        for (std::size_t index = 0; index < entries->size(); ++index)
            visit(name, index, (*entries)[index]);
    }
}

Definitions
collectDefinitions(const Document::Sections &sections, std::string_view field, std::vector<DocumentProblem> &problems)
{
    Definitions definitions;
    forEachEntry(sections, field, [&](const std::string &section, std::size_t index, const json &entry) {
        const std::string id = entry.at("id");
        const std::string pointer = memberPointer(field, index, "id");
        const auto [existing, isInserted] = definitions.insert({id, {section, pointer}});
        if (!isInserted)
            problems.push_back({section,
                                pointer,
                                quoted(id),
                                "an identifier that no other entry has; section " + existing->second.section
                                    + " defines it at " + existing->second.pointer});
    });
    return definitions;
}

void checkReferences(const Document::Sections &sections,
                     std::string_view field,
                     std::string_view member,
                     const Definitions &definitions,
                     std::vector<DocumentProblem> &problems)
{
    forEachEntry(sections, field, [&](const std::string &section, std::size_t index, const json &entry) {
        const std::string id = entry.at(std::string(member));
        if (!definitions.contains(id))
            problems.push_back({section,
                                memberPointer(field, index, member),
                                quoted(id),
                                "an identifier that some section defines: " + listNames(definitions)});
    });
}

/// Finds several rules for the same account and service: the effective priority would depend on the section order.
void checkRulePairs(const Document::Sections &sections, std::vector<DocumentProblem> &problems)
{
    Definitions rulesByPair;
    forEachEntry(sections, "rules", [&](const std::string &section, std::size_t index, const json &entry) {
        const std::string pair =
            entry.at("clientAccount").get<std::string>() + " to " + entry.at("service").get<std::string>();
        const std::string pointer = "/rules/" + std::to_string(index);
        const auto [existing, isInserted] = rulesByPair.insert({pair, {section, pointer}});
        if (!isInserted)
            problems.push_back({section,
                                pointer,
                                "a second rule from " + pair,
                                "one rule for each account and service; section " + existing->second.section
                                    + " has one at " + existing->second.pointer});
    });
}

void checkPlacement(const Document::Sections &sections, std::vector<DocumentProblem> &problems)
{
    forEachEntry(sections, "placement", [&](const std::string &section, std::size_t index, const json &entry) {
        const int minimum = entry.value("minimum", 0);
        if (entry.contains("maximum") && entry.at("maximum").get<int>() < minimum)
            problems.push_back({section,
                                memberPointer("placement", index, "maximum"),
                                entry.at("maximum").dump(),
                                "at least the minimum, " + std::to_string(minimum)});
    });
}

template <class Entry>
std::vector<Entry> collect(const Document::Sections &sections, std::string_view field)
{
    std::vector<Entry> entries;
    forEachEntry(sections, field, [&entries](const std::string &, std::size_t, const json &entry) {
        entries.push_back(entry.get<Entry>());
    });
    return entries;
}

} // namespace

Document::Document(Sections sections)
    : sectionMap(std::move(sections))
{
}

Document Document::fromJson(const json &json)
{
    if (!json.is_object() || !json.contains("sections") || !json.at("sections").is_object())
        throw std::invalid_argument("the document must be a JSON object with an object \"sections\"");
    return Document(json.at("sections").get<Sections>());
}

json Document::toJson() const
{
    return {{"sections", this->sectionMap}};
}

const Document::Sections &Document::sections() const
{
    return this->sectionMap;
}

void Document::setSection(const std::string &name, json section)
{
    this->sectionMap[name] = std::move(section);
}

std::vector<DocumentProblem> Document::check(const json &schema) const
{
    std::vector<DocumentProblem> problems;
    for (const SettingsProblem &problem : keepInnermostProblems(checkSchema(this->toJson(), schema)))
        problems.push_back(toDocumentProblem(problem, schema));
    // The checks below rely on the shape that the schema guarantees.
    if (!problems.empty())
        return problems;
    const Definitions services = collectDefinitions(this->sectionMap, "services", problems);
    const Definitions accounts = collectDefinitions(this->sectionMap, "clientAccounts", problems);
    checkReferences(this->sectionMap, "rules", "service", services, problems);
    checkReferences(this->sectionMap, "rules", "clientAccount", accounts, problems);
    checkReferences(this->sectionMap, "placement", "service", services, problems);
    checkRulePairs(this->sectionMap, problems);
    checkPlacement(this->sectionMap, problems);
    return problems;
}

std::vector<Service> Document::services() const
{
    return collect<Service>(this->sectionMap, "services");
}

std::vector<ClientAccount> Document::clientAccounts() const
{
    return collect<ClientAccount>(this->sectionMap, "clientAccounts");
}

std::vector<AccessRule> Document::rules() const
{
    return collect<AccessRule>(this->sectionMap, "rules");
}

std::vector<json> Document::placement() const
{
    return collect<json>(this->sectionMap, "placement");
}

std::string formatProblems(const std::vector<DocumentProblem> &problems)
{
    std::string text;
    for (const DocumentProblem &problem : problems) {
        if (!text.empty())
            text += "\n";
        if (!problem.section.empty())
            text += "section " + problem.section + ", ";
        text += (problem.pointer.empty() ? "/" : problem.pointer) + ": found " + problem.found
            + "; allowed: " + problem.allowed;
    }
    return text;
}

void to_json(json &json, const DocumentProblem &problem)
{
    json = {{"section", problem.section},
            {"pointer", problem.pointer},
            {"found", problem.found},
            {"allowed", problem.allowed}};
}

} // namespace hemlock
