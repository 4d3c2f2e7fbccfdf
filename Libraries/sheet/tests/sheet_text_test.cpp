#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "siskinwharf/base/digest.h"
#include "siskinwharf/sheet/parse_sheet.h"
#include "siskinwharf/sheet/sheet_difference.h"
#include "siskinwharf/sheet/sheet_error.h"

namespace siskinwharf::sheet {

namespace {

std::string example(const std::string& name)
{
    std::ifstream file(std::string(SISKINWHARF_EXAMPLES "/") + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::vector<sheet_fault> faults_of(const std::string& text)
{
    try {
        (void)parse_sheet(text);
    } catch (const sheet_error& error) {
        return error.faults();
    }
    return {};
}

} // namespace

TEST_CASE("the examples are canonical and hold the digests of their documented keys")
{
    for (const std::string name : {"cartline.csv", "hollowreed.csv"}) {
        const std::string text = example(name);
        const sheet value = parse_sheet(text);
        CHECK(render_sheet(value) == text);
        CHECK(value.accounts.size() == 5);
        for (const account_entry& entry : value.accounts)
            CHECK(entry.key_digests.front() == sha256_hex("key-" + entry.account.value()));
    }
}

TEST_CASE("what spreadsheet programs write is read as the same sheet")
{
    const std::string text = example("cartline.csv");
    const sheet value = parse_sheet(text);
    std::string crlf = "\xEF\xBB\xBF";
    for (const char character : text)
        crlf += character == '\n' ? std::string("\r\n") : std::string(1, character);
    CHECK(parse_sheet(crlf + ",,,,,,,,,,,,,,,\r\n") == value);
    CHECK(parse_sheet(replaced(text, "account,bakehouse", "\"account\",\"bakehouse\"")) == value);
}

TEST_CASE("each kind of fault is reported with its line, field, value and allowed values")
{
    struct fault_case {
        std::string from;
        std::string to;
        std::size_t line;
        std::string field;
        std::string found;
    };
    const fault_case cases[] = {
        {"region,ocho", "regoin,ocho", 4, "kind", "regoin"},
        {"region,ocho", "region,Ocho", 4, "name", "Ocho"},
        {"domain,ocho-a,ocho", "domain,ocho-a,ochi", 7, "regions", "ochi"},
        {",33,,,\ndomain,montego-a", ",67,,,\ndomain,montego-a", 7, "spend_percent", "33"},
        {",33,,,\ndomain,montego-a", ",101,,,\ndomain,montego-a", 5, "spend_percent", "101"},
        {"checked", "maybe", 8, "fencing", "maybe"},
        {"service,orders", "service,dough-7b", 9, "name", "dough-7b"},
        {"/orders", "orders", 9, "non_idempotent_prefixes", "orders"},
        {"account,harbour-deli", "account,bakehouse", 11, "name", "bakehouse"},
        {sha256_hex("key-harbour-deli"), sha256_hex("key-bakehouse"), 11, "key_digests", ""},
        {sha256_hex("key-bakehouse"), "ABCD", 10, "key_digests", "ABCD"},
        {sha256_hex("key-bakehouse"), "", 10, "key_digests", ""},
        {"grant,bakehouse,kingston montego", "grant,bakehouse,kingston kingston", 15, "regions", "kingston"},
        {"ocho,orders", "ocho,order", 16, "target", "order"},
        {"ocho,orders", "ocho,dough-7b", 16, "regions", "kingston"},
        {"840,72", "0,72", 15, "first_token_ms", "0"},
        {"840,72", "1.5,72", 15, "first_token_ms", "1.5"},
        {"spend,,", "spend,x,", 25, "name", "x"},
        {"spend,", "\"spend,", 25, "", "spend,,,,,,,,,,,,,,,9000?"},
        {"spend,", "sp\"end,", 25, "", "\""},
        {"spend,", "\"spend\"x,", 25, "", "x"},
        {"spend,,", "spend,", 25, "", "15 fields"},
        {"kind,name", "kind,nam", 1, "header", ""},
        {"spend,,",
         "sp\xFF"
         "end,,",
         25, "", "byte 0xFF"},
        {"region,ocho", "region,\"oc\nho\"", 4, "name", "oc?ho"},
    };
    const std::string text = example("cartline.csv");
    for (const auto& [from, to, line, field, found] : cases) {
        CAPTURE(from, to);
        const auto faults = faults_of(replaced(text, from, to));
        REQUIRE_FALSE(faults.empty());
        const bool is_reported = std::any_of(
            faults.begin(), faults.end(), [&, at = line, in = field, value = found](const auto& fault) {
                return fault.line == at && fault.field == in && !fault.allowed.empty() &&
                       (value.empty() || fault.found == value);
            });
        CAPTURE(to_string(faults.front()));
        CHECK(is_reported);
    }
}

TEST_CASE("all faults of a text come at once, so that an operator needs one round")
{
    std::string text = replaced(example("cartline.csv"), "checked", "maybe");
    text = replaced(text, "840,72", "0,0");
    const auto faults = faults_of(replaced(text, "spend,", "region,"));
    CHECK(faults.size() >= 5);
    CHECK(std::is_sorted(faults.begin(), faults.end(),
                         [](const auto& left, const auto& right) { return left.line < right.line; }));
}

TEST_CASE("oversized texts are refused before they cost memory")
{
    CHECK(faults_of(std::string(max_sheet_bytes + 1, 'a')).size() == 1);
    const std::string text = example("cartline.csv");
    CHECK(faults_of(text + std::string(max_sheet_rows, '\n')).size() == 1);
}

TEST_CASE("a difference names what was added, removed and changed")
{
    const sheet before = parse_sheet(example("cartline.csv"));
    CHECK(to_lines(compare_sheets(before, before)).empty());
    sheet after = before;
    after.accounts[1].share = 7;
    after.spend_cents_per_hour = 1;
    after.models[0].version = "v4";
    const sheet_difference difference = compare_sheets(before, after);
    CHECK_FALSE(difference.empty());
    CHECK(to_lines(difference) == std::vector<std::string>{"- model,dough-7b,,,v3,recipes,checked,2,,,,,,,,",
                                                           "+ model,dough-7b,,,v4,recipes,checked,2,,,,,,,,",
                                                           "~ account harbour-deli: share 4 -> 7",
                                                           "~ spend: cents_per_hour 9000 -> 1"});
}

TEST_CASE("a text with random damage is either refused with faults or read, never anything else")
{
    const std::string text = example("cartline.csv");
    const bool holds = rc::check("damaged text", [&text] {
        std::string damaged = text;
        const auto edits = *rc::gen::container<std::vector<std::pair<std::uint16_t, char>>>(rc::gen::pair(
            rc::gen::arbitrary<std::uint16_t>(), rc::gen::element('"', ',', '\n', '\r', 'a', '0')));
        for (const auto& [position, character] : edits)
            damaged[position % damaged.size()] = character;
        try {
            const sheet value = parse_sheet(damaged);
            RC_ASSERT(parse_sheet(render_sheet(value)) == value);
        } catch (const sheet_error& error) {
            RC_ASSERT(!error.faults().empty());
        }
    });
    CHECK(holds);
}

} // namespace siskinwharf::sheet
