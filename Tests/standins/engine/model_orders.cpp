#include "model_orders.h"

#include <algorithm>

#include "json.h"

namespace siskinwharf::standins {

namespace json = boost::json;

model_orders::model_orders(const engine_options& options, monotonic_time now)
    : m_options(options), m_loader_free(now)
{
    if (!options.model.empty())
        m_models.push_back({options.model, options.version, {}, now});
}

bool model_orders::apply(const json::object& order, monotonic_time now)
{
    const auto fencing = static_cast<std::uint64_t>(integer_member(order, "fencing"));
    if (m_options.fencing == "checked" && fencing < m_highest_fencing)
        return false;
    const json::object wanted = object_member(order, "wanted");
    std::vector<loaded_model> models;
    monotonic_time loader_free = std::max(m_loader_free, now);
    for (const json::object& item : objects_member(wanted, "models")) {
        loaded_model next;
        next.model = string_member(item, "model");
        next.version = string_member(item, "version");
        next.adapters = strings_member(item, "adapters");
        std::sort(next.adapters.begin(), next.adapters.end());
        const auto same = std::find_if(m_models.begin(), m_models.end(), [&next](const auto& present) {
            return present.model == next.model && present.version == next.version;
        });
        next.ready = same == m_models.end() ? now : same->ready;
        if (same == m_models.end() || same->adapters != next.adapters) {
            const auto adapters = static_cast<std::int64_t>(next.adapters.size());
            loader_free += milliseconds((same == m_models.end() ? m_options.load_model_ms : 0) +
                                        m_options.load_adapter_ms * adapters);
            next.ready = loader_free;
        }
        models.push_back(std::move(next));
    }
    m_role = string_member(wanted, "role", m_role);
    m_models = std::move(models);
    m_loader_free = loader_free;
    m_fencing = fencing;
    m_highest_fencing = std::max(m_highest_fencing, fencing);
    ++m_applied_orders;
    return true;
}

bool model_orders::serves(const std::string& model, const std::string& version, const std::string& adapter,
                          monotonic_time now) const
{
    return std::any_of(m_models.begin(), m_models.end(), [&](const loaded_model& entry) {
        return entry.model == model && (version.empty() || entry.version == version) && entry.ready <= now &&
               (adapter.empty() ||
                std::find(entry.adapters.begin(), entry.adapters.end(), adapter) != entry.adapters.end());
    });
}

std::string model_orders::version_of(const std::string& model, monotonic_time now) const
{
    for (const loaded_model& entry : m_models) {
        if (entry.model == model && entry.ready <= now)
            return entry.version;
    }
    return {};
}

json::object model_orders::describe(monotonic_time now) const
{
    json::array models;
    for (const auto& [model, version, adapters, ready] : m_models) {
        models.push_back(json::object{{"model", model},
                                      {"version", version},
                                      {"adapters", json::value_from(adapters)},
                                      {"state", ready <= now ? "loaded" : "loading"}});
    }
    return {{"fencing", m_fencing},
            {"highest_fencing", m_highest_fencing},
            {"role", m_role},
            {"models", std::move(models)},
            {"applied_orders", m_applied_orders}};
}

} // namespace siskinwharf::standins
