// HMAC from OpenSSL. Codes are compared in constant time so that response times don't help to
// forge one.
#include "protocol/Seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace lavenderthread::protocol {

namespace {

constexpr std::size_t sha256Bytes = 32;

std::string authenticator(std::string_view key, std::string_view context, std::string_view bytes)
{
    // The length prefix makes the boundary between the context and the bytes unambiguous.
    std::string input;
    input.reserve(1 + context.size() + bytes.size());
    input.push_back(static_cast<char>(context.size()));
    input.append(context).append(bytes);
    std::array<unsigned char, sha256Bytes> digest{};
    unsigned int digestSize = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(input.data()), input.size(), digest.data(),
         &digestSize);
    return {reinterpret_cast<const char *>(digest.data()), sealBytes};
}

} // namespace

std::string seal(const SealKeys &keys, std::string_view context, std::string_view bytes)
{
    std::string sealed(bytes);
    sealed += authenticator(keys.keys.front(), context, bytes);
    return sealed;
}

state::Result<std::string> unseal(const SealKeys &keys, std::string_view context,
                                  std::string_view sealed)
{
    if (sealed.size() < sealBytes)
        return state::makeError(state::ErrorCode::Unauthorized, "message.unseal", "too short");
    const std::string_view bytes = sealed.substr(0, sealed.size() - sealBytes);
    const std::string_view found = sealed.substr(bytes.size());
    for (const std::string &key : keys.keys) {
        const std::string expected = authenticator(key, context, bytes);
        if (CRYPTO_memcmp(expected.data(), found.data(), sealBytes) == 0)
            return std::string(bytes);
    }
    return state::makeError(state::ErrorCode::Unauthorized, "message.unseal", "no key matches");
}

} // namespace lavenderthread::protocol
