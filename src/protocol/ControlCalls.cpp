// Calls and replies are sealed with different contexts, so that neither is accepted as the other.
#include "protocol/ControlCalls.h"

#include "protocol/Envelope.h"

namespace lavenderthread::protocol {

namespace {

constexpr std::string_view callContext = "control-call";
constexpr std::string_view replyContext = "control-reply";

} // namespace

std::string sealControlCall(const SealKeys &keys, const ControlCall &call)
{
    return seal(keys, callContext, encode(call));
}

state::Result<ControlCall> unsealControlCall(const SealKeys &keys, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(const std::string opened, unseal(keys, callContext, bytes));
    return decode<ControlCall>(opened);
}

std::string sealControlReply(const SealKeys &keys, const ControlReply &reply)
{
    return seal(keys, replyContext, encode(reply));
}

state::Result<ControlReply> unsealControlReply(const SealKeys &keys, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(const std::string opened, unseal(keys, replyContext, bytes));
    return decode<ControlReply>(opened);
}

} // namespace lavenderthread::protocol
