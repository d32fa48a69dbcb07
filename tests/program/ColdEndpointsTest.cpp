// Tests which endpoints count as cold for this entry, by the services' rates.
#include "program/ColdEndpoints.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::program {

class ColdEndpointsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ColdEndpointsTest);
    CPPUNIT_TEST(servicesWithoutRateAreNotLimited);
    CPPUNIT_TEST(nothingIsSentBeforeTheEntriesAreKnown);
    CPPUNIT_TEST(countsColdEndpointsAndSends);
    CPPUNIT_TEST_SUITE_END();

    const state::Instant now{std::chrono::seconds(100)};
    ColdEndpoints cold{state::VmId("vm-0"), state::Instant(std::chrono::seconds(10)), {0, 1.5, 5}};

    RegisteredEndpoint endpoint(const std::string &service) const
    {
        RegisteredEndpoint known;
        known.description.id = state::EndpointId("i-" + service);
        known.description.service = state::ServiceName(service);
        known.description.incarnation = 1;
        known.coldUntil = this->now + std::chrono::seconds(3);
        return known;
    }

public:
    void setUp() override
    {
        state::routes::ServiceProfile limited;
        limited.name = state::ServiceName("llm");
        limited.coldRequestsPerSecond = 17;
        state::routes::ServiceProfile unlimited;
        unlimited.name = state::ServiceName("app");
        this->cold.setServices({limited, unlimited});
    }

    // Guards against a limit in deployments whose configuration names none.
    void servicesWithoutRateAreNotLimited()
    {
        this->cold.setEntries({{{state::VmId("vm-0")}}, true});
        CPPUNIT_ASSERT(!this->cold.shareOf(this->endpoint("app"), this->now));
        CPPUNIT_ASSERT(!this->cold.shareOf(this->endpoint("other"), this->now));
        const RegisteredEndpoint limited = this->endpoint("llm");
        CPPUNIT_ASSERT(this->cold.shareOf(limited, this->now)->isSender);
        CPPUNIT_ASSERT(!this->cold.shareOf(limited, limited.coldUntil));
        this->cold.setServices({});
        CPPUNIT_ASSERT(!this->cold.shareOf(limited, this->now));
    }

    // Guards against the full rate of an entry that knows only itself.
    void nothingIsSentBeforeTheEntriesAreKnown()
    {
        CPPUNIT_ASSERT(!this->cold.shareOf(this->endpoint("llm"), this->now)->isSender);
        this->cold.setEntries({{{state::VmId("vm-0")}}, false});
        CPPUNIT_ASSERT(!this->cold.shareOf(this->endpoint("llm"), this->now)->isSender);
        this->cold.setEntries({{{state::VmId("vm-0")}}, true});
        CPPUNIT_ASSERT(this->cold.shareOf(this->endpoint("llm"), this->now)->isSender);
    }

    void countsColdEndpointsAndSends()
    {
        EndpointTable table;
        for (const std::string service : {"llm", "app"}) {
            const RegisteredEndpoint each = this->endpoint(service);
            table.endpoints[each.description.id] = each;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->cold.coldCount(table, this->now));
        for (const auto &[id, each] : table.endpoints)
            this->cold.countSend(table, each.description, this->now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->cold.sends());
        const state::Instant warm = this->now + std::chrono::seconds(3);
        this->cold.countSend(table, this->endpoint("llm").description, warm);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), this->cold.sends());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), this->cold.coldCount(table, warm));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ColdEndpointsTest);

} // namespace lavenderthread::program
