#include "oddanswer.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hemlock;

namespace {

std::string answerWithForm(int form)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: 8\r\nSoak-Form: " + std::to_string(form) + "\r\nA: b\r\n\r\n12345678";
}

} // namespace

TEST_CASE("oddAnswer: answer that asks for no form: it is left alone")
{
    CHECK_FALSE(oddAnswer("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n12345678"));
    CHECK_FALSE(oddAnswer("HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n\r\nSoak-Form: 1\r\n\r\n"));
}

TEST_CASE("oddAnswer: all forms: other fields stay, the own length is replaced, and no two forms are alike")
{
    std::set<std::pair<std::string, bool>> seen;
    for (int form = 0; form < oddAnswerForms(); ++form) {
        INFO(oddAnswerName(form));
        const auto odd = oddAnswer(answerWithForm(form));
        REQUIRE(odd);
        CHECK(odd->bytes.starts_with("HTTP/1.1 200 OK\r\nA: b\r\n"));
        CHECK(odd->bytes.find("Soak-Form") == std::string::npos);
        CHECK(seen.insert({odd->bytes, odd->isReset}).second);
    }
    const auto differing = oddAnswer(answerWithForm(3));
    CHECK(differing->bytes == "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 8\r\nContent-Length: 4\r\n\r\n1234");
}
