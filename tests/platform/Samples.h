// Valid sample documents of the provider's protocols.
#pragma once

#include <string>

namespace lavenderthread::platform {

inline const std::string sampleConfiguration = R"({"Version":7,
 "Routes":[
  {"Name":"narrative","Host":"h.example","PathPrefix":"/n/","Kind":"streaming","TimeoutMs":10000,
   "TargetLatencyMs":300,"Priority":1,"Split":[{"Service":"llm","Weight":90},{"Service":"app","Weight":10}],
   "Attempts":2,"Anonymous":false,"Sticky":true,"Resumable":true,"TargetGapMs":200},
  {"Name":"post","Host":"h.example","PathPrefix":"/p/","Kind":"non_idempotent","TimeoutMs":1000,
   "TargetLatencyMs":100,"Priority":2,"Service":"app","Attempts":1,"Anonymous":false}],
 "Services":[
  {"Name":"llm","HealthPath":"/health","MaxConns":819,"Protocol":"h1","Tls":false,
   "Engine":{"Slots":16,"KvCapacity":450000,"Stride":46,"Models":[{"Name":"m"}],"step_ms":0.925,
    "per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,
    "chunk":2048,"report_lag_ms":200.0,"HopMs":0.1}},
  {"Name":"app","HealthPath":"/health","MaxConns":248,"Protocol":"h1","Tls":false}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
 "Tenants":[{"Name":"acme","ApiKeys":["key-one","key-two"],"Priority":1}]})";

inline const std::string sampleHeartbeat =
        R"({"Service":"llm","Address":"10.128.0.9:8080","Zone":"puget-a","Version":"v1","Slots":16,)"
        R"("State":"ready","ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":1,)"
        R"("Adapters":[]}],"Seq":4,"born":1790000000123})";

} // namespace lavenderthread::platform
