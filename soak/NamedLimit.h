// The request limit that a stand-in names, and whether what arrived there kept it.
#pragma once

#include "state/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace lavenderthread::soak {

class NamedLimit
{
public:
    // From then on; nothing: no limit is named.
    void set(std::optional<double> perSecond, state::Instant at);
    std::optional<double> current() const;
    void recordArrival(state::Instant at);

    // The first stretch of four seconds, from some time after the first naming on, in which more
    // arrived than one and a half times the limit and five requests.
    std::optional<std::string> violation() const;

private:
    struct Naming
    {
        state::Instant since;
        std::optional<double> perSecond;
    };

    // Requests that the limits allow between the two; no value where none was named in between.
    std::optional<double> allowedBetween(state::Instant from, state::Instant to) const;

    std::vector<Naming> namings; // in the order of time
    std::vector<state::Instant> arrivals;
};

} // namespace lavenderthread::soak
