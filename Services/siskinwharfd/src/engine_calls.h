#pragma once

#include <string>

#include "live_request.h"
#include "siskinwharf/http/message.h"
#include "siskinwharf/routing/endpoint_info.h"

namespace siskinwharf::entry {

/// Name of a request's stream at an engine.
[[nodiscard]] std::string stream_id_of(const request_spec& spec);
[[nodiscard]] http::address address_of(const routing::endpoint_info& endpoint);
/// A request to an engine; a body is JSON.
[[nodiscard]] http::request make_request(std::string method, std::string path, std::string query,
                                         std::string body);

/// The exported KV cache in the answer of an engine, or an empty text.
[[nodiscard]] std::string exported_cache_of(const std::string& body);

} // namespace siskinwharf::entry
