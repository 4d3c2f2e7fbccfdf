#include "siskinwharf/base/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace siskinwharf {

namespace {

std::string_view as_view(const unsigned char* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

const unsigned char* as_bytes(std::string_view data)
{
    return reinterpret_cast<const unsigned char*>(data.data());
}

} // namespace

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(as_bytes(data), data.size(), digest.data());
    return to_hex(as_view(digest.data(), digest.size()));
}

std::string hmac_sha256(std::string_view key, std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), as_bytes(data), data.size(), digest.data(),
         &size);
    return std::string(as_view(digest.data(), size));
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    result.reserve(bytes.size() * 2);
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        result.push_back(digits[value >> 4U]);
        result.push_back(digits[value & 0xFU]);
    }
    return result;
}

} // namespace siskinwharf
