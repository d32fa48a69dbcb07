// Texts of outsiders, and what an HTTP reader takes them for, for tests of what may be made of
// them.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <iterator>
#include <string>
#include <vector>

namespace lavenderthread::fakes {

// Each byte from 0 to 255 at the start, in the middle and at the end of a short text.
inline std::vector<std::string> textsWithEveryByte()
{
    constexpr int bytes = 256;
    std::vector<std::string> texts;
    for (int byte = 0; byte < bytes; ++byte) {
        const std::string letter(1, static_cast<char>(byte));
        texts.push_back(letter + "ab");
        texts.push_back("a" + letter + "b");
        texts.push_back("ab" + letter);
    }
    return texts;
}

// Whether a reader of a head gets the text as it is, as the value of one field.
inline bool isReadWhole(const std::string &text)
{
    const std::string head = "GET / HTTP/1.1\r\nName: " + text + "\r\n\r\n";
    boost::beast::http::request_parser<boost::beast::http::empty_body> parser;
    boost::beast::error_code problem;
    const std::size_t used = parser.put(boost::asio::buffer(head), problem);
    const auto &fields = parser.get().base();
    return !problem && used == head.size() && parser.is_done()
           && std::distance(fields.begin(), fields.end()) == 1 && fields["Name"] == text;
}

} // namespace lavenderthread::fakes
