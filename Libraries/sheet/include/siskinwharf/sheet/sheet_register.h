#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "siskinwharf/base/time.h"
#include "siskinwharf/sheet/sheet.h"

namespace siskinwharf::sheet {

/// An accepted sheet, its version and its text as accepted, which peers fetch.
struct versioned_sheet {
    std::uint64_t version = 0;
    std::string text;
    sheet value;
    /// For each model, the versions of the last sheet before that named other versions of it.
    std::map<model_id, std::vector<std::string>> preceding_versions;

    /// Versions of a model that serve a request which names none: those of this sheet, then the preceding
    /// ones.
    [[nodiscard]] std::vector<std::string> serving_versions(const model_id& model) const;
};

/// What became of an offered sheet.
enum class offer_outcome {
    in_force,  ///< It is newer than the one before and now in force.
    not_newer, ///< The same or a newer version was in force already.
    invalid,   ///< The text is not a valid sheet; nothing changed.
};

/// Holds the newest sheet in force at this process. Versions only move up, whatever the order in which table,
/// peers and start-up offer them. All functions are thread safe.
class sheet_register {
public:
    /// How long a starting process without an answer of the table waits for newer versions from peers.
    static constexpr seconds start_grace{5};

    explicit sheet_register(monotonic_time started);
    sheet_register(const sheet_register&) = delete;
    sheet_register& operator=(const sheet_register&) = delete;
    sheet_register(sheet_register&&) = delete;
    sheet_register& operator=(sheet_register&&) = delete;
    ~sheet_register();

    /// The sheet in force, or null. Wait-free: readers are on the request path and never wait for writers.
    [[nodiscard]] std::shared_ptr<const versioned_sheet> current() const;

    /// Version in force, 0 if there is none. Wait-free.
    [[nodiscard]] std::uint64_t version() const { return m_version.load(std::memory_order_acquire); }

    /// Offers the text of an accepted version, from the table or a peer.
    offer_outcome offer(std::uint64_t version, std::string text);

    /// Notes that the table answered a read of `sheet/current`, with 0 if there is no such row.
    void note_table_version(std::uint64_t version);

    /// Notes a version number that a peer reports.
    void note_peer_version(std::uint64_t version);

    /// The newest version known of, if it is newer than the one in force and has to be fetched.
    [[nodiscard]] std::optional<std::uint64_t> wanted_version() const;

    /// Stops asking for a version that does not exist or is invalid, so that one wrong report of a peer
    /// cannot keep this process busy. A later report asks for it again.
    void drop_wanted(std::uint64_t version);

    /// Whether requests may be accepted: a sheet is in force, and either the table has confirmed that it was
    /// the newest or `start_grace` has passed. Once ready, the register stays ready.
    [[nodiscard]] bool is_ready(monotonic_time now) const;

private:
    using holder = std::shared_ptr<const versioned_sheet>;

    void publish(std::unique_ptr<const holder> next);

    std::atomic<const holder*> m_holder{nullptr};
    std::atomic<std::uint64_t> m_version{0};
    /// Threads between loading `m_holder` and having copied what it points to.
    mutable std::atomic<std::uint32_t> m_readers{0};
    monotonic_time m_started;
    mutable std::atomic<bool> m_is_ready{false};

    mutable std::mutex m_mutex; ///< Guards the members below, and serializes writers.
    std::vector<std::unique_ptr<const holder>> m_retired;
    std::uint64_t m_newest_known = 0;
    std::optional<std::uint64_t> m_table_version;
};

} // namespace siskinwharf::sheet
