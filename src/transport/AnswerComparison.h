// Compares an answer with the next one to the same request on its connection. An answer without a
// length that broke off can be told from a whole one by this alone: the next one goes on behind it,
// or reports a failure.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <xxhash.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace lavenderthread::transport {

class AnswerComparison
{
public:
    explicit AnswerComparison(unsigned firstStatus);

    void addFirst(std::string_view body);
    // The next answer, from its head on. Not followed by addFirst().
    void addNext(std::string_view bytes);

    // More bytes of the next answer don't change the result.
    bool isDecided() const;
    // The next answer begins with the first one's body and goes on, or is a failure to a success.
    bool firstBrokeOff() const;

private:
    struct FreeHash
    {
        void operator()(XXH3_state_t *hash) const { XXH3_freeState(hash); }
    };
    using Hash = std::unique_ptr<XXH3_state_t, FreeHash>; // never null

    static Hash makeHash();
    void addNextBody(std::string_view body);
    bool nextFailed() const;

    unsigned firstStatus;
    Hash firstHash;
    std::uint64_t firstBytes = 0;
    Hash nextHash; // of as many bytes as the first body has
    std::uint64_t nextBytes = 0;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> parser; // of the next one
    std::array<char, 4'096> piece{};
    std::string unparsed;    // bytes of the next answer
    bool unreadable = false; // the next answer is none in the protocol
};

} // namespace lavenderthread::transport
