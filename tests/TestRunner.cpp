// Runs the registered CppUnit suites and prints one closing line `N passed, N failed`. A failure
// whose test stands in KNOWN-RED.txt of the current folder is printed as such and not counted.
// usage: unit-tests [PART_OF_TEST_NAME | --shard I/N]   a shard: each Nth test, from the Ith (1 to
// N)
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace {

// Which of the leaves are run.
struct Selection
{
    std::string part; // of their name
    int shard = 0;    // those whose number, modulo `shards`, is this
    int shards = 1;
};

// Nothing if the words are none that can be understood.
std::optional<Selection> readSelection(int argc, char **argv)
{
    Selection selection;
    if (argc < 2)
        return selection;
    if (std::string(argv[1]) != "--shard") {
        selection.part = argv[1];
        return selection;
    }
    const bool read =
            argc == 3 && std::sscanf(argv[2], "%d/%d", &selection.shard, &selection.shards) == 2;
    if (!read || selection.shard < 1 || selection.shard > selection.shards)
        return std::nullopt;
    --selection.shard;
    return selection;
}

struct Counted
{
    int seen = 0; // leaves
    int run = 0;
};

void runSelected(CppUnit::Test *test, const Selection &selection, Counted &counted,
                 CppUnit::TestResult &controller)
{
    for (int index = 0; index < test->getChildTestCount(); ++index)
        runSelected(test->getChildTestAt(index), selection, counted, controller);
    if (test->getChildTestCount() > 0)
        return;
    const bool mine = counted.seen++ % selection.shards == selection.shard;
    if (!mine || test->getName().find(selection.part) == std::string::npos)
        return;
    test->run(&controller);
    ++counted.run;
}

// The first word of each line that is no comment: a test's full name or a command.
std::set<std::string> readKnownRed()
{
    std::set<std::string> names;
    std::ifstream file("KNOWN-RED.txt");
    std::string line;
    while (std::getline(file, line)) {
        if (!line.empty() && line.front() != '#')
            names.insert(line.substr(0, line.find(' ')));
    }
    return names;
}

int countKnownRed(const CppUnit::TestResultCollector &collector)
{
    const std::set<std::string> known = readKnownRed();
    std::set<std::string> seen;
    for (const CppUnit::TestFailure *failure : collector.failures()) {
        const std::string name = failure->failedTestName();
        if (known.contains(name) && seen.insert(name).second)
            std::cout << "known red: " << name << "\n";
    }
    return static_cast<int>(seen.size());
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
    const std::optional<Selection> selection = readSelection(argc, argv);
    Counted counted;
    if (selection)
        runSelected(all.get(), *selection, counted, controller);
    if (counted.run == 0) {
        std::cerr << "no test matches\n";
        return 2;
    }

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int knownRed = countKnownRed(collector);
    const int failed = collector.testFailuresTotal() - knownRed;
    std::cout << collector.runTests() - failed - knownRed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
