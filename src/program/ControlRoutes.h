// HTTP of the control side on an entry: the entries' sealed calls, and the operators' edits, orders
// and questions.
#pragma once

#include "program/ControlClient.h"
#include "program/ControlService.h"
#include "program/Settings.h"
#include "transport/HttpServer.h"

#include <boost/asio/awaitable.hpp>

#include <memory>

namespace lavenderthread::program {

boost::asio::awaitable<void> answerControlCall(ControlService &control,
                                               const protocol::SealKeys &keys,
                                               transport::HttpExchange &exchange);

// `account` is null if the bearer key is not known; `client` if there are no control members.
//   GET  /v1/operator/table?format=csv|json
//   POST /v1/operator/rows   {"request","edits":[{"account","work_class","expected_version",…}]}
//   POST /v1/operator/orders {"request","kind","endpoints":[…],"model","role","count"}
//   GET  /v1/operator/enforcement?version=N
boost::asio::awaitable<void> answerOperator(std::shared_ptr<ControlClient> client,
                                            const AccountSetting *account,
                                            transport::HttpExchange &exchange);

} // namespace lavenderthread::program
