// How an answer's body is delimited and how the reading of it ended.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace lavenderthread::transport {

enum class AnswerFraming : std::uint8_t {
    None, // no answer yet
    Length,
    Chunks,
    Connection, // neither: the body ends with the connection
    NoBody,     // by its status, or to a HEAD request
};

enum class AnswerEnd : std::uint8_t {
    Open,     // not read to an end
    Framed,   // by its length or its last chunk
    Closed,   // the peer closed the connection in order
    Repeated, // the peer began to answer the same request again
    Broken, // in another way: also a timeout, bytes that are no answer, another answer in the body
};

// Of one answer, as far as it was read.
struct AnswerReport
{
    AnswerFraming framing = AnswerFraming::None;
    std::optional<std::uint64_t> declaredBytes; // by Content-Length
    std::uint64_t bodyBytes = 0;
    AnswerEnd end = AnswerEnd::Open;
    bool requestSent = false; // all of it, by the time of the report
    bool nextAnswer = false;  // the head of another answer stands in the body

    auto operator<=>(const AnswerReport &) const = default;
};

std::string_view toString(AnswerFraming framing);
std::string_view toString(AnswerEnd end);

} // namespace lavenderthread::transport
