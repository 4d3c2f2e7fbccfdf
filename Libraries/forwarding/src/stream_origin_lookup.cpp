#include "stream_origin_lookup.h"

#include <algorithm>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace siskinwharf::forwarding {

namespace asio = boost::asio;

namespace {

/// Longest wait of a caller for the version of its stream.
constexpr milliseconds longest_lookup{500};
constexpr milliseconds check_interval{10};
/// Time in which an answer of any peer arrives if it knows the stream, a repeated question included.
constexpr milliseconds peer_wait{300};
/// Peers are asked again after this time, because a datagram may be lost.
constexpr milliseconds ask_interval{120};
constexpr std::size_t maximum_asks = 2;
/// Peers are asked without waiting for the store any longer than this.
constexpr milliseconds store_lead_time{60};

} // namespace

std::string_view to_string(origin_evidence evidence)
{
    switch (evidence) {
    case origin_evidence::none:
        return "none";
    case origin_evidence::stream:
        return "stream";
    case origin_evidence::history:
        return "history";
    }
    return "none";
}

asio::awaitable<origin_result> stream_origin_lookup::find(std::optional<std::uint64_t> stream,
                                                          service_id service, milliseconds limit)
{
    const auto started = std::chrono::steady_clock::now();
    const auto end = started + std::min(limit, longest_lookup);
    if (auto result = known(stream, service, {}, started); result.software)
        co_return result;
    const auto read = begin_read(service, started);
    std::vector<monotonic_time> asked;
    asio::steady_timer timer(m_executor);
    while (true) {
        const auto now = std::chrono::steady_clock::now();
        auto result = known(stream, service, *read, now);
        result.waited = std::chrono::duration_cast<milliseconds>(now - started);
        if (result.software || now >= end)
            co_return result;
        const bool has_asked = !stream || (!asked.empty() && now >= asked.front() + peer_wait);
        if (read->has_ended && has_asked)
            co_return result;
        if (stream && (read->has_ended || now >= started + store_lead_time)) {
            if (asked.empty() || (asked.size() < maximum_asks && now >= asked.back() + ask_interval)) {
                m_source.ask_peers(*stream);
                asked.push_back(now);
            }
        }
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::shared_ptr<stream_origin_lookup::version_read>
stream_origin_lookup::begin_read(const service_id& service, monotonic_time now)
{
    auto read = std::make_shared<version_read>();
    // What is recorded can only add versions to those that this process has seen.
    if (m_state.software().is_mixed(service, now)) {
        read->has_ended = true;
        return read;
    }
    auto run = [](stream_origin_source& source,
                  std::shared_ptr<version_read> result) -> asio::awaitable<void> {
        result->is_complete = co_await source.read_versions();
        result->has_ended = true;
    };
    asio::co_spawn(m_executor, run(m_source, read), asio::detached);
    return read;
}

origin_result stream_origin_lookup::known(std::optional<std::uint64_t> stream, const service_id& service,
                                          const version_read& read, monotonic_time now) const
{
    // Peers may tell of two streams under one number.
    if (stream && m_state.streams().is_ambiguous(*stream))
        return {};
    if (stream) {
        if (auto origin = m_state.streams().find(*stream))
            return {std::move(origin->software), std::move(origin->service), origin_evidence::stream};
    }
    // A store that lists no version of the service says nothing of it.
    if (read.is_complete && m_state.software().has_recorded(service)) {
        if (auto software = m_state.software().only_candidate(service, now))
            return {std::move(software), service, origin_evidence::history};
    }
    return {};
}

} // namespace siskinwharf::forwarding
