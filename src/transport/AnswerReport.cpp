#include "transport/AnswerReport.h"

namespace lavenderthread::transport {

std::string_view toString(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::None:
        return "none";
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::Connection:
        return "connection";
    case AnswerFraming::NoBody:
        return "no-body";
    }
    return "unknown";
}

std::string_view toString(AnswerEnd end)
{
    switch (end) {
    case AnswerEnd::Open:
        return "open";
    case AnswerEnd::Framed:
        return "framed";
    case AnswerEnd::Closed:
        return "closed";
    case AnswerEnd::Repeated:
        return "repeated";
    case AnswerEnd::Broken:
        return "broken";
    }
    return "unknown";
}

} // namespace lavenderthread::transport
