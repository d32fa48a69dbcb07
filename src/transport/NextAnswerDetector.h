// Finds the head of another answer in a body. A faulty peer may answer twice on a connection, also
// before its first answer is whole. The second answer would count as the end of a body with neither
// a length nor chunks, and would stand for the missing bytes of one that has either.
#pragma once

#include "protocol/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lavenderthread::transport {

// Another answer that begins in a body.
enum class NextAnswer : std::uint8_t {
    SameRequest,  // the peer answers the same request again, so the first answer has ended
    OtherRequest, // or the body quotes an answer: nothing tells where it ends
};
// What a head with such headers begins; nothing: it belongs to the body.
using ClassifyHead = std::function<std::optional<NextAnswer>(const protocol::HttpHeaders &headers)>;

class NextAnswerDetector
{
public:
    // Longer heads are taken for a part of the body.
    static constexpr std::size_t maximumHeadBytes = 16U << 10U;

    explicit NextAnswerDetector(ClassifyHead classify);

    // Adds bytes of the body and returns those that belong to it. The rest is kept until it is
    // known whether another head begins there. Nothing more is returned once one was found.
    std::string append(std::string_view bytes);
    // The body has ended with its connection: returns what was kept, unless that is the beginning
    // of another head.
    std::string finish();
    // The body has ended by its framing: returns what was kept, unless that and the bytes behind
    // the body are another head together.
    std::string finishFramed(std::string_view behind);
    std::optional<NextAnswer> found() const { return this->nextAnswer; }
    // What was received from the head of the next answer on.
    std::string takeNextAnswer() { return std::exchange(this->kept, {}); }

private:
    enum class Match { None, QuotedHead, Answer };

    // What the bytes kept from `at` on begin, as far as they go. `blankLine`: the first one in
    // them.
    Match matchAt(std::size_t at, std::size_t blankLine);
    std::string takeFront(std::size_t bytes);

    ClassifyHead classify;
    std::string kept; // may begin a head; begins with it once one was found
    std::optional<NextAnswer> nextAnswer;
};

} // namespace lavenderthread::transport
