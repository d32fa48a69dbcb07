#include "program/RequestParts.h"

#include <xxhash.h>

#include <string>

namespace lavenderthread::program {

using state::RequestPart;
using state::wholeRequestBit;

namespace {

// Equal bytes in different places have different digests.
constexpr XXH64_hash_t targetSeed = 1;
constexpr XXH64_hash_t bodySeed = 2;
constexpr XXH64_hash_t wholeSeed = 3;

} // namespace

std::vector<RequestPart> partsOf(const protocol::HttpRequest &request, std::string_view host,
                                 const std::vector<RequestPart> &promptParts)
{
    std::string target = request.method;
    target.append(" ").append(host).append(" ").append(request.target);
    std::vector<RequestPart> parts;
    parts.push_back(XXH3_64bits_withSeed(target.data(), target.size(), targetSeed)
                    & ~wholeRequestBit);
    if (!request.body.empty())
        parts.push_back(XXH3_64bits_withSeed(request.body.data(), request.body.size(), bodySeed)
                        & ~wholeRequestBit);
    for (const RequestPart part : promptParts)
        parts.push_back(part & ~wholeRequestBit);
    const std::size_t bytes = parts.size() * sizeof(RequestPart);
    const RequestPart whole = XXH3_64bits_withSeed(parts.data(), bytes, wholeSeed);
    parts.insert(parts.begin(), whole | wholeRequestBit);
    return parts;
}

} // namespace lavenderthread::program
