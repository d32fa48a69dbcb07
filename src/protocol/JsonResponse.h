// HTTP responses with a JSON body.
#pragma once

#include "protocol/HttpMessage.h"

#include <boost/json/value.hpp>

#include <string>

namespace lavenderthread::protocol {

HttpResponse jsonResponse(unsigned status, const boost::json::value &body);
// Same, for a body that is already serialized.
HttpResponse jsonTextResponse(unsigned status, std::string text);

} // namespace lavenderthread::protocol
