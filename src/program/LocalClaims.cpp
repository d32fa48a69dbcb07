// Claims in the memory of one process, bounded in number. They are lost with the process.
#include "program/Claims.h"

#include <map>
#include <memory>
#include <mutex>

namespace lavenderthread::program {

namespace asio = boost::asio;

namespace {

constexpr std::size_t claimLimit = 100'000;

class LocalClaims
{
public:
    state::Result<ClaimAnswer> take(const ClaimKey &key, const std::string &body,
                                    const std::string &attempt)
    {
        const std::lock_guard lock(this->mutex);
        const auto known = this->claims.find(key);
        if (known == this->claims.end()) {
            // Refuses the new claim instead of evicting one: evicting could let a call run twice.
            if (this->claims.size() >= claimLimit)
                return state::makeError(state::ErrorCode::Overloaded, "claim.take",
                                        "too many claims are held");
            this->claims[key] = Claim{body, attempt, Phase::Taken, {}};
            return ClaimAnswer{ClaimVerdict::Granted, {}};
        }
        const Claim &claim = known->second;
        if (claim.body != body)
            return ClaimAnswer{ClaimVerdict::Conflict, {}};
        if (claim.phase == Phase::Finished)
            return ClaimAnswer{ClaimVerdict::Finished, claim.result};
        return ClaimAnswer{
                claim.phase == Phase::Taken ? ClaimVerdict::InProgress : ClaimVerdict::Unknown, {}};
    }

    bool beginDispatch(const ClaimKey &key, const std::string &attempt)
    {
        const std::lock_guard lock(this->mutex);
        const auto known = this->claims.find(key);
        if (known == this->claims.end() || known->second.attempt != attempt
            || known->second.phase != Phase::Taken)
            return false;
        known->second.phase = Phase::Dispatched;
        return true;
    }

    bool release(const ClaimKey &key, const std::string &attempt)
    {
        const std::lock_guard lock(this->mutex);
        const auto known = this->claims.find(key);
        if (known == this->claims.end() || known->second.attempt != attempt)
            return false;
        this->claims.erase(known);
        return true;
    }

    void finish(const ClaimKey &key, const std::string &attempt, protocol::HttpResponse result)
    {
        const std::lock_guard lock(this->mutex);
        const auto known = this->claims.find(key);
        if (known == this->claims.end() || known->second.attempt != attempt)
            return;
        known->second.phase = Phase::Finished;
        known->second.result = std::move(result);
    }

private:
    enum class Phase { Taken, Dispatched, Finished };
    struct Claim
    {
        std::string body;
        std::string attempt;
        Phase phase = Phase::Taken;
        protocol::HttpResponse result;
    };

    std::mutex mutex;
    std::map<ClaimKey, Claim> claims;
};

} // namespace

ClaimGate makeLocalClaims()
{
    auto claims = std::make_shared<LocalClaims>();
    ClaimGate gate;
    gate.take = [claims](ClaimKey key, std::string body, std::string attempt,
                         state::Instant) -> asio::awaitable<state::Result<ClaimAnswer>> {
        co_return claims->take(key, body, attempt);
    };
    gate.beginDispatch = [claims](ClaimKey key, std::string attempt,
                                  state::Instant) -> asio::awaitable<bool> {
        co_return claims->beginDispatch(key, attempt);
    };
    gate.release = [claims](ClaimKey key, std::string attempt) -> asio::awaitable<bool> {
        co_return claims->release(key, attempt);
    };
    gate.finish = [claims](ClaimKey key, std::string attempt,
                           protocol::HttpResponse result) -> asio::awaitable<void> {
        claims->finish(key, attempt, std::move(result));
        co_return;
    };
    return gate;
}

} // namespace lavenderthread::program
