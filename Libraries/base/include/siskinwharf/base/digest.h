#pragma once

#include <string>
#include <string_view>

namespace siskinwharf {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256_hex(std::string_view data);

/// HMAC-SHA-256 of `data` under `key` as 32 raw bytes.
[[nodiscard]] std::string hmac_sha256(std::string_view key, std::string_view data);

/// Compares two strings in a time that depends on their lengths only.
[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right);

/// Encodes bytes as lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::string_view bytes);

} // namespace siskinwharf
