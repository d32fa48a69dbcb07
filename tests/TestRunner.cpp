// Runs the registered CppUnit suites and prints one closing line `N passed, N failed`.
// usage: unit-tests [PART_OF_TEST_NAME]
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

// Runs the leaves whose name contains `part`; gives their number.
int runMatching(CppUnit::Test *test, const std::string &part, CppUnit::TestResult &controller)
{
    if (test->getChildTestCount() == 0) {
        if (test->getName().find(part) == std::string::npos)
            return 0;
        test->run(&controller);
        return 1;
    }
    int count = 0;
    for (int index = 0; index < test->getChildTestCount(); ++index)
        count += runMatching(test->getChildTestAt(index), part, controller);
    return count;
}

} // namespace

int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    controller.addListener(&collector);
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&progress);

    const std::unique_ptr<CppUnit::Test> all(
            CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    if (runMatching(all.get(), argc > 1 ? argv[1] : "", controller) == 0) {
        std::cerr << "no test matches\n";
        return 2;
    }

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
