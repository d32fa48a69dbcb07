// Sets the status, the content type and the body.
#include "protocol/JsonResponse.h"

#include <boost/json/serialize.hpp>

namespace lavenderthread::protocol {

HttpResponse jsonResponse(unsigned status, const boost::json::value &body)
{
    return jsonTextResponse(status, boost::json::serialize(body));
}

HttpResponse jsonTextResponse(unsigned status, std::string text)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(text);
    return response;
}

} // namespace lavenderthread::protocol
