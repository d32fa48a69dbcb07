// Tests how evacuations of failure domains show in the table that requests are routed by.
#include "program/EndpointRegistry.h"

#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

namespace {

const state::ServiceName service("app");
const state::Instant now{std::chrono::seconds(100)};

state::EndpointDescription endpointIn(const std::string &domain)
{
    state::EndpointDescription endpoint;
    endpoint.id = state::EndpointId("i-" + domain);
    endpoint.service = service;
    endpoint.failureDomain = state::FailureDomain(domain);
    endpoint.incarnation = 1;
    return endpoint;
}

EndpointTable tableOf(const std::vector<std::string> &domains)
{
    EndpointTable table;
    for (const std::string &domain : domains)
        table.endpoints[endpointIn(domain).id] = {endpointIn(domain)};
    return table;
}

} // namespace

class EndpointRegistryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EndpointRegistryTest);
    CPPUNIT_TEST(endpointsOfEvacuatedDomainGetNoNewWork);
    CPPUNIT_TEST(endpointsThatAppearDuringEvacuationGetNone);
    CPPUNIT_TEST(unlistedEndpointsOfEvacuatedDomainGetNothing);
    CPPUNIT_TEST(drainOutlastsEvacuation);
    CPPUNIT_TEST(serviceIsEvacuatedOnlyWithAllItsDomains);
    CPPUNIT_TEST(endpointsAreColdAfterEvacuation);
    CPPUNIT_TEST(announcedColdTimeCountsOnSingleNode);
    CPPUNIT_TEST(coldTimeOfAProbeCountsAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void endpointsOfEvacuatedDomainGetNoNewWork()
    {
        EndpointRegistry registry{state::Duration(0)};
        registry.assign(tableOf({"a", "b"}), state::Instant{});
        CPPUNIT_ASSERT(registry.setEvacuated({state::FailureDomain("a")}, now));
        const auto during = registry.table();
        CPPUNIT_ASSERT(isEvacuated(*during, endpointIn("a")));
        CPPUNIT_ASSERT(during->endpoints.at(endpointIn("a").id).draining);
        CPPUNIT_ASSERT(!during->endpoints.at(endpointIn("b").id).draining);
        CPPUNIT_ASSERT(registry.setEvacuated({}, now));
        CPPUNIT_ASSERT(*registry.table() == tableOf({"a", "b"}));
        CPPUNIT_ASSERT(!registry.setEvacuated({}, now));
    }

    // Guards against requests to endpoints that start, or are first heard of, while their domain is
    // evacuated.
    void endpointsThatAppearDuringEvacuationGetNone()
    {
        EndpointRegistry registry{state::Duration(0)};
        registry.setEvacuated({state::FailureDomain("a")}, now);
        registry.assign(tableOf({"a"}), state::Instant{});
        CPPUNIT_ASSERT(registry.table()->endpoints.at(endpointIn("a").id).draining);
    }

    // Guards against a request that was assigned to a process which the table has since replaced or
    // dropped, and that is sent there although the domain is evacuated.
    void unlistedEndpointsOfEvacuatedDomainGetNothing()
    {
        EndpointRegistry registry{state::Duration(0)};
        registry.assign(tableOf({"a"}), state::Instant{});
        registry.setEvacuated({state::FailureDomain("a")}, now);
        state::EndpointDescription earlier = endpointIn("a");
        earlier.incarnation = 0;
        CPPUNIT_ASSERT(isEvacuated(*registry.table(), earlier));
        registry.assign({}, state::Instant{});
        CPPUNIT_ASSERT(isEvacuated(*registry.table(), endpointIn("a")));
        CPPUNIT_ASSERT(!isEvacuated(*registry.table(), endpointIn("b")));
        CPPUNIT_ASSERT(registry.setEvacuated({}, now));
        CPPUNIT_ASSERT(!isEvacuated(*registry.table(), endpointIn("a")));
    }

    // Guards against new work for an endpoint that leaves by itself when the evacuation ends.
    void drainOutlastsEvacuation()
    {
        EndpointRegistry registry{state::Duration(0)};
        EndpointTable table = tableOf({"a"});
        table.endpoints.at(endpointIn("a").id).draining = true;
        registry.assign(table, state::Instant{});
        registry.setEvacuated({state::FailureDomain("a")}, now);
        registry.setEvacuated({}, now);
        CPPUNIT_ASSERT(*registry.table() == table);
    }

    void serviceIsEvacuatedOnlyWithAllItsDomains()
    {
        EndpointRegistry registry{state::Duration(0)};
        registry.assign(tableOf({"a", "b"}), state::Instant{});
        CPPUNIT_ASSERT(!isServiceEvacuated(*registry.table(), service));
        registry.setEvacuated({state::FailureDomain("a")}, now);
        CPPUNIT_ASSERT(!isServiceEvacuated(*registry.table(), service));
        registry.setEvacuated({state::FailureDomain("a"), state::FailureDomain("b")}, now);
        CPPUNIT_ASSERT(isServiceEvacuated(*registry.table(), service));
        CPPUNIT_ASSERT(!isServiceEvacuated(*registry.table(), state::ServiceName("other")));
    }

    // Guards against full load at once on endpoints that had no traffic during an evacuation, and
    // against a limit for other domains, for later incarnations or in services without a cold time.
    void endpointsAreColdAfterEvacuation()
    {
        EndpointRegistry registry{state::Duration(0)};
        const auto coldUntil = [&registry](const std::string &domain) {
            return registry.table()->endpoints.at(endpointIn(domain).id).coldUntil;
        };
        EndpointTable table = tableOf({"a", "b"});
        registry.assign(table, state::Instant{});
        registry.setEvacuated({state::FailureDomain("a")}, now);
        registry.setEvacuated({}, now);
        CPPUNIT_ASSERT(coldUntil("a") == state::Instant{});
        registry.setColdTimes({{service, std::chrono::seconds(3)}});
        registry.setEvacuated({state::FailureDomain("a")}, now);
        registry.setEvacuated({}, now);
        CPPUNIT_ASSERT(coldUntil("a") == now + std::chrono::seconds(3));
        CPPUNIT_ASSERT(coldUntil("b") == state::Instant{});
        table.endpoints.at(endpointIn("a").id).description.incarnation = 2;
        registry.assign(table, state::Instant{});
        CPPUNIT_ASSERT(coldUntil("a") == state::Instant{});
    }

    // Guards against full load on an endpoint that has become cold again, until its next
    // announcement arrives.
    void coldTimeOfAProbeCountsAtOnce()
    {
        EndpointRegistry registry{state::Duration(0)};
        const state::EndpointId id = endpointIn("a").id;
        const auto coldUntil = [&] { return registry.table()->endpoints.at(id).coldUntil; };
        EndpointTable table = tableOf({"a", "b"});
        registry.assign(table, now);
        CPPUNIT_ASSERT(!registry.setCold(id, 7, std::chrono::seconds(3), now));
        CPPUNIT_ASSERT(!registry.setCold(state::EndpointId("x"), 1, std::chrono::seconds(3), now));
        const std::uint64_t incarnation = table.endpoints.at(id).description.incarnation;
        CPPUNIT_ASSERT(registry.setCold(id, incarnation, std::chrono::seconds(3), now));
        CPPUNIT_ASSERT(coldUntil() == now + std::chrono::seconds(3));
        // The next answer names what is left of the same time.
        const state::Instant later = now + std::chrono::seconds(1);
        CPPUNIT_ASSERT(!registry.setCold(id, incarnation, std::chrono::milliseconds(2'010), later));
        registry.assign(table, later); // what the others know is older
        CPPUNIT_ASSERT(coldUntil() == now + std::chrono::seconds(3));
    }

    // Guards against a node without membership that ignores cold times.
    void announcedColdTimeCountsOnSingleNode()
    {
        EndpointRegistry registry{std::chrono::seconds(10)};
        const auto coldUntil = [&registry] {
            return registry.table()->endpoints.at(endpointIn("a").id).coldUntil;
        };
        CPPUNIT_ASSERT(registry.announce(endpointIn("a"), now, std::chrono::seconds(3)));
        CPPUNIT_ASSERT(coldUntil() == now + std::chrono::seconds(3));
        CPPUNIT_ASSERT(registry.announce(endpointIn("a"), now + std::chrono::seconds(1)));
        CPPUNIT_ASSERT(coldUntil() == now + std::chrono::seconds(3));
        state::EndpointDescription restarted = endpointIn("a");
        restarted.incarnation = 2;
        CPPUNIT_ASSERT(registry.announce(restarted, now + std::chrono::seconds(1)));
        CPPUNIT_ASSERT(coldUntil() == state::Instant{});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);

} // namespace lavenderthread::program
