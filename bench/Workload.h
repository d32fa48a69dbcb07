// Requests and fleets of the policy bench: what arrives, when, and on what it runs.
#pragma once

#include "EngineModel.h"

#include "state/TableRow.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lavenderthread::bench {

enum class Scenario : std::uint8_t {
    Mix,          // the profile's day: month-end or before the weekend
    Backlog,      // every account asks for more than its share, prompts under 32k, late deadlines
    EngineLost,   // one engine dies in the middle
    ThirdLost,    // a failure domain's engines die in the middle
    PoorReports,  // half of all reports and cache events are lost, the rest is late
    MessagesLost, // one in ten work notes is lost
};

struct LengthBand
{
    double share;
    std::uint32_t from;
    std::uint32_t to;
};

struct Profile
{
    std::string name;
    std::uint32_t engines = 20;
    std::uint32_t entries = 18;
    std::uint32_t failureDomains = 3;
    std::uint32_t accounts = 10;
    std::uint32_t entriesPerAccount = 3;
    state::Duration betweenDomains{500};
    state::Duration withinDomain{100};
    EngineShape shape;
    std::vector<LengthBand> lengths; // log-uniform inside a band
    double surge = 0.15;             // of the mean rate, up and down
};

state::Result<Profile> profileNamed(std::string_view name);
state::Result<Scenario> scenarioNamed(std::string_view name);

struct Arrival
{
    state::Instant at;
    std::uint32_t account = 0;
    std::uint32_t entry = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    std::uint32_t maximumOutputTokens = 0;
    std::vector<std::uint64_t> blocks;
    state::Duration deadline{0};
};

std::vector<state::TableRow> tableOf(const Profile &profile);
std::string accountName(std::uint32_t account);

// Load is offered prefill and decode work over what the fleet does without cache hits; a repeated
// prefix counts as if it were computed again.
std::vector<Arrival> arrivals(const Profile &profile, Scenario scenario, double load,
                              state::Duration length, std::uint64_t seed);

} // namespace lavenderthread::bench
