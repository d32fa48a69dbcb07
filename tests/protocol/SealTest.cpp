// Tests the message seal: key rotation doesn't interrupt traffic; any other difference between
// sender and receiver is rejected.
#include "protocol/Seal.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::protocol {

class SealTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SealTest);
    CPPUNIT_TEST(acceptsEveryKeyDuringRotation);
    CPPUNIT_TEST(rejectsModificationsOtherKeysAndOtherContexts);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsEveryKeyDuringRotation()
    {
        const SealKeys before{{"old"}};
        const SealKeys during{{"old", "new"}};
        const SealKeys after{{"new", "old"}};
        CPPUNIT_ASSERT(unseal(during, "gossip", seal(before, "gossip", "hello")).has_value());
        CPPUNIT_ASSERT(unseal(during, "gossip", seal(after, "gossip", "hello")).has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"),
                             unseal(after, "gossip", seal(during, "gossip", "hello")).value());
    }

    void rejectsModificationsOtherKeysAndOtherContexts()
    {
        const SealKeys keys{{"key"}};
        const std::string sealed = seal(keys, "gossip", "hello");
        for (std::size_t byte = 0; byte < sealed.size(); ++byte) {
            std::string changed = sealed;
            changed[byte] = static_cast<char>(changed[byte] ^ 1);
            CPPUNIT_ASSERT(unseal(keys, "gossip", changed).has_error());
        }
        CPPUNIT_ASSERT(unseal(keys, "consensus", sealed).has_error());
        CPPUNIT_ASSERT(unseal(SealKeys{{"other"}}, "gossip", sealed).has_error());
        CPPUNIT_ASSERT(unseal(keys, "gossip", "short").has_error());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SealTest);

} // namespace lavenderthread::protocol
