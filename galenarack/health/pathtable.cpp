#include <galenarack/health/pathtable.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace Galenarack {

namespace {

/// Natural logarithm of the slowdown (4 times) that the test of round trips is designed for. Peers are about 1 ms apart, so
/// smaller slowdowns do not matter to callers.
constexpr float designShift = 1.386F;
constexpr float maxSampleEvidence = 4.0F;
constexpr float minSampleEvidence = -4.0F;
constexpr float minDeviation = 0.4F;
constexpr float evidenceLimit = 30.0F;
constexpr std::uint32_t minBaselineSamples = 10;
constexpr float baselineSamples = 500.0F;
constexpr float degradedWeight = 0.2F;

} // namespace

std::string_view pathStateName(PathState state)
{
    constexpr std::array<std::string_view, 5> names = {"good", "degraded", "silent", "cut", "frozen"};
    return names.at(static_cast<std::size_t>(state));
}

std::uint32_t PathTable::add(std::string_view peer, TimePoint now)
{
    if (const auto row = this->find(peer)) {
        return *row;
    }
    this->rows.emplace_back();
    this->rows.back().peer = peer;
    this->rows.back().since = now;
    return static_cast<std::uint32_t>(this->rows.size() - 1);
}

std::optional<std::uint32_t> PathTable::find(std::string_view peer) const
{
    const auto found = std::find_if(this->rows.begin(), this->rows.end(), [peer](const PathRow &row) {
        return row.peer == peer;
    });
    if (found == this->rows.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - this->rows.begin());
}

void PathTable::connected(std::uint32_t row, TimePoint now)
{
    PathRow &path = this->rows[row];
    path.connected = true;
    path.connectFailed = false;
    path.helloUnanswered = false;
    path.pingSince.reset();
    this->frameReceived(row, now);
}

void PathTable::connectFailed(std::uint32_t row, TimePoint /*now*/)
{
    this->rows[row].connectFailed = true;
    this->rows[row].connected = false;
}

void PathTable::helloUnanswered(std::uint32_t row, TimePoint /*now*/)
{
    this->rows[row].helloUnanswered = true;
    this->rows[row].connected = false;
}

void PathTable::disconnected(std::uint32_t row, TimePoint /*now*/)
{
    this->rows[row].connected = false;
    this->rows[row].pingSince.reset();
}

void PathTable::pingSent(std::uint32_t row, TimePoint now)
{
    if (!this->rows[row].pingSince) {
        this->rows[row].pingSince = now;
    }
}

void PathTable::pingAnswered(std::uint32_t row, Duration roundTrip, TimePoint now)
{
    PathRow &path = this->rows[row];
    path.pingSince.reset();
    this->frameReceived(row, now);
    const float value = std::log(static_cast<float>(std::max<Duration::rep>(1, roundTrip.count())));
    if (path.samples >= minBaselineSamples) {
        const float deviation = std::max(minDeviation, std::sqrt(path.variance));
        const float ratio = (designShift / (deviation * deviation)) * (value - path.mean - (designShift / 2.0F));
        path.evidence = std::clamp(path.evidence + std::clamp(ratio, minSampleEvidence, maxSampleEvidence), 0.0F, evidenceLimit);
    }
    if (path.evidence <= maxSampleEvidence) {
        ++path.samples;
        const float step = std::max(1.0F / static_cast<float>(path.samples), 1.0F / baselineSamples);
        const float residual = value - path.mean;
        path.mean += step * residual;
        if (path.samples > 1) {
            path.variance += step * ((residual * residual) - path.variance);
        }
    }
}

void PathTable::frameReceived(std::uint32_t row, TimePoint now)
{
    this->rows[row].lastReceived = now;
    this->rows[row].hasReceived = true;
}

bool PathTable::isReachable(std::uint32_t row) const
{
    const PathState state = this->rows[row].state;
    return state == PathState::Good || state == PathState::Degraded;
}

float PathTable::weight(std::uint32_t row) const
{
    return this->rows[row].state == PathState::Degraded ? degradedWeight : 1.0F;
}

} // namespace Galenarack
