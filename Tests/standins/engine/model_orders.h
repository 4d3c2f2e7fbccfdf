#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "engine_options.h"
#include "siskinwharf/base/time.h"

namespace siskinwharf::standins {

/// The state that orders ask for, and how far the engine is with it. Models and adapters load one after
/// another; a model goes on serving while an adapter is loaded or dropped beside it.
class model_orders {
public:
    model_orders(const engine_options& options, monotonic_time now);

    /// Applies an order. Returns false if its fencing token is older than one seen before and tokens are
    /// checked. Throws `bad_request`.
    bool apply(const boost::json::object& order, monotonic_time now);
    [[nodiscard]] std::uint64_t highest_fencing() const { return m_highest_fencing; }
    /// True if the model is loaded. An empty version means any, an empty adapter none.
    [[nodiscard]] bool serves(const std::string& model, const std::string& version,
                              const std::string& adapter, monotonic_time now) const;
    /// True if the version is loaded or loading.
    [[nodiscard]] bool has(const std::string& model, const std::string& version) const;
    /// Version that serves a request which names none; empty if there is none.
    [[nodiscard]] std::string version_of(const std::string& model, monotonic_time now) const;
    /// Body of `GET /orders`.
    [[nodiscard]] boost::json::object describe(monotonic_time now) const;

private:
    struct loaded_model {
        std::string model;
        std::string version;
        monotonic_time ready{};
        std::map<std::string, monotonic_time> adapters; // With the time from which each is loaded.

        [[nodiscard]] bool loaded(monotonic_time now) const;
    };

    [[nodiscard]] loaded_model load(const boost::json::object& item, monotonic_time& loader_free) const;

    engine_options m_options;
    std::vector<loaded_model> m_models;
    std::string m_role = "both";
    std::uint64_t m_fencing = 0; // Of the order in force.
    std::uint64_t m_highest_fencing = 0;
    std::uint64_t m_applied_orders = 0;
    monotonic_time m_loader_free;
};

} // namespace siskinwharf::standins
