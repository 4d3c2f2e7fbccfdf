#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "siskinwharf/forwarding/deployment_store.h"

namespace siskinwharf::forwarding {

/// Stores the text of each endpoint entry and the store version at which it was last changed, so that a peer
/// with an older version is sent only the entries that changed since. All versions are of one era of the
/// store: after a restore the log starts anew.
class endpoint_change_log {
public:
    struct entry {
        std::string text;
        std::uint64_t version = 0; ///< Store version at which the change was read.
        bool is_removed = false;
    };
    struct change {
        endpoint_id id;
        std::string text;
        bool is_removed = false;
    };
    struct changes {
        bool is_whole_list = false; ///< Endpoints that are not in `entries` do not exist.
        std::vector<change> entries;
    };

    /// Applies entries read from the store or a peer. If `is_whole_list`, entries missing in `read` are
    /// removed. The first read of a newer era must be a whole list.
    void take(const endpoint_changes& read, bool is_whole_list);
    /// Returns the changes after `position`, or the whole list if the log no longer reaches back that far or
    /// `position` is of another era.
    [[nodiscard]] changes since(const store_position& position) const;

private:
    void set(const endpoint_id& id, std::string text, bool is_removed, std::uint64_t version);
    void forget_removed();

    std::map<endpoint_id, entry> m_entries;
    std::uint64_t m_era = 0;
    std::uint64_t m_complete_after = 0; ///< The log is complete for changes after this version.
    bool m_is_empty = true;
};

} // namespace siskinwharf::forwarding
