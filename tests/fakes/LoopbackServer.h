// A server of the product's own transport on a free port of loopback, for tests in which it stands
// for an endpoint or carries what is tested.
#pragma once

#include "transport/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace lavenderthread::fakes {

inline std::shared_ptr<transport::HttpServer> serveOnLoopback(boost::asio::io_context &context,
                                                              transport::HttpHandler handler)
{
    transport::HttpServer::Hooks hooks;
    hooks.handle = std::move(handler);
    hooks.reject = [](unsigned status, std::string_view) {
        return protocol::HttpResponse{status, {}, {}};
    };
    auto server =
            transport::HttpServer::create(context, {"127.0.0.1", 0}, {}, std::move(hooks)).value();
    server->start();
    return server;
}

} // namespace lavenderthread::fakes
