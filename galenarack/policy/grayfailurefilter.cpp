#include <galenarack/policy/grayfailurefilter.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

/// Probability that an upstream is gray which has just started.
constexpr double grayAtStart = 0.05;

/// Bounds that keep later evidence able to change the verdict within a few requests.
constexpr double soundLeast = 0.03;
constexpr double grayForAllLeast = 0.004;
constexpr double grayForDomainLeast = 0.001;

/// @return a probability that has moved from a past value towards its value in the long run
double decayed(double past, double longRun, double weightOfPast)
{
    return longRun + (past - longRun) * weightOfPast;
}

} // namespace

GrayFailureFilter::GrayFailureFilter(TimePoint start, GrayFailureModel model)
    : model(model)
    , sound(1.0 - grayAtStart)
    , grayForAll(grayAtStart)
    , updated(start)
{
}

double GrayFailureFilter::stationary() const
{
    return this->model.onsetPerSecond / (this->model.onsetPerSecond + this->model.endPerSecond);
}

double GrayFailureFilter::memoryWeight(TimePoint now) const
{
    const double age = std::chrono::duration<double>(std::max(now - this->updated, Duration::zero())).count();
    return std::exp(-(this->model.onsetPerSecond + this->model.endPerSecond) * age);
}

double GrayFailureFilter::grayProbability(std::string_view failureDomain, TimePoint now) const
{
    const double weight = this->memoryWeight(now);
    const double forAll = this->domains.empty() ? this->stationary() : this->stationary() * (1.0 - this->model.oneDomainShare);
    double probability = decayed(this->grayForAll, forAll, weight);
    for (const DomainState &domain : this->domains) {
        if (domain.failureDomain == failureDomain) {
            const double rest = this->stationary() * this->model.oneDomainShare / static_cast<double>(this->domains.size());
            probability += decayed(domain.probability, rest, weight);
        }
    }
    return probability;
}

void GrayFailureFilter::advance(TimePoint now)
{
    const double weight = this->memoryWeight(now);
    this->grayForAll = decayed(this->grayForAll, this->stationary() * (1.0 - this->model.oneDomainShare), weight);
    const double rest = this->stationary() * this->model.oneDomainShare / static_cast<double>(this->domains.size());
    this->sound = 1.0 - this->grayForAll;
    for (DomainState &domain : this->domains) {
        domain.probability = decayed(domain.probability, rest, weight);
        this->sound -= domain.probability;
    }
    this->updated = now;
}

void GrayFailureFilter::addDomain(std::string_view failureDomain)
{
    const bool isKnown = std::ranges::any_of(this->domains, [failureDomain](const DomainState &domain) {
        return domain.failureDomain == failureDomain;
    });
    if (!isKnown) {
        this->domains.push_back({std::string(failureDomain), grayForDomainLeast});
    }
}

void GrayFailureFilter::normalize()
{
    double sum = this->sound + this->grayForAll;
    for (const DomainState &domain : this->domains) {
        sum += domain.probability;
    }
    this->sound /= sum;
    this->grayForAll /= sum;
    for (DomainState &domain : this->domains) {
        domain.probability /= sum;
    }
}

void GrayFailureFilter::observe(std::string_view failureDomain, RequestEvidence evidence, TimePoint now)
{
    this->addDomain(failureDomain);
    this->advance(now);
    double likelihoodGray = 1.0 - this->model.failsWhenGray;
    double likelihoodSound = 1.0 - this->model.failsWhenSound;
    if (evidence == RequestEvidence::Failure) {
        likelihoodGray = this->model.failsWhenGray;
        likelihoodSound = this->model.failsWhenSound;
    } else if (evidence == RequestEvidence::Overdue) {
        likelihoodGray = this->model.overdueWhenGray;
        likelihoodSound = this->model.overdueWhenSound;
    }
    this->sound *= likelihoodSound;
    this->grayForAll *= likelihoodGray;
    for (DomainState &domain : this->domains) {
        domain.probability *= domain.failureDomain == failureDomain ? likelihoodGray : likelihoodSound;
    }
    this->normalize();
    this->sound = std::max(this->sound, soundLeast);
    this->grayForAll = std::max(this->grayForAll, grayForAllLeast);
    for (DomainState &domain : this->domains) {
        domain.probability = std::max(domain.probability, grayForDomainLeast);
    }
    this->normalize();
}

} // namespace Galenarack
