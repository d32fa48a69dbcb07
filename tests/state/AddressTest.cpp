// Tests state::Address: accepted and refused texts, and the round trip.
#include "state/ConnectableAddress.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace lavenderthread::state {

class AddressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AddressTest);
    CPPUNIT_TEST(roundTrip);
    CPPUNIT_TEST(refusesBadText);
    CPPUNIT_TEST(onlyIpNumbersWithPortAreConnectable);
    CPPUNIT_TEST_SUITE_END();

public:
    void roundTrip()
    {
        for (const char *text : {"127.0.0.1:80", "[::1]:65535", "10.1.2.3:0"}) {
            const Result<Address> address = Address::parse(text);
            CPPUNIT_ASSERT(address.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string(text), address.value().toString());
        }
    }

    void refusesBadText()
    {
        for (const char *text : {"", ":80", "localhost:80", "127.0.0.1", "1.2.3.4:65536",
                                 "1.2.3.4:", "[::1:80", "1.2.3.4:8x"}) {
            const Result<Address> address = Address::parse(text);
            CPPUNIT_ASSERT_MESSAGE(text, address.has_error());
            CPPUNIT_ASSERT(address.error().code == ErrorCode::InvalidArgument);
            CPPUNIT_ASSERT_EQUAL(std::string("address.parse"), address.error().step);
        }
    }

    void onlyIpNumbersWithPortAreConnectable()
    {
        for (const char *text : {"127.0.0.1:80", "[::1]:65535"})
            CPPUNIT_ASSERT_MESSAGE(text, isConnectable(Address::parse(text).value()));
        for (const char *text : {"127.0.0.1:0", "999.1.1.1:80", "1.2.3:80", "...:80", "[::]:0",
                                 "[:::]:80", "a.b.c.d:80"})
            CPPUNIT_ASSERT_MESSAGE(text, !isConnectable(Address::parse(text).value()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressTest);

} // namespace lavenderthread::state
