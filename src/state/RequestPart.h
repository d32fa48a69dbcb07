// A part of a request that other requests may share: a part of its prompt, such as a document,
// named by its id, or a digest of something that the request asks for.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderthread::state {

using RequestPart = std::uint64_t;

// Set in the digest of a whole request or of a body, and in no other part.
constexpr RequestPart wholeRequestBit = RequestPart(1) << 63U;
constexpr RequestPart bodyBit = RequestPart(1) << 62U;

constexpr bool isWholeRequest(RequestPart part)
{
    return (part & wholeRequestBit) != 0;
}

constexpr bool isBody(RequestPart part)
{
    return (part & bodyBit) != 0;
}

constexpr bool isDigest(RequestPart part)
{
    return isWholeRequest(part) || isBody(part);
}

// Hexadecimal ids, joined by commas.
std::string formatRequestParts(const std::vector<RequestPart> &parts);

} // namespace lavenderthread::state
