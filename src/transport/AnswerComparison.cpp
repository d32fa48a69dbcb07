#include "transport/AnswerComparison.h"

#include "protocol/HttpMessage.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <limits>

namespace lavenderthread::transport {

namespace http = boost::beast::http;

AnswerComparison::AnswerComparison(unsigned firstStatus)
    : firstStatus(firstStatus)
    , firstHash(makeHash())
    , nextHash(makeHash())
{
    this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    this->parser.eager(true);
}

AnswerComparison::Hash AnswerComparison::makeHash()
{
    Hash hash(XXH3_createState());
    XXH3_64bits_reset(hash.get());
    return hash;
}

void AnswerComparison::addFirst(std::string_view body)
{
    XXH3_64bits_update(this->firstHash.get(), body.data(), body.size());
    this->firstBytes += body.size();
}

void AnswerComparison::addNext(std::string_view bytes)
{
    this->unparsed += bytes;
    while (!this->unparsed.empty() && !this->isDecided()) {
        auto &body = this->parser.get().body();
        body.data = this->piece.data();
        body.size = this->piece.size();
        boost::beast::error_code problem;
        const std::size_t used = this->parser.put(boost::asio::buffer(this->unparsed), problem);
        this->unparsed.erase(0, used);
        this->addNextBody({this->piece.data(), this->piece.size() - body.size});
        if (problem == http::error::need_buffer)
            problem = {};
        this->unreadable = problem && problem != http::error::need_more;
        if (problem || used == 0)
            break;
    }
}

void AnswerComparison::addNextBody(std::string_view body)
{
    if (this->nextBytes < this->firstBytes) {
        const std::uint64_t compared =
                std::min<std::uint64_t>(body.size(), this->firstBytes - this->nextBytes);
        XXH3_64bits_update(this->nextHash.get(), body.data(), compared);
    }
    this->nextBytes += body.size();
}

bool AnswerComparison::isDecided() const
{
    return this->unreadable || this->nextBytes > this->firstBytes || this->parser.is_done()
           || this->nextFailed();
}

bool AnswerComparison::nextFailed() const
{
    return this->parser.is_header_done() && protocol::isSuccess(this->firstStatus)
           && !protocol::isSuccess(this->parser.get().result_int());
}

bool AnswerComparison::firstBrokeOff() const
{
    if (this->nextFailed())
        return true;
    return this->nextBytes > this->firstBytes
           && XXH3_64bits_digest(this->firstHash.get()) == XXH3_64bits_digest(this->nextHash.get());
}

} // namespace lavenderthread::transport
