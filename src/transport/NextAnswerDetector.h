// Finds the head of another answer in a body that has neither a length nor chunks. A faulty peer
// may answer twice before it closes the connection, and the second answer would count as part of
// the body.
#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace lavenderthread::transport {

// What the headers of a head in a body tell.
enum class HeadInBody : std::uint8_t {
    Quoted,      // no head of the peer's own: it belongs to the body
    SameRequest, // the peer answers the same request again, so the first answer has ended
    OtherAnswer, // an answer of the peer, or a body that quotes one
};
using ClassifyHead = std::function<HeadInBody(const protocol::HttpHeaders &)>;

class NextAnswerDetector
{
public:
    // Longer heads are taken for a part of the body.
    static constexpr std::size_t maximumHeadBytes = 16U << 10U;

    explicit NextAnswerDetector(ClassifyHead classify);

    // Adds bytes of the body and returns those that belong to it. The rest is kept until it is
    // known whether another head begins there. Nothing more is returned once one was found.
    std::string append(std::string_view bytes);
    // The body has ended: returns what was kept, unless that is the beginning of another head.
    std::string finish();
    // Quoted until a head was found.
    HeadInBody found() const { return this->foundHead; }

private:
    enum class Match { None, Partial, Head };

    Match matchHead(std::size_t at, std::size_t blankLine);
    std::string takeFront(std::size_t bytes);

    ClassifyHead classify;
    std::string kept; // may begin a head
    HeadInBody foundHead = HeadInBody::Quoted;
};

} // namespace lavenderthread::transport
