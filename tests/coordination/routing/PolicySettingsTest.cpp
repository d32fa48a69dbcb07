// The settings timekeep and cascadia are the same policy with different weights.
#include "coordination/routing/PolicySettings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::coordination::routing {

class PolicySettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicySettingsTest);
    CPPUNIT_TEST(examplesDifferInTwoWeights);
    CPPUNIT_TEST(rejectsValuesOutOfRange);
    CPPUNIT_TEST_SUITE_END();

public:
    void examplesDifferInTwoWeights()
    {
        const PolicySettings timekeep = PolicySettings::named("timekeep").value();
        PolicySettings cascadia = PolicySettings::named("cascadia").value();
        CPPUNIT_ASSERT(timekeep.shortSlowdownWeight > cascadia.shortSlowdownWeight);
        CPPUNIT_ASSERT(timekeep.firstTokenWeight < cascadia.firstTokenWeight);
        cascadia.name = timekeep.name;
        cascadia.shortSlowdownWeight = timekeep.shortSlowdownWeight;
        cascadia.firstTokenWeight = timekeep.firstTokenWeight;
        CPPUNIT_ASSERT(cascadia == timekeep);
    }

    void rejectsValuesOutOfRange()
    {
        const PolicySettings settings;
        for (const auto &[member, value] :
             {std::pair("first_token_weight", 0.0), std::pair("admission_margin", 0.5),
              std::pair("span_memory_share", 1.5), std::pair("reservation_ttl_ms", 0.0)}) {
            const auto draft = settings.with(member, value);
            CPPUNIT_ASSERT_MESSAGE(member, draft.has_value());
            CPPUNIT_ASSERT_MESSAGE(member, PolicySettings::create(draft.value()).has_error());
        }
        CPPUNIT_ASSERT(settings.with("no_such_member", 1).has_error());
        CPPUNIT_ASSERT(PolicySettings::create(settings).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicySettingsTest);

} // namespace lavenderthread::coordination::routing
