#include <catch2/catch.hpp>

#include "model_assignment.h"

namespace siskinwharf::entry {

namespace {

const region_id region("r1");
const failure_domain_id domain("d1");

sheet::sheet sheet_of(const std::vector<sheet::model_entry>& models)
{
    sheet::sheet result;
    result.domains.push_back({domain, region, 100});
    result.models = models;
    for (const auto& model : models)
        result.grants.push_back({account_id("a"), model.model.value(), {region}});
    return result;
}

cloud::instance_record engine(const std::string& id, const std::string& model, const std::string& version)
{
    cloud::instance_record record;
    record.id = instance_id(id);
    record.domain = domain;
    record.serves = cloud::serves_model{model_id(model), version};
    return record;
}

sheet::model_entry model(const std::string& name, const std::string& version, std::uint32_t minimum)
{
    return {model_id(name), version, {"b", "a"}, sheet::fencing_support::ignored, minimum};
}

} // namespace

TEST_CASE("an engine gets the model of the sheet that disturbs the failure domain least")
{
    // Guards against an engine that loses a model it should keep, and against models without replicas.
    struct row {
        const char* name = "";
        std::vector<sheet::model_entry> models;
        std::vector<cloud::instance_record> records;
        std::map<std::string, std::string> expected; ///< Endpoint to `model:version`.
    };
    const std::vector<cloud::instance_record> two{engine("e1", "m", "v1"), engine("e2", "m", "v1")};
    auto leaving = two;
    leaving.front().leaving = true;
    auto elsewhere = two;
    elsewhere.front().domain = failure_domain_id("d2");
    const row rows[] = {
        {"as in the sheet", {model("m", "v1", 1)}, two, {{"e1", "m:v1"}, {"e2", "m:v1"}}},
        {"another model lacks replicas",
         {model("m", "v1", 1), model("n", "v1", 9)},
         two,
         {{"e1", "m:v1"}, {"e2", "m:v1"}}},
        {"newer version", {model("m", "v2", 1)}, two, {{"e1", "m:v2"}, {"e2", "m:v2"}}},
        {"two newer versions",
         {model("m", "v2", 1), model("m", "v3", 1)},
         two,
         {{"e1", "m:v2"}, {"e2", "m:v3"}}},
        {"model removed, another lacks one replica", {model("n", "v1", 1)}, two, {{"e1", "n:v1"}}},
        {"leaving engine", {model("m", "v1", 1)}, leaving, {{"e2", "m:v1"}}},
        {"engine of another failure domain", {model("m", "v1", 1)}, elsewhere, {{"e2", "m:v1"}}},
    };
    for (const auto& [name, models, records, expected] : rows) {
        INFO(name);
        std::map<std::string, std::string> assigned;
        for (const auto& [id, entry] : assign_models(sheet_of(models), records, domain)) {
            assigned[id.value()] = entry.wanted.model.value() + ":" + entry.wanted.version;
            CHECK(entry.wanted.adapters == std::vector<std::string>{"a", "b"});
            CHECK(entry.support == sheet::fencing_support::ignored);
        }
        CHECK(assigned == expected);
    }
}

} // namespace siskinwharf::entry
