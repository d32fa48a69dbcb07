#include "transport/NextAnswerDetector.h"

#include "transport/BeastConversion.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace lavenderthread::transport {

namespace http = boost::beast::http;

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
// '#' stands for a digit; a reason phrase follows, which may be empty.
constexpr std::string_view statusLinePattern = "HTTP/1.# ### ";
constexpr std::size_t longestStatusLine = 1'024; // bytes

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

// Whether the text may begin with a status line, as far as it goes.
bool mayBeginStatusLine(std::string_view text)
{
    const std::size_t compared = std::min(text.size(), statusLinePattern.size());
    for (std::size_t index = 0; index < compared; ++index) {
        const char wanted = statusLinePattern[index];
        if (wanted == '#' ? !isDigit(text[index]) : text[index] != wanted)
            return false;
    }
    const std::size_t end = text.substr(0, longestStatusLine).find('\n');
    if (end == std::string_view::npos)
        return text.size() < longestStatusLine;
    return text[end - 1] == '\r';
}

// The headers of a whole head; nothing if the text doesn't begin with one.
std::optional<protocol::HttpHeaders> parseHead(std::string_view text)
{
    http::response_parser<http::empty_body> parser;
    parser.header_limit(std::uint32_t(NextAnswerDetector::maximumHeadBytes));
    parser.skip(true); // the body is not looked at
    boost::beast::error_code problem;
    parser.put(boost::asio::buffer(text.data(), text.size()), problem);
    if (!parser.is_header_done())
        return std::nullopt;
    return toHeaders(parser.get());
}

bool mayBeginHeaderLine(std::string_view text)
{
    const std::string_view name = text.substr(0, text.find(':'));
    return std::ranges::none_of(name, [](char each) { return each == ' ' || each == '\n'; });
}

// The headers that are there of a head that may go on behind the text; nothing if it is none.
std::optional<protocol::HttpHeaders> parsePartialHead(std::string_view text)
{
    const std::size_t lines = text.rfind(lineEnd);
    if (lines == std::string_view::npos || text.size() > NextAnswerDetector::maximumHeadBytes
        || !mayBeginHeaderLine(text.substr(lines + lineEnd.size())))
        return std::nullopt;
    return parseHead(std::string(text.substr(0, lines)).append(headEnd));
}

} // namespace

NextAnswerDetector::NextAnswerDetector(ClassifyHead classify)
    : classify(std::move(classify))
{}

NextAnswerDetector::Match NextAnswerDetector::matchAt(std::size_t at, std::size_t blankLine)
{
    const std::string_view text = std::string_view(this->kept).substr(at);
    if (!mayBeginStatusLine(text))
        return Match::None;
    if (blankLine == std::string::npos) {
        const bool onlyStatusLine = text.find(lineEnd) == std::string_view::npos;
        return onlyStatusLine || parsePartialHead(text) ? Match::Answer : Match::None;
    }
    if (blankLine - at > maximumHeadBytes)
        return Match::None;
    const auto headers = parseHead(text.substr(0, blankLine - at + headEnd.size()));
    if (!headers)
        return Match::None;
    this->nextAnswer = this->classify(*headers);
    return this->nextAnswer ? Match::Answer : Match::QuotedHead;
}

std::string NextAnswerDetector::takeFront(std::size_t bytes)
{
    std::string front = this->kept.substr(0, bytes);
    this->kept.erase(0, bytes);
    return front;
}

std::string NextAnswerDetector::append(std::string_view bytes)
{
    if (this->nextAnswer)
        return {};
    this->kept += bytes;
    std::size_t blankLine = this->kept.find(headEnd);
    std::size_t at = this->kept.find('H');
    while (at != std::string::npos) {
        if (blankLine < at)
            blankLine = this->kept.find(headEnd, at);
        const Match match = this->matchAt(at, blankLine);
        if (match == Match::Answer)
            return this->takeFront(at);
        // A head within a quoted one would have the same headers.
        at = this->kept.find('H', (match == Match::QuotedHead ? blankLine : at) + 1);
    }
    return std::exchange(this->kept, {});
}

std::string NextAnswerDetector::finish()
{
    if (this->nextAnswer)
        return {};
    // The peer may have been cut off inside the head of another answer.
    const auto headers = parsePartialHead(this->kept);
    if (!headers)
        return std::exchange(this->kept, {});
    this->nextAnswer = this->classify(*headers).value_or(NextAnswer::OtherRequest);
    return {};
}

std::string NextAnswerDetector::finishFramed(std::string_view behind)
{
    if (this->nextAnswer)
        return {};
    std::string rest = this->kept;
    // A next answer that begins right behind the body says nothing about it.
    const bool endsBeforeHead = mayBeginStatusLine(behind);
    const std::size_t headAt = endsBeforeHead ? rest.size() : this->append(behind).size();
    this->kept.clear();
    if (headAt < rest.size() && this->nextAnswer)
        return {};
    this->nextAnswer.reset();
    return rest;
}

} // namespace lavenderthread::transport
