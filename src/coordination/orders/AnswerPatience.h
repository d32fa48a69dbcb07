// How long to wait for an answer that usually comes soon, before another member is asked.
#pragma once

#include "state/Time.h"

#include <algorithm>

namespace lavenderthread::coordination::orders {

// Follows the times that earlier answers took: members that are busy get more time, and one that is
// silent among prompt ones is left soon.
class AnswerPatience
{
public:
    void onAnswer(state::Duration took)
    {
        const auto decayed = std::chrono::duration_cast<state::Duration>(this->longest * decay);
        this->longest = std::max(took, decayed);
    }
    state::Duration timeout() const
    {
        return std::clamp(this->longest * factor, shortest, longestTimeout);
    }

    static constexpr state::Duration shortest = std::chrono::milliseconds(300);
    static constexpr state::Duration longestTimeout = std::chrono::milliseconds(1'500);

private:
    static constexpr int factor = 4;
    static constexpr double decay = 0.9; // for each answer

    state::Duration longest = std::chrono::milliseconds(200); // recently
};

} // namespace lavenderthread::coordination::orders
