#include <galenarack/routing/retrybudget.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

using namespace Galenarack;

class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(boundsAddedLoad);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against retries that multiply the load of an overloaded service. Section 4.3 allows 1.1 times the load.
    void boundsAddedLoad()
    {
        CPPUNIT_ASSERT(rc::check("retries stay within the budget", [] {
            RetryBudget budget;
            unsigned first = 0;
            unsigned retries = 0;
            unsigned hedges = 0;
            unsigned burst = 0;
            for (const int step : *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 10))) {
                if (step < 5) {
                    budget.onFirstAttempt();
                    ++first;
                    burst = 0;
                } else if (step < 8 && budget.tryRetry()) {
                    ++retries;
                    ++burst;
                } else if (budget.tryHedge()) {
                    ++hedges;
                }
                RC_ASSERT(10 * retries <= first + 10);
                RC_ASSERT(20 * hedges <= first);
                RC_ASSERT(burst <= 10U);
            }
        }));
        RetryBudget rested;
        for (int i = 0; i < 10'000; ++i) {
            rested.onFirstAttempt();
        }
        unsigned burst = 0;
        while (rested.tryRetry()) {
            ++burst;
        }
        CPPUNIT_ASSERT_EQUAL(10U, burst);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
