#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace {

std::vector<std::string> knownFailures()
{
    std::vector<std::string> names;
    const char *list = std::getenv("MONSOONSAIL_KNOWN_RED");
    if (list == nullptr)
        return names;
    std::istringstream lines(list);
    for (std::string line; std::getline(lines, line);)
        names.push_back(line);
    return names;
}

bool isKnown(const std::vector<std::string> &known, const std::string &name)
{
    return std::find(known.begin(), known.end(), name) != known.end();
}

} // namespace

int main(int argc, char **argv)
{
    const std::string program = argv[0];
    const std::string file = program.substr(program.find_last_of('/') + 1);
    const std::string suite = file.substr(0, file.find("_tests"));
    const std::string testName = argc > 1 ? argv[1] : "";

    CppUnit::TestResult controller;
    CppUnit::TestResultCollector results;
    controller.addListener(&results);
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, testName);

    const std::vector<std::string> known = knownFailures();
    int failed = 0;
    for (const CppUnit::TestFailure *failure : results.failures()) {
        const bool listed = isKnown(known, failure->failedTestName());
        std::cout << (listed ? "KNOWN-RED " : "FAILED ") << failure->failedTestName() << " "
                  << failure->sourceLine().fileName() << ":" << failure->sourceLine().lineNumber()
                  << " " << failure->thrownException()->message().details() << "\n";
        failed += listed ? 0 : 1;
    }
    const int passed = results.runTests() - static_cast<int>(results.failures().size());
    std::cout << suite << ": " << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed > 0 ? 0 : 1;
}
