// Finds the head of another answer in a body that has neither a length nor chunks. A faulty peer
// may answer twice before it closes the connection, and the second answer would count as part of
// the body.
#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace lavenderthread::transport {

// Whether a peer sends answers with such headers. A body may quote other heads.
using IsAnswerHead = std::function<bool(const protocol::HttpHeaders &)>;

class NextAnswerDetector
{
public:
    // Longer heads are taken for a part of the body.
    static constexpr std::size_t maximumHeadBytes = 16U << 10U;

    explicit NextAnswerDetector(IsAnswerHead isAnswerHead);

    // Adds bytes of the body and returns those that belong to it. The rest is kept until it is
    // known whether another head begins there. Nothing more is returned once one was found.
    std::string append(std::string_view bytes);
    // The body has ended: returns what was kept, unless that is the beginning of another head.
    std::string finish();
    bool found() const { return this->isFound; }

private:
    enum class Match { None, Partial, Head };

    Match matchHead(std::string_view text) const;
    std::string takeFront(std::size_t bytes);

    IsAnswerHead isAnswerHead;
    std::string kept; // may begin a head
    bool isFound = false;
};

} // namespace lavenderthread::transport
