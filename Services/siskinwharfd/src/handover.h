#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "live_request.h"
#include "siskinwharf/peer/messages.h"

namespace siskinwharf::entry {

/// The record of an accepted request, from which a peer continues it. The record names the request as
/// `<account>:<request id>`.
[[nodiscard]] peer::request_record to_record(const live_request& request, monotonic_time now);

/// Makes a request from a record; null if the record is malformed.
[[nodiscard]] std::shared_ptr<live_request> from_record(const boost::asio::any_io_executor& executor,
                                                        const peer::request_record& record,
                                                        monotonic_time now);

} // namespace siskinwharf::entry
