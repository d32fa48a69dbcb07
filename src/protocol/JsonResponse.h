// Responses with JSON in their body.
#pragma once

#include "protocol/HttpMessage.h"

#include <boost/json/value.hpp>

#include <string>

namespace lavenderthread::protocol {

HttpResponse jsonResponse(unsigned status, const boost::json::value &body);
// The same of a body that is JSON text already.
HttpResponse jsonTextResponse(unsigned status, std::string text);

} // namespace lavenderthread::protocol
