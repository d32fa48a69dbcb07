// HTTP handlers of an entry for the control members: sealed calls from entries, and the edits,
// orders and queries of operators.
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

// `account` is null if the bearer key is unknown; `client` is null if there are no control members.
//   GET  /v1/operator/table?format=csv|json
//   POST /v1/operator/table?format=…&request=ID[&dry_run=1], body as exported
//   POST /v1/operator/accounts?request=ID {"id","name","key"}
//   POST /v1/operator/orders?request=ID {"kind","endpoints":[…],"model","role","count"}
//   GET  /v1/operator/enforcement?version=N
boost::asio::awaitable<void> answerOperator(std::shared_ptr<ControlClient> client,
                                            const AccountSetting *account,
                                            transport::HttpExchange &exchange);

} // namespace lavenderthread::program
