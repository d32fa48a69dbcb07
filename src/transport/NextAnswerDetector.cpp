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

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

constexpr std::size_t longestStatusLine = 1'024; // bytes

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

} // namespace

NextAnswerDetector::NextAnswerDetector(ClassifyHead classify)
    : classify(std::move(classify))
{}

// `blankLine`: position of the first one in `kept` from `at` on.
NextAnswerDetector::Match NextAnswerDetector::matchHead(std::size_t at, std::size_t blankLine)
{
    const std::string_view text = std::string_view(this->kept).substr(at);
    if (!mayBeginStatusLine(text))
        return Match::None;
    if (std::min(blankLine, this->kept.size()) - at > maximumHeadBytes)
        return Match::None;
    if (blankLine == std::string::npos)
        return Match::Partial;
    const auto headers = parseHead(text.substr(0, blankLine - at + headEnd.size()));
    if (headers)
        this->foundHead = this->classify(*headers);
    return this->foundHead == HeadInBody::Quoted ? Match::None : Match::Head;
}

std::string NextAnswerDetector::takeFront(std::size_t bytes)
{
    std::string front = this->kept.substr(0, bytes);
    this->kept.erase(0, bytes);
    return front;
}

std::string NextAnswerDetector::append(std::string_view bytes)
{
    if (this->foundHead != HeadInBody::Quoted)
        return {};
    this->kept += bytes;
    std::size_t blankLine = this->kept.find(headEnd);
    for (std::size_t at = this->kept.find('H'); at != std::string::npos;
         at = this->kept.find('H', at + 1)) {
        if (blankLine < at)
            blankLine = this->kept.find(headEnd, at);
        if (this->matchHead(at, blankLine) != Match::None)
            return this->takeFront(at);
    }
    return std::exchange(this->kept, {});
}

std::string NextAnswerDetector::finish()
{
    if (this->foundHead != HeadInBody::Quoted)
        return {};
    // A status line, and nothing behind it that can't stand in a head: the peer has been cut off
    // inside the head of another answer.
    const std::size_t lines = this->kept.rfind(lineEnd);
    const auto headers = lines == std::string::npos
                                 ? std::nullopt
                                 : parseHead(this->kept.substr(0, lines).append(headEnd));
    if (!headers)
        return std::exchange(this->kept, {});
    this->foundHead = this->classify(*headers);
    if (this->foundHead == HeadInBody::Quoted)
        this->foundHead = HeadInBody::OtherAnswer;
    return {};
}

} // namespace lavenderthread::transport
