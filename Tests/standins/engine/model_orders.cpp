#include "model_orders.h"

#include <algorithm>

#include "json.h"

namespace siskinwharf::standins {

namespace json = boost::json;

model_orders::model_orders(const engine_options& options, monotonic_time now)
    : m_options(options), m_loader_free(now)
{
    if (!options.model.empty())
        m_models.push_back({options.model, options.version, now, {}});
}

bool model_orders::apply(const json::object& order, monotonic_time now)
{
    const auto fencing = static_cast<std::uint64_t>(integer_member(order, "fencing"));
    if (m_options.fencing == "checked" && fencing < m_highest_fencing)
        return false;
    const json::object wanted = object_member(order, "wanted");
    std::vector<loaded_model> models;
    monotonic_time loader_free = std::max(m_loader_free, now);
    for (const json::object& item : objects_member(wanted, "models"))
        models.push_back(load(item, loader_free));
    m_role = string_member(wanted, "role", m_role);
    m_models = std::move(models);
    m_loader_free = loader_free;
    m_fencing = fencing;
    m_highest_fencing = std::max(m_highest_fencing, fencing);
    ++m_applied_orders;
    return true;
}

model_orders::loaded_model model_orders::load(const json::object& item, monotonic_time& loader_free) const
{
    loaded_model next;
    next.model = string_member(item, "model");
    next.version = string_member(item, "version");
    const auto same = std::find_if(m_models.begin(), m_models.end(), [&next](const auto& present) {
        return present.model == next.model && present.version == next.version;
    });
    const bool is_present = same != m_models.end();
    if (!is_present)
        loader_free += milliseconds(m_options.load_model_ms);
    next.ready = is_present ? same->ready : loader_free;
    for (std::string& name : strings_member(item, "adapters")) {
        if (is_present && same->adapters.contains(name)) {
            next.adapters[name] = same->adapters.at(name);
            continue;
        }
        loader_free += milliseconds(m_options.load_adapter_ms);
        next.adapters[name] = loader_free;
    }
    return next;
}

bool model_orders::loaded_model::loaded(monotonic_time now) const
{
    return ready <= now &&
           std::ranges::all_of(adapters, [now](const auto& adapter) { return adapter.second <= now; });
}

bool model_orders::serves(const std::string& model, const std::string& version, const std::string& adapter,
                          monotonic_time now) const
{
    return std::any_of(m_models.begin(), m_models.end(), [&](const loaded_model& entry) {
        if (entry.model != model || (!version.empty() && entry.version != version) || entry.ready > now)
            return false;
        const auto found = entry.adapters.find(adapter);
        return adapter.empty() || (found != entry.adapters.end() && found->second <= now);
    });
}

bool model_orders::has(const std::string& model, const std::string& version) const
{
    return std::ranges::any_of(m_models, [&](const loaded_model& entry) {
        return entry.model == model && entry.version == version;
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
    for (const loaded_model& entry : m_models) {
        json::array adapters;
        for (const auto& [name, ready] : entry.adapters)
            adapters.emplace_back(name);
        models.push_back(json::object{{"model", entry.model},
                                      {"version", entry.version},
                                      {"adapters", std::move(adapters)},
                                      {"state", entry.loaded(now) ? "loaded" : "loading"}});
    }
    return {{"fencing", m_fencing},
            {"highest_fencing", m_highest_fencing},
            {"role", m_role},
            {"models", std::move(models)},
            {"applied_orders", m_applied_orders}};
}

} // namespace siskinwharf::standins
