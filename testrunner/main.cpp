#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <cctype>
#include <iostream>
#include <string>

namespace {

/// Returns a lower-case copy. CTest selects a suite by its file name, which is the class name in lower case.
std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/// Adds the suites whose lower-case name is `suiteName` to the runner, or all suites when it is empty.
/// @return the number of added suites
int addMatchingSuites(CppUnit::Test &root, const std::string &suiteName, CppUnit::TestRunner &runner)
{
    int added = 0;
    for (int i = 0; i < root.getChildTestCount(); ++i) {
        CppUnit::Test *suite = root.getChildTestAt(i);
        if (suiteName.empty() || toLower(suite->getName()) == suiteName) {
            runner.addTest(suite);
            ++added;
        }
    }
    return added;
}

} // namespace

int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    // The runner owns the suites. The root holds the same suites, so it is leaked to avoid deleting them twice.
    CppUnit::Test *root = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    CppUnit::TestRunner runner;
    const std::string suiteName = argc > 1 ? toLower(argv[1]) : std::string();
    if (addMatchingSuites(*root, suiteName, runner) == 0) {
        std::cerr << "no test suite is named " << suiteName << '\n';
        return 2;
    }
    runner.run(controller);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
