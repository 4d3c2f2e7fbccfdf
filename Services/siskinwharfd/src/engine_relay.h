#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "entry_core.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/http/client.h"
#include "siskinwharf/http/server.h"
#include "siskinwharf/serving/chat_response.h"

namespace siskinwharf::entry {

/// A request whose record is lost and whose stream an engine still has.
struct orphaned_stream {
    account_id account;
    serving::answer_identity identity;
    std::string stream_id; ///< Its name at the engine.
    std::shared_ptr<const routing::endpoint_info> endpoint;
};

/// Answers a caller from an engine's stream without a request record. Nobody else moves such a stream, so the
/// relay does when its engine is leaving.
class engine_relay {
public:
    engine_relay(entry_core& core, http::client& client, orphaned_stream stream, std::uint64_t offset,
                 http::response_writer& writer);

    /// Writes the rest of the answer, from the offset on, as events, and ends the response. The response
    /// header must have been sent. Throws `http::caller_disconnected` if the stream ends early, so that the
    /// caller resumes.
    boost::asio::awaitable<void> run(std::unique_ptr<http::line_stream> stream);

private:
    boost::asio::awaitable<void> follow(http::line_stream& stream);
    boost::asio::awaitable<void> export_if_leaving();
    boost::asio::awaitable<bool> is_leaving();
    /// Continues the exported stream at another engine; null if none takes it.
    boost::asio::awaitable<std::unique_ptr<http::line_stream>> import();
    boost::asio::awaitable<std::unique_ptr<http::line_stream>>
    import_at(const routing::endpoint_info& endpoint, const std::string& kv);
    [[nodiscard]] bool has_ended() const { return m_end && m_offset >= *m_end; }

    entry_core& m_core;
    http::client& m_client;
    orphaned_stream m_stream;
    std::uint64_t m_offset;
    http::response_writer& m_writer;
    std::optional<std::uint64_t> m_end; ///< Number of tokens of the answer, once the engine has said it.
    std::string m_exported_kv;
    std::uint32_t m_attempt = 1;
    monotonic_time m_asked_at{};       ///< When the engine was last asked whether it is leaving.
    routing::chosen_endpoint m_target; ///< Holds the slot of the engine to which the stream was moved.
};

} // namespace siskinwharf::entry
