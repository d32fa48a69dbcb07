// The subcommands: each takes its parsed options and returns the exit code of the process.
#pragma once

#include "program/RelayCodec.h"

#include <string>
#include <vector>

namespace lavenderthread::program {

// Exit codes, the same for every subcommand; `--help` lists them.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;      // the operation failed
constexpr int exitUsage = 2;       // invalid command line
constexpr int exitSettings = 3;    // invalid settings file
constexpr int exitAddress = 4;     // an address could not be bound
constexpr int exitNotRun = 5;      // the request certainly did not run
constexpr int exitUnknown = 6;     // it is unknown whether the request ran
constexpr int exitUnreachable = 7; // no entry could be reached

struct CallOptions
{
    std::vector<std::string> entries;
    std::string account;
    std::string key;
    std::string model;
    std::string prompt;
    std::string promptFile;
    std::uint64_t promptTokens = 0; // length of a generated prompt, used without prompt and file
    std::uint32_t maxTokens = 16;
    std::uint32_t deadlineMs = 60'000;
    std::string workClass;
    std::string service; // a plain service call instead of a completion
    std::string method = "GET";
    std::string path = "/";
    std::string body;
    std::string idempotencyKey;
    bool json = false;
};

// Options shared by all operators' commands.
struct OperatorOptions
{
    std::vector<std::string> entries;
    std::string key;
    std::string request; // request id, the same for a resend; generated if empty
};

struct OrderOptions
{
    std::string kind;
    std::vector<std::string> endpoints;
    std::string model;
    std::string role;
    std::uint32_t count = 0;
};

int runTableGet(const OperatorOptions &options, const std::string &format);
int runTableApply(const OperatorOptions &options, const std::string &file, bool dryRun);
int runAccountPut(const OperatorOptions &options, const std::string &id, const std::string &name,
                  const std::string &accountKey);
int runOrder(const OperatorOptions &options, const OrderOptions &order);
int runEnforcement(const OperatorOptions &options, std::uint64_t version);

int runServe(const std::string &settingsFile, const Deployment &deployment);
int runCheckSettings(const std::string &settingsFile, bool reference, bool json);
int runCall(const CallOptions &options);
int runStatus(const std::vector<std::string> &entries, bool json);

} // namespace lavenderthread::program
