#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskinwharf/forwarding/deployment_store.h"

namespace siskinwharf::forwarding {

/// The texts of the endpoint entries as they were read from the store, with the version at which each
/// changed, so that a peer which knows an older version gets only what changed since.
class endpoint_change_log {
public:
    struct entry {
        std::string text;
        std::uint64_t version = 0; ///< Of the store, when the change was read.
        bool is_removed = false;
    };
    struct change {
        endpoint_id id;
        std::string text;
        bool is_removed = false;
    };
    struct changes {
        bool is_whole_list = false; ///< What is not in `entries` does not exist.
        std::vector<change> entries;
    };

    /// `is_whole_list`: entries that are missing in `read` are gone.
    void take(const endpoint_changes& read, bool is_whole_list);
    /// What changed after `version`; the whole list if that is not known any more.
    [[nodiscard]] changes since(std::uint64_t version) const;

private:
    void set(const endpoint_id& id, std::string text, bool is_removed, std::uint64_t version);
    void forget_removed();

    std::map<endpoint_id, entry> m_entries;
    std::uint64_t m_complete_after = 0; ///< Changes after this version are known.
    bool m_is_empty = true;
};

} // namespace siskinwharf::forwarding
