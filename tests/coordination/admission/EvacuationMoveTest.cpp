// Tests what becomes of prompts when the failure domain of their engines is evacuated: what waits
// or reserves memory goes elsewhere, what runs goes on.
#include "DispatcherFixture.h"

#include <cppunit/TestFixture.h>

#include <algorithm>
#include <set>

namespace lavenderthread::coordination::admission {

namespace {

constexpr std::uint32_t million = 1'000'000;
constexpr std::size_t domains = 3; // of the fixture's engines, in turn

EnginesEvacuated domainEvacuated(std::size_t domain, std::size_t engines)
{
    EnginesEvacuated event;
    for (std::size_t index = domain; index < engines; index += domains)
        event.engines.push_back(DispatcherFixture::engine(index).id);
    return event;
}

bool isIn(const EnginesEvacuated &event, const state::EndpointId &engine)
{
    return std::ranges::find(event.engines, engine) != event.engines.end();
}

// Grants what the last event reserved, until nothing more is asked for. Returns the reservations.
std::vector<Reserve> grantAll(DispatcherFixture &entry)
{
    std::vector<Reserve> all;
    while (!entry.actionsOf<Reserve>().empty()) {
        const Reserve reserve = entry.onlyAction<Reserve>();
        all.push_back(reserve);
        entry.handle(ReservationAnswered{reserve.id, reserve.engine, reserve.lease, true});
    }
    return all;
}

} // namespace

class EvacuationMoveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationMoveTest);
    CPPUNIT_TEST(reservingPromptMovesWithoutRefusal);
    CPPUNIT_TEST(lateGrantOfEvacuatedEngineIsReleased);
    CPPUNIT_TEST(promptThatReservesElsewhereStays);
    CPPUNIT_TEST(waitingPromptsGoElsewhereAndRunningOnesEnd);
    CPPUNIT_TEST(promptThatWasNotSentUsesUpNoAttempt);
    CPPUNIT_TEST(engineThatRestartsDuringEvacuationGetsNothing);
    CPPUNIT_TEST(waitingPromptSurvivesEvacuationOfAllDomains);
    CPPUNIT_TEST(longPromptUsesWhicheverDomainIsLeft);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a prompt that is refused, or that reserves memory in the evacuated domain
    // again, because its engines are evacuated one after the other or its attempts are used up.
    void reservingPromptMovesWithoutRefusal()
    {
        constexpr std::size_t engines = 16;
        routing::PolicySettings policy;
        policy.attemptsLimit = 1;
        DispatcherFixture entry(engines, policy);
        entry.handle(RequestArrived{entry.request("a", million)});
        const Reserve first = entry.onlyAction<Reserve>();
        entry.handle(ReservationAnswered{first.id, first.engine, first.lease, true});
        const Reserve second = entry.onlyAction<Reserve>();
        const EnginesEvacuated event = domainEvacuated(domainOf(second.engine), engines);
        entry.handle(event);
        CPPUNIT_ASSERT(entry.actionsOf<Refuse>().empty());
        std::set<std::string> released;
        for (const Release &release : entry.actionsOf<Release>())
            released.insert(release.lease);
        CPPUNIT_ASSERT(released.contains(first.lease) && released.contains(second.lease));
        for (const Reserve &reserve : grantAll(entry))
            CPPUNIT_ASSERT(!isIn(event, reserve.engine));
        CPPUNIT_ASSERT(!isIn(event, entry.onlyAction<Dispatch>().engine));
    }

    // Guards against memory that stays taken in the evacuated domain because the grant was on its
    // way when the prompt left.
    void lateGrantOfEvacuatedEngineIsReleased()
    {
        constexpr std::size_t engines = 16;
        DispatcherFixture entry(engines);
        entry.handle(RequestArrived{entry.request("a", million)});
        const Reserve first = entry.onlyAction<Reserve>();
        entry.handle(domainEvacuated(domainOf(first.engine), engines));
        entry.handle(ReservationAnswered{first.id, first.engine, first.lease, true});
        CPPUNIT_ASSERT_EQUAL(first.lease, entry.onlyAction<Release>().lease);
    }

    // Guards against giving up memory that was reserved in the other domains for nothing.
    void promptThatReservesElsewhereStays()
    {
        constexpr std::size_t engines = 16;
        DispatcherFixture entry(engines);
        for (std::size_t index = 0; index < engines; index += domains)
            entry.handle(EngineDraining{DispatcherFixture::engine(index).id});
        entry.handle(RequestArrived{entry.request("a", million)});
        entry.handle(domainEvacuated(0, engines));
        CPPUNIT_ASSERT(entry.actionsOf<Release>().empty());
        CPPUNIT_ASSERT(entry.actionsOf<Reserve>().empty());
    }

    // Guards against refusing or losing prompts while other domains have capacity, and against
    // cutting off what runs in the evacuated one.
    void waitingPromptsGoElsewhereAndRunningOnesEnd()
    {
        constexpr std::size_t engines = 6;
        constexpr std::size_t prompts = 60;
        DispatcherFixture entry(engines);
        std::vector<Dispatch> running;
        const auto collect = [&] {
            CPPUNIT_ASSERT(entry.actionsOf<Refuse>().empty());
            CPPUNIT_ASSERT(entry.actionsOf<CancelOnEngine>().empty());
            std::vector<Dispatch> begun = entry.actionsOf<Dispatch>();
            running.insert(running.end(), begun.begin(), begun.end());
            return begun;
        };
        for (std::size_t each = 0; each < prompts; ++each) {
            entry.handle(RequestArrived{entry.request(std::to_string(each), 30'000)});
            collect();
        }
        CPPUNIT_ASSERT(entry.dispatcher->waiting() > 0);
        const EnginesEvacuated event = domainEvacuated(0, engines);
        CPPUNIT_ASSERT(std::ranges::any_of(
                running, [&](const Dispatch &each) { return isIn(event, each.engine); }));
        entry.handle(event);
        for (const Dispatch &begun : collect())
            CPPUNIT_ASSERT(!isIn(event, begun.engine));
        std::size_t ended = 0;
        while (!running.empty()) {
            const Dispatch next = running.front();
            running.erase(running.begin());
            entry.now += std::chrono::milliseconds(200);
            if (!next.final) {
                entry.handle(SlicePrefilled{next.id, next.attempt, next.to});
                collect();
                continue;
            }
            entry.handle(RequestFinished{next.id, next.attempt});
            ++ended;
            for (const Dispatch &begun : collect())
                CPPUNIT_ASSERT(begun.id == next.id || !isIn(event, begun.engine));
        }
        CPPUNIT_ASSERT_EQUAL(prompts, ended);
    }

    // Guards against a refusal of a prompt whose only attempt was held back by its entry.
    void promptThatWasNotSentUsesUpNoAttempt()
    {
        constexpr std::size_t engines = 6;
        routing::PolicySettings policy;
        policy.attemptsLimit = 1;
        DispatcherFixture entry(engines, policy);
        entry.handle(RequestArrived{entry.request("a", 1'000)});
        const Dispatch first = entry.onlyAction<Dispatch>();
        const EnginesEvacuated event = domainEvacuated(domainOf(first.engine), engines);
        entry.handle(event);
        entry.handle(AttemptFailed{first.id, first.attempt, true, true, true});
        CPPUNIT_ASSERT(entry.actionsOf<Refuse>().empty());
        const Dispatch second = entry.onlyAction<Dispatch>();
        CPPUNIT_ASSERT(!isIn(event, second.engine));
        // The attempt that was made counts as before.
        entry.handle(AttemptFailed{second.id, second.attempt, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.actionsOf<Refuse>().size());
    }

    // Guards against prompts for an engine whose new process is announced while its domain is
    // evacuated: the drain of the old process is not its own.
    void engineThatRestartsDuringEvacuationGetsNothing()
    {
        routing::PolicySettings policy;
        policy.splitEngines = false; // the one engine that is left takes prompts of all lengths
        DispatcherFixture entry(2, policy);
        entry.handle(domainEvacuated(0, 2));
        entry.handle(RequestArrived{entry.request("fills-the-other", 300'000)});
        entry.handle(RequestArrived{entry.request("waits", 150'000)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.dispatcher->waiting());
        entry.handle(EngineAnnounced{DispatcherFixture::engine(0, 2), {}, true});
        CPPUNIT_ASSERT(entry.actionsOf<Dispatch>().empty());
        entry.handle(EngineDraining{DispatcherFixture::engine(0).id, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.actionsOf<Dispatch>().size());
    }

    // Guards against losing prompts that wait while all domains are evacuated for a short time.
    void waitingPromptSurvivesEvacuationOfAllDomains()
    {
        constexpr std::size_t engines = 16;
        DispatcherFixture entry(engines);
        entry.handle(RequestArrived{entry.request("a", million)});
        for (std::size_t domain = 0; domain < domains; ++domain) {
            entry.handle(domainEvacuated(domain, engines));
            CPPUNIT_ASSERT(entry.actionsOf<Refuse>().empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.dispatcher->inFlight());
        for (std::size_t index = 0; index < engines; ++index)
            entry.handle(EngineDraining{DispatcherFixture::engine(index).id, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), entry.dispatcher->inFlight());
        grantAll(entry);
    }

    // Guards against long prompts that wait until they are refused because all engines that are
    // kept for them are evacuated, while others are idle.
    void longPromptUsesWhicheverDomainIsLeft()
    {
        for (std::size_t left = 0; left < domains; ++left) {
            DispatcherFixture entry(domains);
            for (std::size_t domain = 0; domain < domains; ++domain) {
                if (domain != left)
                    entry.handle(domainEvacuated(domain, domains));
            }
            entry.handle(RequestArrived{entry.request("long", 150'000)});
            CPPUNIT_ASSERT(entry.onlyAction<Dispatch>().engine
                           == DispatcherFixture::engine(left).id);
        }
    }

private:
    static std::size_t domainOf(const state::EndpointId &engine)
    {
        std::size_t index = 0;
        while (DispatcherFixture::engine(index).id != engine)
            ++index;
        return index % domains;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationMoveTest);

} // namespace lavenderthread::coordination::admission
