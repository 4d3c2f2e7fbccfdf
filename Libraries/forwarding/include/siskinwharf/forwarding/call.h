#pragma once

#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/base/identifier.h"
#include "siskinwharf/base/time.h"
#include "siskinwharf/dispatch/endpoint_constraints.h"
#include "siskinwharf/dispatch/endpoint_record.h"
#include "siskinwharf/http/message.h"

namespace siskinwharf::forwarding {

/// A caller's request and the values decoded from its headers.
struct call {
    http::request message; ///< The request as it was received.
    request_id id;         ///< Identifies this attempt of the caller. Empty if the header is missing.
    std::string host;
    std::optional<std::string> key;          ///< API key.
    std::optional<milliseconds> deadline;    ///< Time that the caller allows, counted from arrival.
    std::optional<std::string> resume_after; ///< Event id after which the caller resumes a stream.
    /// Id of the attempt that brought the first event of the stream that the caller resumes.
    std::optional<request_id> resumed_attempt;
    bool has_token_counts = false; ///< The token counts in `work` were stated by the caller.
    dispatch::workload work;
};

/// Values that are added to a caller's request when it is forwarded to an endpoint.
struct endpoint_request_options {
    dispatch::endpoint_record endpoint;
    std::optional<account_id> account;
    std::optional<std::size_t> urgency;      ///< Missing for services without an engine.
    std::optional<milliseconds> time_left;   ///< Until the request times out. Missing if it has no limit.
    std::optional<std::string> resume_after; ///< Id of the last event that the caller already has.
};

/// Values decoded from the headers of an endpoint's response.
struct response_metadata {
    bool is_not_run = false; ///< The endpoint reports that the request did not run and will not run.
    bool is_signed = false;  ///< The response was produced by the endpoint itself.
    /// Request that the response belongs to. Empty, which no request is, if it names several requests.
    std::optional<request_id> id;
    dispatch::endpoint_statement stated;  ///< What the endpoint says of the requests it takes.
    std::size_t malformed_statements = 0; ///< Headers of such statements that were ignored.
};

/// Interface that maps requests and responses to the platform's header names.
class call_codec {
public:
    call_codec() = default;
    call_codec(const call_codec&) = delete;
    call_codec& operator=(const call_codec&) = delete;
    call_codec(call_codec&&) = delete;
    call_codec& operator=(call_codec&&) = delete;
    virtual ~call_codec() = default;

    /// Reads the platform's headers of a caller's request.
    [[nodiscard]] virtual call decode(http::request message) const = 0;
    /// Builds the request for an endpoint: the caller's request without hop-by-hop headers, the API key and
    /// the headers that only the system may set.
    [[nodiscard]] virtual http::request encode(const call& from,
                                               const endpoint_request_options& order) const = 0;
    /// Builds the request for a peer that passes it to an endpoint: the caller's request without hop-by-hop
    /// headers, and with the time that is left.
    [[nodiscard]] virtual http::request encode_for_peer(const call& from,
                                                        std::optional<milliseconds> time_left) const = 0;
    /// Reads the platform's headers of an endpoint's response.
    [[nodiscard]] virtual response_metadata inspect(int status,
                                                    const std::vector<http::header_field>& headers) const = 0;
    /// Returns the headers of an endpoint's response that are passed on to the caller.
    [[nodiscard]] virtual std::vector<http::header_field>
    forwarded(const std::vector<http::header_field>& headers) const = 0;
};

} // namespace siskinwharf::forwarding
