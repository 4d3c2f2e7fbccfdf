#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::sheet {

/// One region and how much a gigabyte sent to another region costs.
struct region_entry {
    region_id region;
    std::uint32_t egress_cents_per_gigabyte = 0;

    auto operator<=>(const region_entry&) const = default;
};

/// One failure domain, its region, and its fixed share of the spend in percent.
struct domain_entry {
    failure_domain_id domain;
    region_id region;
    std::uint32_t spend_percent = 0;

    auto operator<=>(const domain_entry&) const = default;
};

/// Whether the endpoints of a model or service refuse orders that carry a stale fencing token.
enum class fencing_support { checked, ignored };

/// One model version to serve.
struct model_entry {
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    fencing_support fencing = fencing_support::checked;
    std::uint32_t minimum_replicas = 0; ///< For each failure domain of the regions that serve it.

    auto operator<=>(const model_entry&) const = default;
};

/// One plain service. Calls whose path starts with one of these prefixes must not be repeated.
struct service_entry {
    service_id service;
    std::vector<std::string> non_idempotent_prefixes;

    auto operator<=>(const service_entry&) const = default;
};

/// One client account with the SHA-256 digests (lower-case hexadecimal) of its API keys.
struct account_entry {
    account_id account;
    std::vector<std::string> key_digests;
    std::uint32_t share = 1; ///< Weight in the fair queue.

    auto operator<=>(const account_entry&) const = default;
};

/// Lets an account use a model or service, in some regions, at a latency target.
struct grant_entry {
    account_id account;
    std::string target; ///< Name of a model or a service.
    std::vector<region_id> regions;
    milliseconds first_token{840};
    milliseconds between_tokens{72};

    auto operator<=>(const grant_entry&) const = default;
};

/// What operators submit: the whole wanted state of a deployment.
struct sheet {
    std::vector<region_entry> regions;
    std::vector<domain_entry> domains;
    std::vector<model_entry> models;
    std::vector<service_entry> services;
    std::vector<account_entry> accounts;
    std::vector<grant_entry> grants;
    std::uint64_t spend_cents_per_hour = 0;

    auto operator<=>(const sheet&) const = default;
};

} // namespace siskinwharf::sheet
