// The digests of requests that were answered whole a moment ago. Many callers send these, so that
// one is under way at most crashes, and none of them is evidence against it.
#pragma once

#include "state/Ids.h"
#include "state/RequestPart.h"
#include "state/Time.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace lavenderthread::coordination::quarantine {

class RecentAnswers
{
public:
    struct Settings
    {
        state::Duration lifetime = std::chrono::seconds(2);
        std::size_t maximumDigests = 4'096; // more are not recorded
    };

    explicit RecentAnswers(Settings chosen)
        : settings(chosen)
    {}
    RecentAnswers()
        : RecentAnswers(Settings{})
    {}

    void record(const state::ServiceName &service, const std::vector<state::RequestPart> &parts,
                state::Instant now);
    // The parts without digests that were answered.
    std::vector<state::RequestPart> withoutAnswered(const state::ServiceName &service,
                                                    std::vector<state::RequestPart> parts,
                                                    state::Instant now) const;
    std::size_t size() const { return this->answeredAt.size(); }

private:
    using Key = std::pair<state::RequestPart, state::ServiceName>;

    void forgetOld(state::Instant now);

    Settings settings;
    std::map<Key, state::Instant> answeredAt; // `maximumDigests` at most
    state::Instant forgottenAt;
};

} // namespace lavenderthread::coordination::quarantine
