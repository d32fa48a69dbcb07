#include "coordination/admission/RunTimes.h"

#include <algorithm>

namespace lavenderthread::coordination::admission {

void RunTimes::add(state::Duration predicted, state::Duration measured)
{
    if (predicted <= state::Duration(0))
        return;
    this->ratios[this->next] = double(measured.count()) / double(predicted.count());
    this->next = (this->next + 1) % kept;
    this->count = std::min(this->count + 1, kept);
}

double RunTimes::ratio() const
{
    if (this->count < fewest)
        return leastRatio;
    std::array<double, kept> sorted = this->ratios;
    const auto end = sorted.begin() + std::ptrdiff_t(this->count);
    const auto upperQuartile = sorted.begin() + std::ptrdiff_t(this->count * 3 / 4);
    std::nth_element(sorted.begin(), upperQuartile, end);
    return std::max(*upperQuartile, leastRatio);
}

} // namespace lavenderthread::coordination::admission
