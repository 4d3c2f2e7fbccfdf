#pragma once

#include "siskinwharf/forwarding/peer_exchange.h"
#include "siskinwharf/forwarding/software_record.h"
#include "siskinwharf/forwarding/stream_origin_source.h"

namespace siskinwharf::forwarding {

/// Finds origins of streams in the store and at peers.
class process_origin_source final : public stream_origin_source {
public:
    process_origin_source(software_record& record, peer_exchange& peers) : m_record(record), m_peers(peers) {}

    boost::asio::awaitable<bool> read_versions() override { return m_record.read_again(); }
    void ask_peers(std::uint64_t stream) override { m_peers.ask_origin(stream); }

private:
    software_record& m_record;
    peer_exchange& m_peers;
};

} // namespace siskinwharf::forwarding
