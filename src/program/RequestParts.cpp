#include "program/RequestParts.h"

#include <xxhash.h>

#include <string>

namespace lavenderthread::program {

using state::bodyBit;
using state::RequestPart;
using state::wholeRequestBit;

namespace {

constexpr RequestPart digestBits = wholeRequestBit | bodyBit;

RequestPart digestOf(std::string_view bytes, RequestPart bit)
{
    return (XXH3_64bits(bytes.data(), bytes.size()) & ~digestBits) | bit;
}

} // namespace

std::vector<RequestPart> partsOf(const protocol::HttpRequest &request, std::string_view host,
                                 const std::vector<RequestPart> &promptParts)
{
    std::vector<RequestPart> parts;
    for (const RequestPart part : promptParts)
        parts.push_back(part & ~digestBits);
    const RequestPart body = digestOf(request.body, bodyBit);
    if (parts.empty() && !request.body.empty())
        parts.push_back(body);
    std::string whole = request.method;
    whole.append(" ").append(host).append(" ").append(request.target);
    for (const RequestPart part : parts)
        whole.append(" ").append(std::to_string(part));
    whole.append(" ").append(std::to_string(body));
    parts.insert(parts.begin(), digestOf(whole, wholeRequestBit));
    return parts;
}

} // namespace lavenderthread::program
