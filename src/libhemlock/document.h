#pragma once

#include "clientaccount.h"
#include "service.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// One fault of the configuration document.
struct DocumentProblem
{
    std::string section; ///< Empty for a fault outside of all sections.
    std::string pointer; ///< JSON pointer within the section.
    std::string found; ///< The faulty value or a description of it.
    std::string allowed; ///< What is allowed there.
};

/// The operators' configuration document. Its sections belong to different teams and take effect together.
class Document
{
public:
    using Sections = std::map<std::string, nlohmann::json>;

    Document() = default;
    explicit Document(Sections sections);

    /// Reads {"sections": {NAME: SECTION}}. Throws std::invalid_argument when that is not its shape.
    static Document fromJson(const nlohmann::json &json);
    nlohmann::json toJson() const;

    const Sections &sections() const;
    void setSection(const std::string &name, nlohmann::json section);

    /// All violations of @p schema (schemas/document.json) or, when there are none, all faulty references between
    /// sections, duplicate identifiers and contradictory limits. Empty when the document is valid.
    std::vector<DocumentProblem> check(const nlohmann::json &schema) const;

    /// Entries of all sections, merged; only for a valid document.
    std::vector<Service> services() const;
    std::vector<ClientAccount> clientAccounts() const;
    std::vector<AccessRule> rules() const;

    /// Entries of the field "placement" of all sections.
    std::vector<nlohmann::json> placement() const;

private:
    Sections sectionMap;
};

/// Lists problems, one per line: section, JSON pointer, what was found, what is allowed.
std::string formatProblems(const std::vector<DocumentProblem> &problems);

void to_json(nlohmann::json &json, const DocumentProblem &problem);

} // namespace hemlock
