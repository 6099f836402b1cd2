#include <galenarack/policy/grayfailurefilter.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

/// Probability that an upstream which has just started is gray.
constexpr double initialGrayProbability = 0.05;

/// Lower bounds of the probabilities, so that new evidence changes the estimate within a few requests.
constexpr double minHealthyProbability = 0.03;
constexpr double minGrayForAllProbability = 0.004;
constexpr double minGrayForDomainProbability = 0.001;

/// @return a probability that has moved from its prior towards its stationary value
double decayed(double prior, double stationaryGrayProbability, double priorWeight)
{
    return stationaryGrayProbability + (prior - stationaryGrayProbability) * priorWeight;
}

} // namespace

GrayFailureFilter::GrayFailureFilter(TimePoint start, GrayFailureModel model)
    : model(model)
    , healthy(1.0 - initialGrayProbability)
    , grayForAll(initialGrayProbability)
    , updated(start)
{
}

double GrayFailureFilter::stationaryGrayProbability() const
{
    return this->model.onsetRatePerSecond / (this->model.onsetRatePerSecond + this->model.recoveryRatePerSecond);
}

double GrayFailureFilter::priorWeight(TimePoint now) const
{
    const double age = std::chrono::duration<double>(std::max(now - this->updated, Duration::zero())).count();
    return std::exp(-(this->model.onsetRatePerSecond + this->model.recoveryRatePerSecond) * age);
}

double GrayFailureFilter::grayProbability(std::string_view failureDomain, TimePoint now) const
{
    const double weight = this->priorWeight(now);
    const double stationaryForAll = this->domains.empty() ? this->stationaryGrayProbability()
                                                          : this->stationaryGrayProbability() * (1.0 - this->model.singleDomainShare);
    double probability = decayed(this->grayForAll, stationaryForAll, weight);
    for (const DomainState &domain : this->domains) {
        if (domain.failureDomain == failureDomain) {
            const double stationaryForDomain
                = this->stationaryGrayProbability() * this->model.singleDomainShare / static_cast<double>(this->domains.size());
            probability += decayed(domain.probability, stationaryForDomain, weight);
        }
    }
    return probability;
}

void GrayFailureFilter::advance(TimePoint now)
{
    const double weight = this->priorWeight(now);
    this->grayForAll = decayed(this->grayForAll, this->stationaryGrayProbability() * (1.0 - this->model.singleDomainShare), weight);
    const double stationaryForDomain
        = this->stationaryGrayProbability() * this->model.singleDomainShare / static_cast<double>(this->domains.size());
    this->healthy = 1.0 - this->grayForAll;
    for (DomainState &domain : this->domains) {
        domain.probability = decayed(domain.probability, stationaryForDomain, weight);
        this->healthy -= domain.probability;
    }
    this->updated = now;
}

void GrayFailureFilter::addDomain(std::string_view failureDomain)
{
    const bool isKnown = std::ranges::any_of(this->domains, [failureDomain](const DomainState &domain) {
        return domain.failureDomain == failureDomain;
    });
    if (!isKnown) {
        this->domains.push_back({std::string(failureDomain), minGrayForDomainProbability});
    }
}

void GrayFailureFilter::normalize()
{
    double sum = this->healthy + this->grayForAll;
    for (const DomainState &domain : this->domains) {
        sum += domain.probability;
    }
    this->healthy /= sum;
    this->grayForAll /= sum;
    for (DomainState &domain : this->domains) {
        domain.probability /= sum;
    }
}

void GrayFailureFilter::observe(std::string_view failureDomain, RequestEvidence evidence, TimePoint now)
{
    this->addDomain(failureDomain);
    this->advance(now);
    double likelihoodGray = 1.0 - this->model.failureRateWhenGray;
    double likelihoodHealthy = 1.0 - this->model.failureRateWhenHealthy;
    if (evidence == RequestEvidence::Failure) {
        likelihoodGray = this->model.failureRateWhenGray;
        likelihoodHealthy = this->model.failureRateWhenHealthy;
    } else if (evidence == RequestEvidence::Overdue) {
        likelihoodGray = this->model.overdueRateWhenGray;
        likelihoodHealthy = this->model.overdueRateWhenHealthy;
    }
    this->healthy *= likelihoodHealthy;
    this->grayForAll *= likelihoodGray;
    for (DomainState &domain : this->domains) {
        domain.probability *= domain.failureDomain == failureDomain ? likelihoodGray : likelihoodHealthy;
    }
    this->normalize();
    this->healthy = std::max(this->healthy, minHealthyProbability);
    this->grayForAll = std::max(this->grayForAll, minGrayForAllProbability);
    for (DomainState &domain : this->domains) {
        domain.probability = std::max(domain.probability, minGrayForDomainProbability);
    }
    this->normalize();
}

} // namespace Galenarack
