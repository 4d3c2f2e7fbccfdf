#pragma once

#include <cstdint>
#include <string>

#include "live_request.h"
#include "siskinwharf/http/message.h"
#include "siskinwharf/routing/endpoint_info.h"

namespace siskinwharf::entry {

/// Longest answer to a question for the load of an engine, which is asked several times a second.
inline constexpr std::uint64_t maximum_load_bytes = 64U << 10U;

/// Name of a request's stream at an engine.
[[nodiscard]] std::string stream_id_of(const request_spec& spec);
[[nodiscard]] http::address address_of(const routing::endpoint_info& endpoint);
/// A request to an engine; a body is JSON.
[[nodiscard]] http::request make_request(std::string method, std::string path, std::string query,
                                         std::string body);

/// Path of the requests about one stream.
[[nodiscard]] std::string path_of_stream(const std::string& stream_id);
/// Asks an engine for the KV cache of a stream, which stops there.
[[nodiscard]] http::request make_export(const std::string& stream_id);
/// Continues an exported stream at another engine. `offset` is the number of tokens known here.
[[nodiscard]] http::request make_import(const std::string& stream_id, std::uint32_t attempt,
                                        const std::string& kv, std::uint64_t offset);

/// The exported KV cache in the answer of an engine, or an empty text.
[[nodiscard]] std::string exported_cache_of(const std::string& body);

} // namespace siskinwharf::entry
