#include <galenarack/policy/trustfilter.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

TrustFilter::TrustFilter(TrustModel model)
    : model(model)
    , probability(0.0)
{
}

double TrustFilter::stationary() const
{
    return this->model.onsetPerSecond / (this->model.onsetPerSecond + this->model.endPerSecond);
}

double TrustFilter::grayProbability(TimePoint now) const
{
    const double age = std::chrono::duration<double>(std::max(now - this->updated, Duration::zero())).count();
    const double kept = std::exp(-(this->model.onsetPerSecond + this->model.endPerSecond) * age);
    return this->stationary() + (this->probability - this->stationary()) * kept;
}

void TrustFilter::observe(TrustEvidence evidence, TimePoint now)
{
    // Bounds keep later evidence able to change the verdict within a few requests.
    constexpr double least = 0.005;
    constexpr double most = 0.97;
    const double prior = this->grayProbability(now);
    double likelihoodGray = 1.0 - this->model.failsWhenGray;
    double likelihoodSound = 1.0 - this->model.failsWhenSound;
    if (evidence == TrustEvidence::Failure) {
        likelihoodGray = this->model.failsWhenGray;
        likelihoodSound = this->model.failsWhenSound;
    } else if (evidence == TrustEvidence::Overdue) {
        likelihoodGray = this->model.overdueWhenGray;
        likelihoodSound = this->model.overdueWhenSound;
    }
    const double gray = prior * likelihoodGray;
    this->probability = std::clamp(gray / (gray + (1.0 - prior) * likelihoodSound), least, most);
    this->updated = now;
}

} // namespace Galenarack
