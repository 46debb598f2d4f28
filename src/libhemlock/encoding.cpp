#include "encoding.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <stdexcept>

namespace hemlock {

namespace {

std::string encodeHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 0x0fU];
    }
    return text;
}

const unsigned char *asUnsigned(std::string_view bytes)
{
    return reinterpret_cast<const unsigned char *>(bytes.data());
}

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()), asUnsigned(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(
        reinterpret_cast<unsigned char *>(bytes.data()), asUnsigned(text), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(asUnsigned(bytes), bytes.size(), digest.data());
    return encodeHex(digest.data(), digest.size());
}

std::string hmacSha256Hex(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asUnsigned(bytes), bytes.size(), digest.data(), &size);
    return encodeHex(digest.data(), size);
}

bool equalsConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string makeUniqueId()
{
    std::array<unsigned char, 16> randomBytes{};
    if (RAND_bytes(randomBytes.data(), static_cast<int>(randomBytes.size())) != 1)
        throw std::runtime_error("the system's random generator is not available");
    return encodeHex(randomBytes.data(), randomBytes.size());
}

} // namespace hemlock
