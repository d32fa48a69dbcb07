// Memory is what the allocator counts as handed out (mallinfo2), before and after building the
// part.
#include "storage/Parts.h"
#include "storage/Workload.h"

#include <malloc.h>

#include <vector>

namespace lavenderthread::bench {

namespace {

using state::control::ControlState;

double allocatedBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

void measureSnapshot(const std::string &name, const ControlState &state, double records,
                     Figures &figures)
{
    auto start = std::chrono::steady_clock::now();
    state::control::ControlImage image = state.copyImage();
    figures.add(name + "snapshot, pause of the state", secondsSince(start) * 1e3, "ms");
    start = std::chrono::steady_clock::now();
    const std::string bytes = protocol::encodeControlImage(std::move(image));
    figures.add(name + "snapshot, to encode on another thread", secondsSince(start) * 1e3, "ms");
    figures.add(name + "snapshot, bytes a record", static_cast<double>(bytes.size()) / records,
                "B");
    start = std::chrono::steady_clock::now();
    const bool same = protocol::decodeControlState(bytes).has_value();
    figures.add(name + "snapshot, to decode", secondsSince(start) * 1e3, same ? "ms" : "ms FAILED");
}

// Keys in an order that no cache foresees.
void measureLookup(const std::string &name, const ControlState &state, std::size_t rows,
                   Figures &figures)
{
    std::vector<state::TableKey> keys;
    constexpr std::size_t stride = 7'919;
    for (std::size_t number = 0; number < rows; ++number)
        keys.push_back({accountOf(number * stride % rows), state::WorkClass("review")});
    const auto start = std::chrono::steady_clock::now();
    std::uint64_t sum = 0;
    constexpr std::size_t rounds = 10;
    for (std::size_t round = 0; round < rounds; ++round) {
        for (const state::TableKey &key : keys)
            sum += state.view().table.find(key)->row.weight;
    }
    const double each = secondsSince(start) / static_cast<double>(rows * rounds);
    figures.add(name + "to look up a row", each * 1e9, sum > 0 ? "ns" : "ns FAILED");
}

// One row an account, as many accounts as rows; history, feed and remembered requests are bounded
// and measured with them.
void measureRows(std::size_t rows, Figures &figures)
{
    const std::string name = std::to_string(rows) + " rows: ";
    const double before = allocatedBytes();
    state::control::ControlLimits limits;
    limits.changesRemembered = 0;
    limits.requestsRemembered = 0;
    limits.feedChanges = 0;
    ControlState state(limits);
    Operator editor(state);
    std::uint64_t index = 0;
    for (std::size_t row = 0; row < rows; ++row)
        state.apply({1, ++index}, editor.addAccount(row));
    const double accounts = allocatedBytes();
    auto start = std::chrono::steady_clock::now();
    for (std::size_t row = 0; row < rows; ++row)
        state.apply({1, ++index}, editor.edit(row, "review"));
    const auto count = static_cast<double>(rows);
    figures.add(name + "to build and apply one edit", secondsSince(start) / count * 1e6, "us");
    figures.add(name + "memory per 1000 accounts", (accounts - before) / count, "kB");
    figures.add(name + "memory per 1000 rows", (allocatedBytes() - accounts) / count, "kB");
    measureLookup(name, state, rows, figures);
    std::size_t feedBytes = 0;
    for (const auto &page : state.changesSince(999'999'999))
        feedBytes += protocol::encodeFeedPage(page).size();
    figures.add(name + "whole view to a new entry", static_cast<double>(feedBytes) / 1e3, "kB");
    measureSnapshot(name, state, count, figures);
}

// Taken, dispatched and finished with a short answer.
void measureClaims(std::size_t claims, Figures &figures)
{
    const std::string name = std::to_string(claims) + " claims: ";
    const double before = allocatedBytes();
    state::control::ControlLimits limits;
    limits.claims.bytes = 1U << 30U; // the slope is wanted also beyond the bound
    ControlState state(limits);
    std::uint64_t index = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < claims; ++number) {
        state.apply({1, ++index}, takeOf(number));
        state.apply({1, ++index}, state::control::DispatchClaim{claimOf(number), holderOf(number)});
        state.apply({1, ++index}, finishOf(number));
    }
    const auto count = static_cast<double>(claims);
    figures.add(name + "to build and apply its three commands", secondsSince(start) / count * 1e6,
                "us");
    figures.add(name + "memory per 100000 claims", (allocatedBytes() - before) / count / 10, "MB");
    figures.add(name + "as the ledger counts it",
                static_cast<double>(state.claims().bytes()) / count / 10, "MB");
    measureSnapshot(name, state, count, figures);
}

void measureBound(Figures &figures)
{
    ControlState state;
    std::uint64_t index = 0;
    for (std::size_t number = 0; number < state::control::ClaimLimits().claims; ++number) {
        state.apply({1, ++index}, takeOf(number));
        state.apply({1, ++index}, state::control::DispatchClaim{claimOf(number), holderOf(number)});
        state.apply({1, ++index}, finishOf(number));
    }
    figures.add("claims that the bounds let in", static_cast<double>(state.claims().size()),
                "claims");
}

void measureFixedParts(Figures &figures)
{
    ControlState state;
    Operator editor(state);
    std::uint64_t index = 0;
    state.apply({1, ++index}, editor.addAccount(1));
    const double before = allocatedBytes();
    constexpr std::size_t edits = 10'000;
    for (std::size_t number = 0; number < edits; ++number)
        state.apply({1, ++index}, editor.edit(1, "review"));
    figures.add("history, requests and feed of 10000 changes", (allocatedBytes() - before) / 1e6,
                "MB");
    const auto pages = state.changesSince(index - 1);
    figures.add("one row's change to an entry",
                static_cast<double>(protocol::encodeFeedPage(pages.at(0)).size()), "B");
}

} // namespace

void measureState(Figures &figures)
{
    for (const std::size_t rows : {1'000U, 11'000U, 33'000U})
        measureRows(rows, figures);
    for (const std::size_t claims : {10'000U, 100'000U, 300'000U})
        measureClaims(claims, figures);
    measureBound(figures);
    measureFixedParts(figures);
}

} // namespace lavenderthread::bench
