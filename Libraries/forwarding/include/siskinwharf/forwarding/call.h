#pragma once

#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/endpoint_record.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::forwarding {

/// A caller's request with what its headers say.
struct call {
    http::request message; ///< As it arrived.
    request_id id;         ///< Of this attempt of the caller. Empty if the caller named none.
    std::string host;
    std::optional<std::string> key; ///< API key.
    std::optional<milliseconds> deadline;
    std::optional<std::string> resume_after; ///< Event id after which a stream is to go on.
    bool has_token_counts = false;           ///< `work` has the tokens that the caller stated.
    dispatch::workload work;
};

/// What a request sent to an endpoint carries besides the caller's own.
struct endpoint_request_options {
    dispatch::endpoint_record endpoint;
    std::optional<account_id> account;
    std::optional<std::size_t> urgency; ///< Nothing at plain services.
    std::optional<milliseconds> time_left;
    std::optional<std::string> resume_after;
};

/// What the header of an endpoint's answer says.
struct response_metadata {
    bool is_not_run = false; ///< The endpoint states that the request did not run and will not.
    bool is_signed = false;  ///< The answer is the endpoint's own.
    std::optional<request_id> id;
};

/// Port to the names of headers on the wire.
class call_codec {
public:
    call_codec() = default;
    call_codec(const call_codec&) = delete;
    call_codec& operator=(const call_codec&) = delete;
    call_codec(call_codec&&) = delete;
    call_codec& operator=(call_codec&&) = delete;
    virtual ~call_codec() = default;

    [[nodiscard]] virtual call decode(http::request message) const = 0;
    /// The request for an endpoint: the caller's without what concerns its connection, its key, and the
    /// headers that only the system sets.
    [[nodiscard]] virtual http::request encode(const call& from,
                                               const endpoint_request_options& order) const = 0;
    [[nodiscard]] virtual response_metadata inspect(int status,
                                                    const std::vector<http::header_field>& headers) const = 0;
    /// The headers of an endpoint's answer that the caller gets.
    [[nodiscard]] virtual std::vector<http::header_field>
    forwarded(const std::vector<http::header_field>& headers) const = 0;
};

} // namespace siskinwharf::forwarding
