// A Dispatcher with a few engines, and helpers to feed it events and inspect its actions.
#pragma once

#include "coordination/admission/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace lavenderthread::coordination::admission {

class DispatcherFixture
{
public:
    explicit DispatcherFixture(std::size_t engines, const routing::PolicySettings &policy = {})
    {
        DispatcherHooks hooks;
        hooks.fleet.transferTime = [](const state::FailureDomain &) {
            return state::Duration(500);
        };
        this->dispatcher = std::make_unique<Dispatcher>(state::VmId("entry"), policy, hooks, 1);
        for (std::size_t index = 0; index < engines; ++index)
            this->handle(EngineAnnounced{engine(index)});
    }

    static state::EndpointDescription engine(std::size_t index, std::uint64_t incarnation = 1)
    {
        state::EndpointDescription description;
        description.id = state::EndpointId("engine-" + std::to_string(index));
        description.failureDomain = state::FailureDomain("domain-" + std::to_string(index % 3));
        description.models = {state::ModelName("model")};
        description.incarnation = incarnation;
        description.kvCapacityTokens = 400'000;
        description.prefillTokensPerSecond = 20'000;
        description.decodeTokensPerSecond = 60;
        return description;
    }

    CompletionRequest request(const std::string &id, std::uint32_t tokens) const
    {
        CompletionRequest result;
        result.id = state::RequestId(id);
        result.account = state::ClientAccountId("account");
        result.workClass = state::WorkClass("narrative");
        result.model = state::ModelName("model");
        result.promptTokens = tokens;
        result.maximumOutputTokens = 200;
        result.arrival = this->now;
        result.deadline = this->now + std::chrono::minutes(10);
        return result;
    }

    std::vector<Action> handle(const Event &event)
    {
        this->lastActions = this->dispatcher->handle(event, this->now);
        return this->lastActions;
    }

    // The actions of one type that the last event caused.
    template <typename Kind>
    std::vector<Kind> actionsOf() const
    {
        std::vector<Kind> found;
        for (const Action &action : this->lastActions) {
            if (const auto *each = std::get_if<Kind>(&action))
                found.push_back(*each);
        }
        return found;
    }

    // Asserts that the last event caused exactly one action of that type.
    template <typename Kind>
    Kind onlyAction() const
    {
        const std::vector<Kind> found = this->actionsOf<Kind>();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), found.size());
        return found.front();
    }

    state::FailureDomain failureDomainOf(const state::EndpointId &id) const
    {
        return this->dispatcher->fleet().find(id)->description().failureDomain;
    }

    std::unique_ptr<Dispatcher> dispatcher;
    state::Instant now{std::chrono::seconds(1'000)};
    std::vector<Action> lastActions;
};

} // namespace lavenderthread::coordination::admission
