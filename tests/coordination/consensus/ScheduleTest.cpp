// Randomized fault schedules on simulated clusters, and mutation tests of the checks.
#include "ClusterRig.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace lavenderthread::coordination::consensus {

class ScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScheduleTest);
    CPPUNIT_TEST(everySeedKeepsInvariants);
    CPPUNIT_TEST(mutationsAreDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr std::uint64_t seeds = 2000;

    // Clients claim keys and read while messages are lost, duplicated and delayed, and members
    // crash between a write and its sync, are isolated, paused or lose their disk, also twice in a
    // row. No answer may be wrong, because a leader acknowledges only what a quorum has synced and
    // only under its lease. After the faults end, the cluster must be repaired and make progress.
    void everySeedKeepsInvariants()
    {
        ClusterRig::Counts total;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            ClusterRig rig(seed, Mutation::None);
            const std::optional<std::string> violation = rig.run();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + violation.value_or(""),
                                   !violation);
            total.events += rig.counts().events;
            total.acknowledged += rig.counts().acknowledged;
            total.leaders += rig.counts().leaders;
            total.crashes += rig.counts().crashes;
            total.lostDisks += rig.counts().lostDisks;
            total.plannedReplacements += rig.counts().plannedReplacements;
            total.snapshotsReceived += rig.counts().snapshotsReceived;
            total.memberChanges += rig.counts().memberChanges;
            total.reads += rig.counts().reads;
        }
        std::cout << " seeds=" << seeds << " events=" << total.events
                  << " acknowledged=" << total.acknowledged << " leaders=" << total.leaders
                  << " crashes=" << total.crashes << " lost_disks=" << total.lostDisks
                  << " planned_replacements=" << total.plannedReplacements
                  << " snapshots_received=" << total.snapshotsReceived
                  << " member_changes=" << total.memberChanges << " reads=" << total.reads;
        // The schedules must exercise enough operations and faults to be meaningful.
        CPPUNIT_ASSERT(total.acknowledged > 20 * seeds && total.reads > 10 * seeds);
        CPPUNIT_ASSERT(total.leaders > 2 * seeds && total.crashes > 3 * seeds);
        CPPUNIT_ASSERT(total.lostDisks > seeds && total.memberChanges > 2 * seeds);
        CPPUNIT_ASSERT(total.snapshotsReceived > seeds / 2);
        CPPUNIT_ASSERT(total.plannedReplacements > seeds / 4);
    }

    // With one safeguard disabled, the same schedules must find a violation.
    void mutationsAreDetected()
    {
        const std::vector<std::pair<Mutation, std::string>> mutations = {
                {Mutation::AnswerBeforeSync, "answer before sync"},
                {Mutation::VoteWithinLease, "vote within the lease"},
                {Mutation::SlowLeaderClock, "clock outside its bound"},
                {Mutation::SameIdAfterLoss, "same id after a lost disk"},
        };
        for (const auto &[mutation, name] : mutations) {
            std::optional<std::string> violation;
            std::uint64_t seed = 0;
            while (!violation && seed < seeds) {
                violation = ClusterRig(++seed, mutation).run();
                if (violation && violation->find("no progress") != std::string::npos)
                    violation.reset(); // a lack of progress is not a safety violation
            }
            CPPUNIT_ASSERT_MESSAGE("not detected: " + name, violation.has_value());
            std::cout << "\n  detected '" << name << "' by seed " << seed << ": " << *violation;
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleTest);

} // namespace lavenderthread::coordination::consensus
