#pragma once

#include <string>
#include <vector>

#include "siskinwharf/forwarding/endpoint_change_log.h"
#include "siskinwharf/forwarding/update_offer.h"

namespace siskinwharf::forwarding {

/// What a process answers a peer that asks for newer versions than it has.
struct state_answer {
    known_versions versions;        ///< Of the process that answers.
    std::string configuration_text; ///< As stored. Empty if the peer has this configuration.
    endpoint_change_log::changes list;
};

/// Encodes an answer as JSON.
[[nodiscard]] std::string encode_answer(const state_answer& answer);

/// Inverse of `encode_answer`. The configuration's version is 0: it is part of the text. Throws
/// `invalid_entry` if the text is no answer.
[[nodiscard]] state_answer decode_answer(const std::string& text);

/// Encodes what a process asks for: one item newer than `own`. The other item gets a version that no peer
/// exceeds, so that it is not sent too. `list_era` is that of the peer's list: of another era it would send
/// the whole list.
[[nodiscard]] std::string encode_query(shared_item item, const known_versions& own, std::uint64_t list_era);

} // namespace siskinwharf::forwarding
