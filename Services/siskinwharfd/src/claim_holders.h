#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "siskinwharf/claims/claim_action.h"
#include "siskinwharf/claims/claim_identity.h"
#include "siskinwharf/cloud/instance_list.h"
#include "siskinwharf/peer/messages.h"
#include "siskinwharf/peer/transport_options.h"

namespace siskinwharf::entry {

/// Asks the holders of claims, in any failure domain, about their attempts. Confined to the control thread.
class claim_holders {
public:
    using request_function = std::function<boost::asio::awaitable<peer::request_result>(
        instance_id, peer::address, peer::message, milliseconds)>;

    explicit claim_holders(request_function request) : m_request(std::move(request)) {}

    /// Takes the peer addresses of all entry processes from the instance list.
    void update(const std::vector<cloud::instance_record>& records);
    /// Asks a holder at `contact`, or where the instance list says. A holder that is not listed, does not
    /// answer within the time limit or knows nothing of the attempt is `holder_unknown`.
    boost::asio::awaitable<claims::holder_reply> ask(instance_id holder, std::optional<peer::address> contact,
                                                     claims::claim_identity identity,
                                                     claims::attempt_number attempt);

private:
    request_function m_request;
    std::map<instance_id, peer::address> m_contacts;
};

} // namespace siskinwharf::entry
