// What the callers of a load run send: completions by prompt length, and non-idempotent postings.
#pragma once

#include "program/Caller.h"
#include "state/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lavenderthread::system_test {

struct PlannedCall
{
    enum class Kind { Completion, Posting };
    Kind kind = Kind::Completion;
    std::uint32_t promptTokens = 0;
    std::string key;          // of a posting
    std::uint32_t number = 0; // makes every prompt a different one
};

// "1000:60,100000:4" is sixty prompts of a thousand tokens and four of a hundred thousand. The
// calls come out evenly mixed. Error: InvalidArgument.
state::Result<std::vector<PlannedCall>> planCalls(const std::string &mix, std::uint32_t postings);

std::string promptFor(const PlannedCall &call);

// One finished call with the verdict on its content.
struct CheckedCall
{
    PlannedCall plan;
    program::CallResult result;
    bool contentRight = false; // the whole text is exactly what the engine must say
};

// The table for people, one line a prompt length; and the same as JSON.
std::string tableOf(const std::vector<CheckedCall> &calls);
std::string jsonOf(const std::vector<CheckedCall> &calls);

} // namespace lavenderthread::system_test
