// Event ids are sealed cereal messages encoded as hex.
#include "protocol/EventId.h"

#include "protocol/Envelope.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace lavenderthread::protocol {

namespace {

constexpr std::string_view eventIdContext = "event-id";
constexpr std::size_t maxEventIdDigits = 2'048; // hex digits; a valid one has a few hundred

} // namespace

std::string sealEventId(const SealKeys &keys, const EventId &id)
{
    const std::string sealed = seal(keys, eventIdContext, encode(id));
    std::string text;
    text.reserve(sealed.size() * 2);
    boost::algorithm::hex_lower(sealed, std::back_inserter(text));
    return text;
}

state::Result<EventId> unsealEventId(const SealKeys &keys, std::string_view text)
{
    const auto fail = [] {
        return state::makeError(state::ErrorCode::InvalidArgument, "event-id.open", "not hex");
    };
    if (text.size() > maxEventIdDigits || text.size() % 2 != 0
        || text.find_first_not_of("0123456789abcdefABCDEF") != std::string_view::npos)
        return fail();
    std::string sealed;
    boost::algorithm::unhex(text, std::back_inserter(sealed));
    BOOST_OUTCOME_TRY(const std::string bytes, unseal(keys, eventIdContext, sealed));
    return decode<EventId>(bytes);
}

} // namespace lavenderthread::protocol
