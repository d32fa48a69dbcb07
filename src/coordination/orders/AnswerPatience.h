// How long to wait for an answer that usually comes soon, before another member is asked.
#pragma once

#include "state/Time.h"

#include <algorithm>

namespace lavenderthread::coordination::orders {

// Follows the times that earlier answers took: members that are busy get more time, and one that is
// silent among prompt ones is left soon. If several in a row are silent, they are more likely to be
// busy than gone, and asking others sooner would only add to their load.
class AnswerPatience
{
public:
    void onAnswer(state::Duration took)
    {
        const auto decayed = std::chrono::duration_cast<state::Duration>(this->longest * decay);
        this->longest = std::max(took, decayed);
        this->timeoutsInARow = 0;
    }
    void onTimeout() { ++this->timeoutsInARow; }
    state::Duration timeout() const
    {
        const int doublings = std::clamp(this->timeoutsInARow - expectedTimeouts, 0, mostDoublings);
        const state::Duration usual = std::max(this->longest * factor, shortest);
        return std::min(usual * (1 << doublings), longestTimeout);
    }

    static constexpr state::Duration shortest = std::chrono::milliseconds(300);
    static constexpr state::Duration longestTimeout = std::chrono::milliseconds(1'500);

private:
    static constexpr int factor = 4;
    static constexpr double decay = 0.95;      // for each answer
    static constexpr int expectedTimeouts = 2; // two members that are lost at once
    static constexpr int mostDoublings = 3;

    state::Duration longest = shortest / factor; // recently
    int timeoutsInARow = 0;
};

} // namespace lavenderthread::coordination::orders
