#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace siskinwharf {

/// A string identifier whose tag keeps identifiers of different things apart at compile time.
template<typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value) : m_value(std::move(value)) {}

    [[nodiscard]] const std::string& value() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }

    auto operator<=>(const identifier&) const = default;

private:
    std::string m_value;
};

using account_id = identifier<struct account_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using failure_domain_id = identifier<struct failure_domain_tag>;
using instance_id = identifier<struct instance_tag>;
using model_id = identifier<struct model_tag>;
using region_id = identifier<struct region_tag>;
using request_id = identifier<struct request_tag>;
using service_id = identifier<struct service_tag>;
/// Version of the software of an endpoint, not of the weights that it serves.
using software_version = identifier<struct software_version_tag>;

} // namespace siskinwharf

template<typename Tag>
struct std::hash<siskinwharf::identifier<Tag>> {
    std::size_t operator()(const siskinwharf::identifier<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
