// Tests how much of unfinished answers a process keeps.
#include "program/AnswerBuffers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace lavenderthread::program {

class AnswerBuffersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AnswerBuffersTest);
    CPPUNIT_TEST(longAnswersShareOneBound);
    CPPUNIT_TEST(shortAnswersAreKeptBesideLongOnes);
    CPPUNIT_TEST(oneAnswerHasABoundOfItsOwn);
    CPPUNIT_TEST(shareOutlivesItsRelay);
    CPPUNIT_TEST(whatIsNoLongerKeptIsGivenBack);
    CPPUNIT_TEST_SUITE_END();

    static constexpr AnswerBuffers::Settings settings{1'000, 100, 2'000};

public:
    // Guards against answers without end that are each within their bound and use up the memory
    // together.
    void longAnswersShareOneBound()
    {
        const auto buffers = std::make_shared<AnswerBuffers>(settings);
        std::vector<std::unique_ptr<AnswerBuffers::Share>> shares;
        for (int answer = 0; answer < 2; ++answer) {
            shares.push_back(std::make_unique<AnswerBuffers::Share>(buffers));
            CPPUNIT_ASSERT(shares.back()->resizeTo(500));
            CPPUNIT_ASSERT(shares.back()->resizeTo(1'000));
        }
        AnswerBuffers::Share third(buffers);
        CPPUNIT_ASSERT(third.resizeTo(300));
        CPPUNIT_ASSERT(!third.resizeTo(301));
        shares.clear();
        CPPUNIT_ASSERT(third.resizeTo(301));
        CPPUNIT_ASSERT_EQUAL(std::size_t(201), buffers->counted());
    }

    void shortAnswersAreKeptBesideLongOnes()
    {
        const auto buffers =
                std::make_shared<AnswerBuffers>(AnswerBuffers::Settings{1'000, 100, 900});
        AnswerBuffers::Share full(buffers);
        CPPUNIT_ASSERT(full.resizeTo(1'000));
        AnswerBuffers::Share brief(buffers);
        CPPUNIT_ASSERT(brief.resizeTo(100));
        CPPUNIT_ASSERT(!brief.resizeTo(101));
    }

    // Guards against giving back bytes to a relay that is gone, when a process ends amid requests.
    void shareOutlivesItsRelay()
    {
        auto buffers = std::make_shared<AnswerBuffers>(settings);
        AnswerBuffers::Share share(buffers);
        CPPUNIT_ASSERT(share.resizeTo(200));
        buffers.reset();
        CPPUNIT_ASSERT(share.resizeTo(300));
    }

    // Guards against streams that use up the bound although each event was passed on.
    void whatIsNoLongerKeptIsGivenBack()
    {
        const auto buffers = std::make_shared<AnswerBuffers>(settings);
        AnswerBuffers::Share share(buffers);
        for (int event = 0; event < 10; ++event) {
            CPPUNIT_ASSERT(share.resizeTo(1'000));
            CPPUNIT_ASSERT(share.resizeTo(0));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), buffers->counted());
    }

    void oneAnswerHasABoundOfItsOwn()
    {
        const auto buffers = std::make_shared<AnswerBuffers>(settings);
        AnswerBuffers::Share share(buffers);
        CPPUNIT_ASSERT(!share.resizeTo(1'001));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), buffers->counted());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerBuffersTest);

} // namespace lavenderthread::program
