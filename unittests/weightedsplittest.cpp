#include <galenarack/policy/weightedsplit.h>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace Galenarack;

namespace {

std::vector<WeightedService> makeDestinations(const std::vector<std::uint32_t> &weights)
{
    std::vector<WeightedService> destinations;
    destinations.reserve(weights.size());
    for (const std::uint32_t weight : weights) {
        destinations.push_back({"s" + std::to_string(destinations.size()), weight});
    }
    return destinations;
}

} // namespace

/// Requests of weighted routes, in the first cycles after a start or a change of weights.
class WeightedSplitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WeightedSplitTest);
    CPPUNIT_TEST(weightZeroGetsNoRequest);
    CPPUNIT_TEST(changeToWeightZeroEndsTheRequests);
    CPPUNIT_TEST(noDestinationWithoutWeights);
    CPPUNIT_TEST(firstRequestsOfManyNodesFollowTheWeights);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that a destination with the weight 0 gets when a node starts.
    void weightZeroGetsNoRequest()
    {
        constexpr std::uint32_t large = std::numeric_limits<std::uint32_t>::max();
        const std::vector<std::uint32_t> table[] = {
            {0, 100},
            {100, 0},
            {0, 1},
            {1, 0},
            {0, large},
            {large, 0},
            {0, 0, 5},
            {0, 5, 0},
            {5, 0, 0},
            {0, 1, large},
            {large, 0, 1},
            {0, 3, 0, 7, 0},
        };
        std::mt19937 random(1);
        for (const std::vector<std::uint32_t> &weights : table) {
            const std::vector<WeightedService> destinations = makeDestinations(weights);
            for (int node = 0; node < 200; ++node) {
                WeightedSplit split(random());
                for (int request = 0; request < 50; ++request) {
                    CPPUNIT_ASSERT(weights[split.next(destinations).value()] > 0);
                }
            }
        }
    }

    /// Guards against requests that a service still gets after a change that ends its share, as an operator does who moves a route
    /// step by step.
    void changeToWeightZeroEndsTheRequests()
    {
        const struct
        {
            const char *name;
            std::vector<std::vector<std::uint32_t>> steps; ///< Weights of consecutive versions.
        } table[] = {
            {"first to second", {{100, 0}, {50, 50}, {0, 100}}},
            {"second to first", {{0, 100}, {50, 50}, {100, 0}}},
            {"at once", {{1, 0}, {0, 1}}},
            {"there and back", {{1, 0}, {0, 1}, {1, 0}}},
            {"part added and taken out", {{1}, {1, 1}, {0, 1, 0}, {1}}},
        };
        std::mt19937 random(2);
        for (const auto &row : table) {
            for (int node = 0; node < 200; ++node) {
                WeightedSplit split(random());
                for (const std::vector<std::uint32_t> &weights : row.steps) {
                    const std::vector<WeightedService> destinations = makeDestinations(weights);
                    for (int request = 0; request < 7; ++request) {
                        CPPUNIT_ASSERT_MESSAGE(row.name, weights[split.next(destinations).value()] > 0);
                    }
                }
            }
        }
    }

    /// Guards against requests that run at a service although all weights of the route are 0, and against a split that does not go on
    /// once there is a weight again.
    void noDestinationWithoutWeights()
    {
        const std::vector<std::uint32_t> table[] = {{0}, {0, 0}, {0, 0, 0}};
        for (const std::vector<std::uint32_t> &weights : table) {
            WeightedSplit split(7);
            std::vector<WeightedService> destinations = makeDestinations(weights);
            CPPUNIT_ASSERT(!split.next(destinations));
            CPPUNIT_ASSERT(!split.next(destinations));
            destinations.back().weight = 1;
            CPPUNIT_ASSERT_EQUAL(weights.size() - 1, split.next(destinations).value());
        }
    }

    /// Guards against a fleet whose nodes all send their first requests to the same destination, after a start or a change of weights:
    /// its share is then far off its weight until each node has sent many requests.
    void firstRequestsOfManyNodesFollowTheWeights()
    {
        const std::vector<std::uint32_t> table[] = {{50, 50}, {90, 10}, {10, 90}, {1, 1, 1}, {1, 98, 1}, {0, 50, 50}, {999'983, 1'000'000}};
        // Greatest difference between a share and its weight that the platform allows, over 200 requests or more.
        constexpr double maxDifference = 0.2;
        constexpr int nodes = 300;
        std::mt19937 random(3);
        for (const std::vector<std::uint32_t> &weights : table) {
            const std::vector<WeightedService> destinations = makeDestinations(weights);
            double total = 0;
            for (const std::uint32_t weight : weights) {
                total += weight;
            }
            for (const int requests : {1, 2, 3}) {
                std::vector<int> counts(weights.size());
                for (int node = 0; node < nodes; ++node) {
                    WeightedSplit split(random());
                    for (int i = 0; i < requests; ++i) {
                        ++counts[split.next(destinations).value()];
                    }
                }
                for (std::size_t i = 0; i < weights.size(); ++i) {
                    CPPUNIT_ASSERT_DOUBLES_EQUAL(weights[i] / total, counts[i] / double(nodes * requests), maxDifference);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightedSplitTest);
