// Tests PrefixIndex with late, repeated and lost cache events.
#include "coordination/routing/PrefixIndex.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace lavenderthread::coordination::routing {

class PrefixIndexTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PrefixIndexTest);
    CPPUNIT_TEST(equalPrefixesGiveEqualHashes);
    CPPUNIT_TEST(gapMakesEntriesDoubtful);
    CPPUNIT_TEST(repeatedEventsAreSkipped);
    CPPUNIT_TEST(restartClearsIndex);
    CPPUNIT_TEST(sizeIsBounded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double doubtfulTrust = 0.5;

    static std::vector<CacheEvent> stored(std::initializer_list<std::uint64_t> blocks)
    {
        std::vector<CacheEvent> events;
        for (const std::uint64_t block : blocks)
            events.push_back({CacheOperation::Stored, block});
        return events;
    }

    static double match(const PrefixIndex &index, std::vector<std::uint64_t> blocks)
    {
        return index.match(blocks, doubtfulTrust);
    }

public:
    void equalPrefixesGiveEqualHashes()
    {
        const std::string common(4 * 8, 'a');
        const auto first = hashPrefixBlocks(common + std::string(4 * 8, 'b') + "x", 8);
        const auto second = hashPrefixBlocks(common + std::string(4 * 8, 'c'), 8);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), first.size());
        CPPUNIT_ASSERT_EQUAL(first[0], second[0]);
        CPPUNIT_ASSERT(first[1] != second[1]);
        // The same block after another one is a different prefix.
        CPPUNIT_ASSERT(hashPrefixBlocks(std::string(8 * 8, 'a'), 8)[1] != first[0]);
    }

    void gapMakesEntriesDoubtful()
    {
        // Guards against sending a prompt to an engine for a cached prefix that was evicted, where
        // it waits for a full prefill. Events 3 to 9 are lost, evictions among them, and event 10
        // arrives. Blocks known before count half until the engine reports them again.
        PrefixIndex index(100);
        index.apply(1, 1, stored({11, 12}));
        CPPUNIT_ASSERT_EQUAL(2.0, match(index, {11, 12, 13}));
        index.apply(1, 10, stored({13}));
        CPPUNIT_ASSERT_EQUAL(2.0, match(index, {11, 12, 13}));
        index.apply(1, 11, stored({11}));
        CPPUNIT_ASSERT_EQUAL(2.5, match(index, {11, 12, 13}));
    }

    void repeatedEventsAreSkipped()
    {
        PrefixIndex index(100);
        index.apply(1, 1, stored({11}));
        const std::vector<CacheEvent> evicted = {{CacheOperation::Evicted, 11}};
        index.apply(1, 2, evicted);
        index.apply(1, 1, stored({11}));
        CPPUNIT_ASSERT_EQUAL(0.0, match(index, {11}));
    }

    void restartClearsIndex()
    {
        PrefixIndex index(100);
        index.apply(1, 1, stored({11, 12}));
        index.apply(2, 1, stored({12}));
        CPPUNIT_ASSERT_EQUAL(0.0, match(index, {11}));
        CPPUNIT_ASSERT_EQUAL(1.0, match(index, {12}));
        index.apply(1, 3, stored({11})); // late event of the engine's former incarnation
        CPPUNIT_ASSERT_EQUAL(0.0, match(index, {11}));
    }

    void sizeIsBounded()
    {
        PrefixIndex index(3);
        index.apply(1, 1, stored({1, 2, 3, 1, 4}));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), index.size());
        CPPUNIT_ASSERT_EQUAL(0.0, match(index, {2}));
        CPPUNIT_ASSERT_EQUAL(1.0, match(index, {1}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixIndexTest);

} // namespace lavenderthread::coordination::routing
