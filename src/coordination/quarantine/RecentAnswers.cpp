#include "coordination/quarantine/RecentAnswers.h"

namespace lavenderthread::coordination::quarantine {

using state::RequestPart;

void RecentAnswers::record(const state::ServiceName &service, const std::vector<RequestPart> &parts,
                           state::Instant now)
{
    if (now - this->forgottenAt >= this->settings.lifetime)
        this->forgetOld(now);
    for (const RequestPart part : parts) {
        const Key key{part, service};
        const bool fits = this->answeredAt.size() < this->settings.maximumDigests
                          || this->answeredAt.contains(key);
        if (state::isDigest(part) && fits)
            this->answeredAt[key] = now;
    }
}

std::vector<RequestPart> RecentAnswers::withoutAnswered(const state::ServiceName &service,
                                                        std::vector<RequestPart> parts,
                                                        state::Instant now) const
{
    std::erase_if(parts, [&](RequestPart part) {
        const auto known = this->answeredAt.find({part, service});
        return known != this->answeredAt.end() && now - known->second < this->settings.lifetime;
    });
    return parts;
}

void RecentAnswers::forgetOld(state::Instant now)
{
    this->forgottenAt = now;
    std::erase_if(this->answeredAt,
                  [&](const auto &each) { return now - each.second >= this->settings.lifetime; });
}

} // namespace lavenderthread::coordination::quarantine
