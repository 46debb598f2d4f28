#include "document.h"
#include "settings.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

class DocumentFixture
{
protected:
    Document document(const json &access) const
    {
        return Document({{"access", access}, {"models", this->models}});
    }

    json models = {{"team", "models"}, {"services", {{{"id", "chat"}, {"kind", "model"}}}}};
    json account = {{"id", "parish"}, {"keySha256", std::string(64, 'a')}};
    json schema = readJsonFile(HEMLOCK_SOURCE_DIR "/schemas/document.json");
};

} // namespace

// Guards against rejecting a rule whose service is defined in another section.
TEST_CASE_METHOD(DocumentFixture, "Document: rule names a service of another section: is valid")
{
    const Document document = this->document({{"team", "access"},
                                              {"clientAccounts", {this->account}},
                                              {"rules", {{{"clientAccount", "parish"}, {"service", "chat"}}}}});
    CHECK(document.check(this->schema).empty());
    CHECK(document.services().size() == 1);
    CHECK(document.rules().size() == 1);
}

// Guards against access rules for a service that does not exist.
TEST_CASE_METHOD(DocumentFixture,
                 "Document: rule names a missing service: the problem shows the pointer and the defined services")
{
    const auto problems = this->document({{"team", "access"},
                                          {"clientAccounts", {this->account}},
                                          {"rules", {{{"clientAccount", "parish"}, {"service", "chart"}}}}})
                              .check(this->schema);
    REQUIRE(problems.size() == 1);
    CHECK(formatProblems(problems)
          == "section access, /rules/0/service: found \"chart\"; allowed: an identifier that some section defines: "
             "\"chat\"");
}

// Guards against error messages that do not list the allowed values.
TEST_CASE_METHOD(DocumentFixture,
                 "Document: value that the schema's enumeration lacks: the problem shows the allowed values")
{
    const auto problems =
        this->document({{"team", "access"}, {"services", {{{"id", "desk"}, {"kind", "modell"}}}}}).check(this->schema);
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].section == "access");
    CHECK(problems[0].pointer == "/services/0/kind");
    CHECK(problems[0].found == "\"modell\"");
    CHECK_THAT(problems[0].allowed, Catch::Contains(R"(one of ["model","transactional"])"));
}

// Guards against silently ignoring misspelt fields.
TEST_CASE_METHOD(DocumentFixture, "Document: unknown field: the problem lists the known fields")
{
    const auto problems = this->document({{"team", "access"}, {"rule", json::array()}}).check(this->schema);
    REQUIRE(!problems.empty());
    CHECK(problems[0].section == "access");
    CHECK(formatProblems(problems)
          == "section access, /: found the unknown field \"rule\"; allowed: object; fields clientAccounts, placement, "
             "rules, services, team; required team");
}
