#include "claim_holders.h"

#include "claim_messages.h"

namespace siskinwharf::entry {

namespace asio = boost::asio;

namespace {

/// Round trips between regions take up to some 100 ms.
constexpr milliseconds query_timeout{1'000};

} // namespace

void claim_holders::update(const std::vector<cloud::instance_record>& records)
{
    m_contacts.clear();
    for (const auto& record : records) {
        if (std::holds_alternative<cloud::serves_entry>(record.serves) && record.peer_port != 0)
            m_contacts[record.id] = {record.address, record.peer_port};
    }
}

asio::awaitable<claims::holder_reply> claim_holders::ask(instance_id holder,
                                                         std::optional<peer::address> contact,
                                                         claims::claim_identity identity,
                                                         claims::attempt_number attempt)
{
    if (!contact) {
        const auto found = m_contacts.find(holder);
        if (found == m_contacts.end())
            co_return claims::holder_unknown{};
        contact = found->second;
    }
    peer::message body = peer::claim_status_request{identity.account, identity.key, attempt};
    auto operation = m_request(std::move(holder), std::move(*contact), std::move(body), query_timeout);
    const auto result = co_await std::move(operation);
    const auto* answer = std::get_if<peer::message>(&result);
    const auto* reply = answer != nullptr ? std::get_if<peer::claim_status_reply>(answer) : nullptr;
    if (reply == nullptr || reply->attempt != attempt)
        co_return claims::holder_unknown{};
    co_return to_holder_reply(*reply);
}

} // namespace siskinwharf::entry
