// Readers on several threads see only whole values and never an older one than before.
#include "state/Snapshot.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>
#include <vector>

namespace lavenderthread::state {

class SnapshotTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SnapshotTest);
    CPPUNIT_TEST(readersSeeWholeGrowingValues);
    CPPUNIT_TEST_SUITE_END();

public:
    void readersSeeWholeGrowingValues()
    {
        struct Pair
        {
            int first = 0;
            int second = 0;
        };
        constexpr int lastValue = 20'000;
        Snapshot<Pair> cell;
        std::atomic<int> violations = 0;
        std::vector<std::thread> readers;
        for (int reader = 0; reader < 3; ++reader) {
            readers.emplace_back([&] {
                int seen = 0;
                while (seen < lastValue) {
                    const auto value = cell.read();
                    if (value->first != value->second || value->first < seen)
                        ++violations;
                    seen = value->first;
                }
            });
        }
        for (int value = 1; value <= lastValue; ++value)
            cell.publish(Pair{value, value});
        for (std::thread &reader : readers)
            reader.join();
        CPPUNIT_ASSERT_EQUAL(0, violations.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);

} // namespace lavenderthread::state
