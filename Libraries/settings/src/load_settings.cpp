#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "siskinwharf/settings/settings.h"
#include "siskinwharf/settings/settings_error.h"
#include "table_reader.h"

namespace siskinwharf::settings {

namespace {

constexpr std::size_t peer_key_digits = 64;
constexpr std::size_t max_peer_seeds = 64;
constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_path_bytes = 4096;
constexpr std::int64_t bytes_per_megabyte = 1'000'000;
/// A process with less memory than the least could hold no request beside its own state.
constexpr std::int64_t least_memory_mb = 32;
constexpr std::int64_t most_memory_mb = 1'000'000;
/// Largest part of the memory that one body may take, as a divisor. A body is held several times, and its
/// request would never be accepted if the memory for requests had no room for it.
constexpr std::uint64_t body_memory_divisor = 8;

constexpr std::array<std::pair<routing_policy, std::string_view>, 3> policy_names{
    {{routing_policy::prefix_affinity, "prefix_affinity"},
     {routing_policy::round_robin, "round_robin"},
     {routing_policy::least_in_flight, "least_in_flight"}}};

bool is_lower_hex(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

/// The same names as in the sheet, so that each failure domain and region can be named in both.
bool is_name(std::string_view text)
{
    const auto is_lower_or_digit = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
    };
    return !text.empty() && text.size() <= max_name_bytes && is_lower_or_digit(text.front()) &&
           std::all_of(text.begin(), text.end(), [&](char character) {
               return is_lower_or_digit(character) || character == '.' || character == '_' ||
                      character == '-';
           });
}

bool is_socket_address(std::string_view text)
{
    return parse_socket_address(text).has_value();
}

bool is_peer_key(std::string_view text)
{
    return text.size() == peer_key_digits && std::all_of(text.begin(), text.end(), is_lower_hex);
}

bool is_path(std::string_view text)
{
    return !text.empty() && text.size() <= max_path_bytes && text.find('\0') == std::string_view::npos;
}

bool is_policy(std::string_view text)
{
    return std::any_of(policy_names.begin(), policy_names.end(),
                       [text](const auto& entry) { return entry.second == text; });
}

constexpr text_rule name_rule{
    .is_valid = is_name, .allowed = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"};
constexpr text_rule address_rule{.is_valid = is_socket_address,
                                 .allowed = "<IPv4 address>:<port> or [<IPv6 address>]:<port>, port not 0"};
constexpr text_rule key_rule{
    .is_valid = is_peer_key, .allowed = "64 lower-case hexadecimal digits", .is_secret = true};
constexpr text_rule path_rule{.is_valid = is_path, .allowed = "the path of a PEM file"};
constexpr text_rule policy_rule{.is_valid = is_policy,
                                .allowed = "prefix_affinity, round_robin, least_in_flight"};

std::string decode_hex(std::string_view digits)
{
    std::string bytes;
    for (std::size_t index = 0; index + 1 < digits.size(); index += 2) {
        unsigned int byte = 0;
        std::from_chars(digits.data() + index, digits.data() + index + 2, byte, 16);
        bytes.push_back(static_cast<char>(byte));
    }
    return bytes;
}

class settings_loader {
public:
    explicit settings_loader(const toml::table& root) : m_root(root) {}

    settings run()
    {
        read_instance();
        read_listen();
        read_peers();
        read_platform();
        read_routing();
        read_tls();
        read_limits();
        read_timing();
        refuse_unknown_tables();
        if (!m_faults.empty()) {
            std::stable_sort(m_faults.begin(), m_faults.end(),
                             [](const auto& left, const auto& right) { return left.line < right.line; });
            throw settings_error(std::move(m_faults));
        }
        return std::move(m_value);
    }

private:
    table_reader open(std::string_view name)
    {
        m_tables.emplace_back(name);
        return {m_root, std::string(name), m_faults};
    }

    static socket_address address(table_reader& table, std::string_view key)
    {
        return parse_socket_address(table.text(key, address_rule)).value_or(socket_address{});
    }

    void read_instance()
    {
        table_reader table = open("instance");
        m_value.instance = instance_id(table.text("id", name_rule));
        m_value.failure_domain = failure_domain_id(table.text("failure_domain", name_rule));
        m_value.region = region_id(table.text("region", name_rule));
        m_value.threads = static_cast<std::uint32_t>(table.number_or("threads", 1, 64, m_value.threads));
        table.refuse_unknown_keys();
    }

    void read_listen()
    {
        table_reader table = open("listen");
        listen_settings& listen = m_value.listen;
        listen.callers = address(table, "callers");
        listen.peers = address(table, "peers");
        listen.admin = address(table, "admin");
        const auto check_distinct = [&table](std::string_view key, const socket_address& value,
                                             const socket_address& other) {
            if (value.port != 0 && value == other)
                table.add_fault(key, to_string(value), "an address that no other listener has");
        };
        check_distinct("peers", listen.peers, listen.callers);
        check_distinct("admin", listen.admin, listen.callers);
        check_distinct("admin", listen.admin, listen.peers);
        table.refuse_unknown_keys();
    }

    void read_peers()
    {
        table_reader table = open("peers");
        for (const std::string& seed : table.texts("seeds", address_rule, max_peer_seeds)) {
            if (const auto parsed = parse_socket_address(seed))
                m_value.peer_seeds.push_back(*parsed);
        }
        m_value.advertised_to_peers = parse_socket_address(table.text_or("advertise", address_rule, ""));
        m_value.peer_key = decode_hex(table.text("key", key_rule));
        table.refuse_unknown_keys();
    }

    void read_platform()
    {
        table_reader table = open("platform");
        m_value.platform = address(table, "address");
        table.refuse_unknown_keys();
    }

    void read_routing()
    {
        table_reader table = open("routing");
        const std::string name = table.text_or("policy", policy_rule, std::string(to_string(m_value.policy)));
        for (const auto& [policy, policy_name] : policy_names) {
            if (policy_name == name)
                m_value.policy = policy;
        }
        m_value.recomputed_token_weight =
            table.real_or("recomputed_token_weight", 0.0, 1.0, m_value.recomputed_token_weight);
        table.refuse_unknown_keys();
    }

    void read_tls()
    {
        table_reader table = open("tls");
        // A certificate without its key, or the reverse, is a fault rather than a listener without TLS.
        if (m_root.contains("tls")) {
            m_value.tls = tls_settings{.certificate = table.text("certificate", path_rule),
                                       .private_key = table.text("private_key", path_rule)};
        }
        table.refuse_unknown_keys();
    }

    void read_limits()
    {
        table_reader table = open("limits");
        limit_settings& limits = m_value.limits;
        limits.max_body_bytes = static_cast<std::uint64_t>(table.number_or(
            "max_body_bytes", 1024, 64L * 1024 * 1024, static_cast<std::int64_t>(limits.max_body_bytes)));
        limits.header_timeout =
            milliseconds(table.number_or("header_timeout_ms", 100, 60'000, limits.header_timeout.count()));
        limits.queue_length_per_account = static_cast<std::uint32_t>(
            table.number_or("queue_length_per_account", 1, 100'000, limits.queue_length_per_account));
        const auto default_mb = static_cast<std::int64_t>(limits.memory_bytes) / bytes_per_megabyte;
        const auto memory_mb = table.number_or("memory_mb", least_memory_mb, most_memory_mb, default_mb);
        limits.memory_bytes = static_cast<std::uint64_t>(memory_mb * bytes_per_megabyte);
        if (limits.max_body_bytes > limits.memory_bytes / body_memory_divisor)
            table.add_fault("max_body_bytes", std::to_string(limits.max_body_bytes),
                            fmt::format("at most an eighth of limits.memory_mb, {} bytes",
                                        limits.memory_bytes / body_memory_divisor));
        table.refuse_unknown_keys();
    }

    void read_timing()
    {
        table_reader table = open("timing");
        m_value.stop_timeout =
            milliseconds(table.number_or("stop_timeout_ms", 0, 3'600'000, m_value.stop_timeout.count()));
        m_value.lease_duration = milliseconds(
            table.number_or("lease_duration_ms", 1'000, 300'000, m_value.lease_duration.count()));
        table.refuse_unknown_keys();
    }

    /// Reports top-level keys that are unknown or are not tables.
    void refuse_unknown_tables()
    {
        table_reader table(m_root, "", m_faults);
        for (const std::string_view name : m_tables) {
            table.allow(name);
            const toml::node* node = m_root.get(name);
            if (node != nullptr && !node->is_table())
                table.add_fault(name, "a value", "a table");
        }
        table.refuse_unknown_keys();
    }

    const toml::table& m_root;
    settings m_value;
    std::vector<settings_fault> m_faults;
    std::vector<std::string_view> m_tables;
};

toml::table parse_toml(std::string_view text)
{
    try {
        return toml::parse(text);
    } catch (const toml::parse_error& error) {
        throw settings_error({{.line = error.source().begin.line,
                               .key = {},
                               .found = printable(std::string(error.description())),
                               .allowed = "TOML 1.0"}});
    }
}

} // namespace

std::string_view to_string(routing_policy policy)
{
    for (const auto& [value, name] : policy_names) {
        if (value == policy)
            return name;
    }
    return "unknown";
}

settings load_settings(std::string_view text)
{
    if (text.size() > max_settings_bytes) {
        throw settings_error({{.line = 0,
                               .key = {},
                               .found = fmt::format("{} bytes", text.size()),
                               .allowed = fmt::format("at most {} bytes", max_settings_bytes)}});
    }
    const toml::table root = parse_toml(text);
    return settings_loader(root).run();
}

} // namespace siskinwharf::settings
