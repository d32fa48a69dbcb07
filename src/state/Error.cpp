// Names of error codes and the text form of errors.
#include "state/Error.h"

#include <utility>

namespace lavenderthread::state {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "InvalidArgument";
    case ErrorCode::NotFound:
        return "NotFound";
    case ErrorCode::AlreadyExists:
        return "AlreadyExists";
    case ErrorCode::Conflict:
        return "Conflict";
    case ErrorCode::NotLeader:
        return "NotLeader";
    case ErrorCode::Unavailable:
        return "Unavailable";
    case ErrorCode::Timeout:
        return "Timeout";
    case ErrorCode::Overloaded:
        return "Overloaded";
    case ErrorCode::Corrupt:
        return "Corrupt";
    case ErrorCode::StorageFailed:
        return "StorageFailed";
    case ErrorCode::Unauthorized:
        return "Unauthorized";
    case ErrorCode::Unsupported:
        return "Unsupported";
    case ErrorCode::Cancelled:
        return "Cancelled";
    case ErrorCode::Internal:
        return "Internal";
    }
    return "Internal";
}

std::string Error::describe() const
{
    std::string text = "code=" + std::string(toString(this->code)) + " step=" + this->step;
    if (!this->peer.empty())
        text += " peer=" + this->peer;
    return text + " cause=\"" + this->cause + "\"";
}

Error Error::withStep(std::string newStep) const
{
    Error copy = *this;
    copy.step = std::move(newStep);
    return copy;
}

Error Error::withPeer(std::string newPeer) const
{
    Error copy = *this;
    copy.peer = std::move(newPeer);
    return copy;
}

Error makeError(ErrorCode code, std::string step, std::string cause, std::string peer)
{
    return Error{code, std::move(step), std::move(peer), std::move(cause)};
}

} // namespace lavenderthread::state
